package test

import (
	"fmt"
	"path"
	"syscall"
	"time"

	"github.com/bambooscale/bambooscale/internal/faultproxy"
	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/standin"
)

func (s *system) kill(name string) {
	s.begin("kill " + name)
	s.procs[name].kill()
}

func (s *system) terminate(name string) error {
	s.record.Shutdowns = append(s.record.Shutdowns, history.Shutdown{Process: name, At: time.Now().UnixNano()})
	s.procs[name].signal(syscall.SIGTERM)
	return nil
}

func (s *system) waitExit(name string) error {
	p := s.procs[name]
	select {
	case <-p.exited:
	case <-time.After(patience):
		return fmt.Errorf("%s has not ended after %v", name, patience)
	}
	for i, d := range s.record.Shutdowns {
		if d.Process == name && d.Ended == 0 {
			s.record.Shutdowns[i].Ended = time.Now().UnixNano()
		}
	}
	s.begin("kill " + name) // until it is started again
	return p.err
}

func (s *system) freeze(name string) error {
	s.begin("freeze " + name)
	s.procs[name].signal(syscall.SIGSTOP)
	return nil
}

func (s *system) resume(name string) error {
	s.procs[name].signal(syscall.SIGCONT)
	s.end("freeze " + name)
	return nil
}

// each calls f for every link that matches a pattern.
func (s *system) each(pattern string, f func(name string, p *faultproxy.Proxy)) error {
	found := false
	for name, p := range s.links {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			found = true
			f(name, p)
		}
	}
	if !found {
		return fmt.Errorf("no link matches %q", pattern)
	}
	return nil
}

func (s *system) cut(pattern, direction string) error {
	hole := faultproxy.Faults{Blackhole: true}
	return s.each(pattern, func(name string, p *faultproxy.Proxy) {
		s.begin("cut " + name)
		if direction != "to-client" {
			p.Set(faultproxy.ToServer, hole)
		}
		if direction != "to-server" {
			p.Set(faultproxy.ToClient, hole)
		}
	})
}

func (s *system) heal(pattern string) error {
	return s.each(pattern, func(name string, p *faultproxy.Proxy) {
		p.Heal()
		s.end("cut " + name)
	})
}

func (s *system) reset(pattern string) error {
	return s.each(pattern, func(name string, p *faultproxy.Proxy) {
		s.begin("reset " + name)
		p.Reset()
		s.end("reset " + name)
	})
}

// storeFault sets the faults of a store. A frozen one goes on first: it could
// not be told.
func (s *system) storeFault(store string, f standin.StoreFaults) error {
	if err := s.resume(store); err != nil {
		return err
	}
	if f != (standin.StoreFaults{}) {
		s.begin("fault of " + store)
	} else {
		defer s.end("fault of " + store)
	}
	return s.control(store, "/control", f, nil)
}
