package main

import (
	"net/http"
	"sync"
)

// silence is a fault of a server: while it lasts, calls are lost.
type silence struct {
	mu   sync.Mutex
	over chan struct{} // closed when it ends; nil: none
}

func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = make(chan struct{})
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		close(s.over)
		s.over = nil
	}
}

// wait returns at once if there is no silence. Otherwise it ends the connection
// without an answer when the silence or the connection ends.
func (s *silence) wait(req *http.Request) {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over == nil {
		return
	}
	select {
	case <-over:
	case <-req.Context().Done():
	}
	panic(http.ErrAbortHandler)
}
