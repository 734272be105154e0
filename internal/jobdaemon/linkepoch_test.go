package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
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

// Guards against an owner that fails at an echo which arrives in the same batch of
// messages as the answer to its claim, before it has any jobs.
func TestEchoBeforeTheOwnerHasJobsIsApplied(t *testing.T) {
	l := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	c := &controller{owner: ownership.New("a", 1, 0, 0), log: l, startedAt: time.Now().Add(-5 * time.Second), published: &published{}}
	c.owner.PeerUp("b", 0)
	c.owner.EntryEchoes("b", true)
	c.owner.Read(workload.Owner{Name: "f", Epoch: 1, Entries: "a b f"}, 1, c.now())
	claim, _ := c.owner.Claim()
	require.True(t, c.owner.Claimed(claim, table.Committed, 2, c.now()))
	c.heartbeat("b", &msg.Heartbeat{Echo: c.now()})
	require.Less(t, c.owner.FormerOwnersActUntil(), c.now()+ownership.MajorityPermissionTime/2, "the majority knows of the owner")
}
