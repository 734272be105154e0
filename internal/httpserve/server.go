// Package httpserve runs HTTP servers and counts the requests that their
// connections have received, answered and lost. It does not know what the
// requests mean.
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
}

// Counts are numbers of requests. A request begins with its first byte that was
// read from the connection.
type Counts struct {
	Open     int64 // connections
	InFlight int64 // read in part or whole, and not answered yet
	Answered int64 // answered whole, since the start
	Cut      int64 // not answered although the caller was still there, since the start
	Gone     int64 // whose caller closed the connection before the answer, since the start
}

// Start serves l until g ends.
func Start(g *actor.Group, l net.Listener, c Config) *Server {
	s := &Server{}
	s.http = &http.Server{
		Handler: s.observe(c.Handler), ReadHeaderTimeout: c.ReadHeaderTimeout, IdleTimeout: c.IdleTimeout,
		MaxHeaderBytes: c.MaxHeaderBytes, ConnContext: withConn, ConnState: connState,
	}
	actor.Go(g, c.Name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
		defer stop()
		if err := s.http.Serve(&listener{l, s}); err != http.ErrServerClosed && ctx.Err() == nil {
			return err
		}
		return nil
	})
	return s
}

// Counts returns the current numbers.
func (s *Server) Counts() Counts {
	return Counts{Open: s.open.Get(), InFlight: s.inFlight.Get(), Answered: s.answered.Get(), Cut: s.cut.Get(), Gone: s.gone.Get()}
}

// Close accepts no more connections, closes the idle ones and waits until the
// requests in flight are answered. It returns the context's error if ctx ends
// first.
func (s *Server) Close(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false)
	return s.http.Shutdown(ctx)
}

// observe returns h with the bookkeeping of its connection.
func (s *Server) observe(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		c.begin()
		h.ServeHTTP(w, r)
		c.handled = true // not reached if the handler panics
	})
}
