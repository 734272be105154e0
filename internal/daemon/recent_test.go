package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
)

// Guards against kept events that grow without bound, and against dropping the
// newest events instead of the oldest.
func TestRecentEventsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		r := StartRecentEvents(g, discard.New())
		l := &log.Logger{Handler: r, Level: log.InfoLevel}
		for i := range 3 * maxRecentEvents {
			event.Log(l, event.LinkUp, log.Fields{"number": i})
			synctest.Wait()
		}
		events, err := r.Events(t.Context())
		require.NoError(t, err)
		require.Len(t, events, maxRecentEvents)
		require.Equal(t, fmt.Sprint(3*maxRecentEvents-1), events[maxRecentEvents-1].Fields["number"])
		require.Equal(t, fmt.Sprint(event.LinkUp.ID), events[0].Fields["event"])
	})
}
