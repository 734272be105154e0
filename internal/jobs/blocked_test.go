package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/policy/hostselect"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a log that calls hosts unreachable which are kept free, reserved, paused or
// not stored: tasks that waited for long could not be traced.
func TestLogOfAWaitingTaskNamesWhatBlocksEachHost(t *testing.T) {
	h := newHarness(t, 1)
	for _, name := range []string{"free", "gone", "held", "kept", "listing", "new", "paused", "reserved", "silent", "unlisted"} {
		h.link(readyHost(name, 1000))
	}
	at := func(name workload.HostName) *host { return h.core.hosts[name] }
	h.core.Unlinked("silent")
	at("gone").info.State = workload.HostUnavailable
	at("held").holds = 1
	at("kept").room.task = &task{}
	at("listing").state = hostListing
	at("new").state = hostClaiming
	at("paused").pausedUntil = 1
	at("reserved").reservedSince = 1
	at("unlisted").stored = false
	h.core.Submit(newSpec("j", newStep(1, 2000)))
	s := h.core.jobs["j"].steps[0]
	for name, want := range map[workload.HostName]hostselect.Reason{
		"free": hostselect.NoCapacity, "gone": hostselect.Unreachable, "held": hostselect.Reserved, "kept": hostselect.KeptFree, "listing": hostselect.EndsMissing,
		"new": hostselect.NoInventory, "paused": hostselect.Paused, "reserved": hostselect.Reserved, "silent": hostselect.Unreachable, "unlisted": hostselect.Unlisted,
	} {
		require.Equal(t, want.String(), hostselect.Check(s.selectionTask(), at(name).view(s)).String(), name)
	}
}
