// Package httpserve runs HTTP servers that end without cutting off a request, and
// counts the requests that their connections have received, answered and lost.
// It does not know what the requests mean.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// Config holds the settings of a server.
type Config struct {
	Name              string // of the actor
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration // of a whole request; 0: no limit
	WriteTimeout      time.Duration // from the end of the header to that of the answer; 0: no limit
	IdleTimeout       time.Duration
	MaxHeaderBytes    int
}

// Server is a running server. Its methods may be called by any goroutine.
type Server struct {
	http     *http.Server
	open     actor.Gauge // connections
	inFlight actor.Gauge
	answered actor.Gauge
	cut      actor.Gauge
	gone     actor.Gauge
	// discarded counts connections on which bytes arrived after they were closed.
	discarded actor.Gauge

	listener net.Listener
	accepted actor.Flag // no connection is accepted any more, and each that was is in open
	leaving  actor.Value[bool]
	closing  context.Context // done when idle connections have to end
	endIdle  context.CancelFunc
	answers  context.Context // parent of the contexts of all requests
	cancel   context.CancelFunc
	settled  chan struct{} // holds a value after a connection was closed
	done     <-chan struct{}
}

// Counts are numbers of requests. A request begins with its first byte that was
// read from the connection.
type Counts struct {
	Open     int64 // connections
	InFlight int64 // read in part or whole, and not answered yet
	Answered int64 // answered whole, since the start
	Cut      int64 // not answered although the caller was still there, since the start
	Gone     int64 // whose caller closed the connection before the handler returned, since the start
	// Discarded is the number of connections on which bytes arrived after this
	// process had closed its half. They are not counted as requests.
	Discarded int64
}

// Start serves l until g ends.
func Start(g *actor.Group, l net.Listener, c Config) *Server {
	s := &Server{listener: l, settled: make(chan struct{}, 1)}
	s.closing, s.endIdle = context.WithCancel(context.Background())
	s.answers, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler: s.observe(c.Handler), ReadHeaderTimeout: c.ReadHeaderTimeout, ReadTimeout: c.ReadTimeout,
		WriteTimeout: c.WriteTimeout, IdleTimeout: c.IdleTimeout,
		MaxHeaderBytes: c.MaxHeaderBytes, ConnContext: withConn, ConnState: connState,
		BaseContext: func(net.Listener) context.Context { return s.answers },
	}
	s.done = actor.Go(g, c.Name, func(ctx context.Context) error {
		defer s.http.Close()
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		err := s.http.Serve(&listener{Listener: l, server: s})
		s.accepted.Set(true)
		s.notifySettled()
		if ctx.Err() == nil && s.closing.Err() == nil {
			return err
		}
		<-ctx.Done() // connections outlive the listener
		return nil
	})
	return s
}

// Counts returns the current numbers.
func (s *Server) Counts() Counts {
	return Counts{Open: s.open.Get(), InFlight: s.inFlight.Get(), Answered: s.answered.Get(), Cut: s.cut.Get(), Gone: s.gone.Get(), Discarded: s.discarded.Get()}
}

// Quiet reports whether no connection is open and none will be. A connection that was
// accepted at the moment of EndIdle is open a little later.
func (s *Server) Quiet() bool { return s.accepted.Get() && s.open.Get() == 0 }

// notifySettled wakes who waits for Settled.
func (s *Server) notifySettled() {
	select {
	case s.settled <- struct{}{}:
	default: // a value waits already
	}
}

// Leave makes every later answer ask its caller to close the connection. Idle
// connections stay open, because a caller may send on them at any moment.
func (s *Server) Leave() {
	leaving := true
	s.leaving.Set(&leaving)
}

// EndIdle accepts the connections that wait, no later ones, and ends the idle ones. A
// request that has arrived on one of them is answered first.
func (s *Server) EndIdle() {
	s.Leave()
	s.endIdle()
	if l, ok := s.listener.(deadlineListener); ok && l.SetDeadline(time.Now()) == nil {
		return // listener.Accept closes it
	}
	_ = s.listener.Close()
}

// CancelRequests ends the contexts of the requests in flight, so that their
// handlers answer at once.
func (s *Server) CancelRequests() { s.cancel() }

// Done returns a channel that is closed when the server has ended with its group.
func (s *Server) Done() <-chan struct{} { return s.done }

// Settled receives a value after a connection was closed.
func (s *Server) Settled() <-chan struct{} { return s.settled }

// Close calls EndIdle and waits until every connection is closed. It returns the
// context's error if ctx ends first.
func (s *Server) Close(ctx context.Context) error {
	s.EndIdle()
	for !s.Quiet() {
		select {
		case <-s.settled:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// observe returns h with the bookkeeping of its connection.
func (s *Server) observe(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		c.begin()
		a := &answer{ResponseWriter: w, server: s}
		h.ServeHTTP(a, r)
		a.beginHeader()     // an answer without a body may not have been begun
		c.handled.Set(true) // not reached if the handler panics
	})
}

// answer adds the Connection field to the answers of a server that is leaving.
// It decides when the header is written, because a request may have begun
// before the server left.
type answer struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.beginHeader()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.beginHeader()
	return a.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController use the wrapped writer.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answer) beginHeader() {
	if !a.wroteHeader && a.server.leaving.Get() != nil {
		a.Header().Set("Connection", "close")
	}
	a.wroteHeader = true
}
