package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/httpserve"
)

type fakeServer struct{ leave, close func() }

func (s fakeServer) Leave() { s.leave() }

func (s fakeServer) Close(context.Context) error {
	s.close()
	return nil
}

// fakeOperators is the operators' server of a drain.
type fakeOperators func()

func (f fakeOperators) Close(context.Context) error {
	f()
	return nil
}

func (s fakeServer) Counts() httpserve.Counts { return httpserve.Counts{} }

// Guards against a shutdown that closes the listener while the balancer still
// sends callers to the entry; their connections would be reset. The operators'
// listener, on which the balancer reads the health, closes last.
func TestDrainIsAnnouncedBeforeTheListenerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &operatorView{draining: &actor.Value[bool]{}}
		start, healthy, left, operatorsClosed := time.Now(), true, false, false
		e := &Entry{log: log.Log, draining: v.draining, drainDelay: 5 * time.Second, callers: fakeServer{
			leave: func() {
				left = true
				require.Zero(t, time.Since(start))
			},
			close: func() {
				require.False(t, operatorsClosed)
				require.Equal(t, 5*time.Second, time.Since(start))
				healthy = v.health(t.Context()) == nil
			},
		}, operators: fakeOperators(func() { operatorsClosed = true })}
		require.NoError(t, v.health(t.Context()))
		require.NoError(t, e.Drain(t.Context()))
		require.False(t, healthy)
		require.True(t, left)
		require.True(t, operatorsClosed)
	})
}
