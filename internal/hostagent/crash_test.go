package hostagent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against an owner that cannot tell a crash from a planned end or from
// silence: it would blame the tasks of a host for its planned end, or no task for
// its crash.
func TestAgentReportsWhetherItsBackendServerHasCrashed(t *testing.T) {
	refuse := func(h *harness) {
		for range maxConnectionRefusals {
			poll := h.core.NextPoll()
			h.core.PollAnswered(poll, runner.PollResponse{}, runner.ErrNotListening)
		}
	}
	for name, c := range map[string]struct {
		end     func(*harness)
		crashed bool
	}{
		"refuses connections": {refuse, true},
		"other incarnation": {func(h *harness) {
			poll := h.core.NextPoll()
			h.core.PollAnswered(poll, runner.PollResponse{}, runner.ErrOtherIncarnation)
		}, true},
		"drained": {func(h *harness) {
			h.announce(1, workload.HostDraining, 2)
			refuse(h)
		}, false},
		"deregistered": {func(h *harness) { h.core.Deregistered("i", 0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.announce(1, workload.HostReady, 1)
			c.end(h)
			require.Equal(t, workload.HostUnavailable, h.core.Host().State)
			require.Equal(t, c.crashed, h.core.Host().Crashed)
			h.announce(2, workload.HostReady, 1)
			require.False(t, h.core.Host().Crashed)
		})
	}
}

// Guards against an owner that takes a start for the cause of a crash though the
// backend server had ended before: the refused start has to be reported before the
// crash that the refusals show.
func TestOutcomeOfStartsIsReportedBeforeTheCrash(t *testing.T) {
	h := newHarness(t)
	h.prepare()
	for i := range 3 {
		h.start(ownerLink, 1, i, 100)
	}
	starts := h.calls[len(h.calls)-3:]
	h.sends = nil
	h.core.Answered(Answer{Call: starts[0], Err: runner.ErrOutcomeUnknown})
	h.core.Answered(Answer{Call: starts[1], Err: runner.ErrNotListening})
	h.core.Answered(Answer{Call: starts[2], Err: runner.ErrNotListening})
	h.collect()
	changed := h.sends[0].(*msg.RunsChanged)
	require.Equal(t, []workload.RunID{runID(0)}, changed.Unconfirmed)
	require.Equal(t, []workload.RunID{runID(1), runID(2)}, changed.Refused)
	require.True(t, h.sends[1].(*msg.HostAnnounced).Host.Crashed)
}
