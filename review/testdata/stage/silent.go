package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// silencer is a listener whose open connections can go silent for good.
type silencer struct {
	net.Listener
	mu    sync.Mutex
	conns []*quietConn
}

// quietConn is a connection that may go silent: it stays open, and neither what the peer
// sends arrives any more nor what is written.
type quietConn struct {
	net.Conn
	silent atomic.Bool
	closed atomic.Bool
}

func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	q := &quietConn{Conn: c}
	s.mu.Lock()
	s.conns = append(s.conns, q)
	s.mu.Unlock()
	return q, nil
}

// silence makes all open connections silent and returns their number.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if !c.closed.Load() && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

func (c *quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		select {} // nothing arrives any more
	}
	return n, err
}

func (c *quietConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		select {} // nothing leaves any more
	}
	return c.Conn.Write(p)
}

func (c *quietConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

const (
	clientsAtOnce = 10 // of each entry
	configTime    = 2 * time.Second
	changeAfter   = time.Second // from the silence to the new configuration
	probeInterval = 100 * time.Millisecond
	probeTime     = 8 * time.Second
)

// changedConfig has a route more than config, and one less.
func changedConfig() string {
	added := `{"name":"r-4","host":"nony24.example","path-prefix":"/neko411/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":250,"priority":0,"service":"permit-desk","max-attempts":2,"stretch":1.5},`
	s := strings.Replace(config, `"version":7`, `"version":9`, 1)
	s = strings.Replace(s, `"routes":[`, `"routes":[`+added, 1)
	from := strings.Index(s, `,{"name":"r-3"`)
	return s[:from] + s[strings.Index(s, `],"services"`):]
}

var addedQueue = queue{"nony24.example", "/neko411/"}

// playSilent lets the open connections to the store go silent, and changes the
// configuration a second later.
func playSilent(s *system, trouble bool) int {
	var clients sync.WaitGroup
	for e := range s.callers {
		for range clientsAtOnce {
			clients.Go(func() {
				s.call(e, http.MethodPost, urgentQueue, newID(), jobBody(taskSpec{WorkMS: 540, CPU: 480}, step{Count: 6, CPU: 480, MemoryMB: 100, Estimated: 540}))
			})
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	if trouble {
		s.rec.show("%d open connections to the store go silent; new ones work", s.storeConns.silence())
	}
	silentAt := time.Now()
	time.Sleep(changeAfter)
	s.store.put("op", "config", encode(changedConfig()))
	acknowledgedAt := time.Now()
	s.rec.show("version 9 of the configuration is acknowledged")
	time.Sleep(time.Until(silentAt.Add(contactTimeout)) + probeInterval)
	time.Sleep(time.Until(acknowledgedAt.Add(configTime)) + probeInterval)
	late, current, last := 0, 0, time.Duration(0)
	for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(probeInterval) {
		for e := range s.callers {
			sent := time.Since(acknowledgedAt)
			added, _ := s.call(e, http.MethodGet, addedQueue, "", "")
			dropped, _ := s.call(e, http.MethodGet, lastingQueue, "", "")
			switch {
			case added == http.StatusNotFound || dropped == http.StatusOK:
				late, last = late+1, sent
			case added == http.StatusOK && dropped == http.StatusNotFound:
				current++
			}
		}
	}
	s.rec.show("of the pairs of requests sent more than %v after the silence and %v after the acknowledgement %d were handled by the former version, the last one sent %v after the acknowledgement; %d were handled by the new one", contactTimeout, configTime, late, last.Round(10*time.Millisecond), current)
	switch {
	case late > 0:
		return broken
	case current == 0:
		return couldNot
	}
	return held
}
