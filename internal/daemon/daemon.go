// Package daemon assembles the actors of a process by its role. It holds no
// policy and no state of its own.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
	"github.com/bambooscale/bambooscale/internal/model"
)

// NewGroup returns the root group of a process. Failed actors are logged.
func NewGroup(ctx context.Context, l log.Interface) *actor.Group {
	return actor.NewGroup(ctx, func(e actor.Exit) {
		event.Log(l, event.ActorFailed, log.Fields{"actor": e.Actor, "error": e.Err.Error(), "restart": e.WillRestart})
	})
}

// newBoot returns a random number that identifies this incarnation of the
// process.
func newBoot() model.Boot {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return model.Boot(binary.BigEndian.Uint64(b[:]))
}

const (
	// readHeaderTimeout bounds the time that a caller takes to send its header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds the time that a keep-alive connection is idle.
	idleTimeout = 2 * time.Minute
)

// serve starts an HTTP server on l in g.
func serve(g *actor.Group, name string, l net.Listener, h http.Handler, maxHeaderBytes int) *httpserve.Server {
	return httpserve.Start(g, l, httpserve.Config{
		Name: name, Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
}

const (
	pauseCheckInterval = 500 * time.Millisecond
	// minPause is the gap between two checks above which the process counts as
	// paused.
	minPause = 2 * time.Second
)

// watchPauses logs periods in which the whole process did not run. It only
// logs: the actors that hold leases detect such pauses themselves.
func watchPauses(g *actor.Group, l log.Interface) {
	actor.Go(g, "pause watch", func(ctx context.Context) error {
		last := time.Now()
		for actor.Sleep(ctx, pauseCheckInterval) {
			now := time.Now()
			if gap := now.Sub(last); gap > minPause {
				event.Log(l, event.PauseDetected, log.Fields{"gap_ms": gap.Milliseconds()})
			}
			last = now
		}
		return nil
	})
}
