package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a successor that waits for too short a time because the answer to an
// older read of the row arrives while its claim is in flight: it took the entries of that
// row for those that the former owner counts.
func TestReadThatArrivesDuringAClaimIsNotTheFormerRow(t *testing.T) {
	a, now := New("a", 1, 0, 0), time.Duration(0)
	older := workload.Owner{Name: "f", Boot: 7, Epoch: 2, Sequence: 1, Entries: "a f", ActsFor: MajorityPermissionTime}
	newer := workload.Owner{Name: "f", Boot: 7, Epoch: 2, Sequence: 2, Entries: "a b f", ActsFor: MajorityPermissionTime}
	for effects := a.Effects(); !slices.Contains(effects, ClaimRow); effects = a.Effects() {
		require.Less(t, now, time.Minute)
		now += 50 * time.Millisecond
		a.Tick(now)
		if slices.Contains(effects, ReadRow) {
			a.Read(newer, 2, now)
		}
	}
	claim, version := a.Claim()
	require.EqualValues(t, 2, version)
	a.Read(older, 1, now)
	require.True(t, a.Claimed(claim, table.Committed, 3, now))
	require.Equal(t, now+MajorityPermissionTime, a.FormerOwnersActUntil(), "f and b are the majority of the entries that the row names")
}
