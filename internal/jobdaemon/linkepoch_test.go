package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an owner that acts although its process has told a successor that it
// knows the new epoch: a link echoes a heartbeat before the controller, whose mailbox may
// be long, applies it. The successor counts the echo and waits for less time.
func TestOwnerDoesNotActOnceALinkHasReceivedAHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		s.advance(3 * time.Second)
		require.Equal(t, []string{"entry-0"}, s.owners())
		c := s.entries["entry-0"].controller
		c.published.epochs.Highest.Raise(*c.published.epoch.Get() + 1)
		s.advance(2 * controllerTick)
		require.NotContains(t, s.owners(), "entry-0")
	})
}
