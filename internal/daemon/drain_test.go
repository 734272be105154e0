package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// Guards against a shutdown that closes the listener while the balancer still
// sends callers to the entry; their connections would be reset.
func TestDrainIsAnnouncedBeforeTheListenerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &operatorView{draining: &actor.Value[bool]{}}
		start, healthy := time.Now(), true
		e := &Entry{draining: v.draining, drainDelay: 5 * time.Second, shutdownCallers: func(context.Context) error {
			require.Equal(t, 5*time.Second, time.Since(start))
			healthy = v.health(t.Context()) == nil
			return nil
		}}
		require.NoError(t, v.health(t.Context()))
		require.NoError(t, e.Drain(t.Context()))
		require.False(t, healthy)
	})
}
