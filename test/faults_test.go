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

// kill records the fault and kills a process.
func (s *system) kill(name string) {
	s.beginFault("kill " + name)
	s.processes[name].kill()
}

// terminate starts the graceful shutdown of a process.
func (s *system) terminate(name string) error {
	s.history.Shutdowns = append(s.history.Shutdowns, history.Shutdown{Process: name, At: time.Now().UnixNano()})
	s.processes[name].signal(syscall.SIGTERM)
	return nil
}

// waitExit waits for the end of a process and returns its exit error. The process
// counts as killed until it is started again.
func (s *system) waitExit(name string) error {
	p := s.processes[name]
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s has not ended after %v", name, waitTimeout)
	}
	for i, shutdown := range s.history.Shutdowns {
		if shutdown.Process == name && shutdown.Ended == 0 {
			s.history.Shutdowns[i].Ended = time.Now().UnixNano()
		}
	}
	s.beginFault("kill " + name)
	return p.exitErr
}

// freeze stops a process with SIGSTOP until resume.
func (s *system) freeze(name string) error {
	s.beginFault("freeze " + name)
	s.processes[name].signal(syscall.SIGSTOP)
	return nil
}

// resume lets a frozen process continue.
func (s *system) resume(name string) error {
	s.processes[name].signal(syscall.SIGCONT)
	s.endFault("freeze " + name)
	return nil
}

// forEachLink calls apply for every link whose name matches a pattern of
// path.Match. It is an error if none does.
func (s *system) forEachLink(pattern string, apply func(name string, p *faultproxy.Proxy)) error {
	matched := false
	for name, p := range s.links {
		if ok, err := path.Match(pattern, name); ok && err == nil {
			matched = true
			apply(name, p)
		}
	}
	if !matched {
		return fmt.Errorf("no link matches %q", pattern)
	}
	return nil
}

// cut stops the bytes of the links in a direction, "to-server" or "to-client", or
// in both if it is empty. The connections stay open, and the bytes arrive after
// heal.
func (s *system) cut(pattern, direction string) error {
	blackhole := faultproxy.Faults{Blackhole: true}
	return s.forEachLink(pattern, func(name string, p *faultproxy.Proxy) {
		s.beginFault("cut " + name)
		if direction != "to-client" {
			p.Set(faultproxy.ToServer, blackhole)
		}
		if direction != "to-server" {
			p.Set(faultproxy.ToClient, blackhole)
		}
	})
}

// heal ends the cuts of the links.
func (s *system) heal(pattern string) error {
	return s.forEachLink(pattern, func(name string, p *faultproxy.Proxy) {
		p.Heal()
		s.endFault("cut " + name)
	})
}

// reset resets the links' present connections.
func (s *system) reset(pattern string) error {
	return s.forEachLink(pattern, func(name string, p *faultproxy.Proxy) {
		s.beginFault("reset " + name)
		p.Reset()
		s.endFault("reset " + name)
	})
}

// storeFault sets the faults of a store; the zero value ends them. It resumes a
// frozen store first, because that could not receive the request.
func (s *system) storeFault(store string, faults standin.StoreFaults) error {
	if err := s.resume(store); err != nil {
		return err
	}
	if faults != (standin.StoreFaults{}) {
		s.beginFault("fault of " + store)
	} else {
		defer s.endFault("fault of " + store)
	}
	return s.callSimulator(store, "/control", faults, nil)
}
