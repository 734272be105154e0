package main

import (
	"io"
	"net"
	"net/http"
)

// machineConns is the connections of one entry that can go silent: to the store, and its
// links, those that it opens and those that others open.
type machineConns struct {
	store  string // address at which the entry finds the store
	agents string // IP address at which the agents find the entry
	conns  []*silencer
}

func newMachineConns(s *store, ip string) (*machineConns, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	conns := &silencer{Listener: l}
	go func() { _ = (&http.Server{Handler: s}).Serve(conns) }()
	c := &machineConns{store: l.Addr().String(), conns: []*silencer{conns}}
	p, err := c.proxy(ip)
	if err == nil {
		c.agents = p.ip
	}
	return c, err
}

// wiring says where the processes find each other and the store.
type wiring struct {
	seeds      [][]string // by entry
	stores     []string   // by entry
	agentSeeds []string
}

// wire returns the addresses that the processes find in their settings: those of the
// entries and of the store, or those of proxies in front of them.
func (s *system) wire(ips []string, store string, proxied bool) (wiring, error) {
	var w wiring
	for _, ip := range ips {
		if !proxied {
			w.agentSeeds = append(w.agentSeeds, ip+":"+controlPort)
			w.stores = append(w.stores, store)
			continue
		}
		c, err := newMachineConns(s.store, ip)
		if err != nil {
			return w, err
		}
		s.machines = append(s.machines, c)
		w.agentSeeds = append(w.agentSeeds, c.agents+":"+controlPort)
		w.stores = append(w.stores, c.store)
	}
	w.seeds = make([][]string, len(ips))
	for i := range ips {
		if !proxied {
			w.seeds[i] = w.agentSeeds
			continue
		}
		for k := range ips {
			if i == k {
				continue
			}
			p, err := s.machines[k].proxy(ips[k])
			if err != nil {
				return w, err
			}
			s.machines[i].conns = append(s.machines[i].conns, p.conns)
			w.seeds[i] = append(w.seeds[i], p.ip+":"+controlPort)
		}
	}
	return w, nil
}

type linkProxy struct {
	ip    string
	conns *silencer
}

// proxy starts a proxy in front of the links of an entry.
func (c *machineConns) proxy(ip string) (linkProxy, error) {
	own := loopback(linkPort)
	l, err := net.Listen("tcp", own+":"+linkPort)
	if err != nil {
		return linkProxy{}, err
	}
	conns := &silencer{Listener: l}
	c.conns = append(c.conns, conns)
	go func() {
		for {
			from, err := conns.Accept()
			if err != nil {
				return
			}
			go forward(from, ip+":"+linkPort)
		}
	}()
	return linkProxy{own, conns}, nil
}

func forward(from net.Conn, address string) {
	to, err := net.Dial("tcp", address)
	if err != nil {
		_ = from.Close()
		return
	}
	done := func() {
		_ = from.Close()
		_ = to.Close()
	}
	go func() { _, _ = io.Copy(from, to); done() }()
	_, _ = io.Copy(to, from)
	done()
}

func (c *machineConns) silence() int {
	n := 0
	for _, s := range c.conns {
		n += s.silence()
	}
	return n
}
