package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// ownerRow is the stored row that the entries of a test claim.
type ownerRow struct {
	owner   workload.Owner
	version table.Revision
}

// apply performs the effects of an entry until there are none.
func (r *ownerRow) apply(c *Core, now time.Duration) {
	for {
		effects := c.Effects()
		if len(effects) == 0 {
			return
		}
		for _, e := range effects {
			switch e {
			case ReadRow:
				c.Read(r.owner, r.version, now)
			case ClaimRow:
				owner, version := c.Claim()
				if version != r.version {
					c.Claimed(owner, table.Conflict, 0, now)
					continue
				}
				r.owner, r.version = owner, r.version+1
				c.Claimed(owner, table.Committed, r.version, now)
			}
		}
	}
}

// advance advances the time for several entries in steps of 50 ms.
func (r *ownerRow) advance(now *time.Duration, d time.Duration, cores ...*Core) {
	for end := *now + d; *now < end; *now += 50 * time.Millisecond {
		for _, c := range cores {
			c.Tick(*now)
			r.apply(c, *now)
		}
	}
}

// link links all entries with each other.
func link(cores ...*Core) {
	for _, c := range cores {
		for _, peer := range cores {
			if peer != c {
				c.PeerUp(peer.self, peer.share)
			}
		}
	}
}

// takeClaim advances the time until the entry claims the row, and returns the claim.
func (r *ownerRow) takeClaim(t *testing.T, c *Core, now *time.Duration) workload.Owner {
	for range 100 {
		c.Tick(*now)
		for _, e := range c.Effects() {
			switch e {
			case ReadRow:
				c.Read(r.owner, r.version, *now)
			case ClaimRow:
				claim, _ := c.Claim()
				return claim
			}
		}
		*now += 50 * time.Millisecond
	}
	t.Fatal("no claim")
	return workload.Owner{}
}

// Guards against an owner that ends its ownership, or writes with the epoch and the
// version of an earlier claim, because the answer to that claim arrives late: the
// entry has claimed the row again meanwhile.
func TestLateAnswerToAnEarlierClaimIsIgnored(t *testing.T) {
	for _, outcome := range []table.Outcome{table.Committed, table.Conflict, table.Unknown} {
		r, now := &ownerRow{}, time.Duration(0)
		a := New("a", 1, 0, 0)
		first := r.takeClaim(t, a, &now)
		r.owner, r.version = first, 1
		second := r.takeClaim(t, a, &now)
		require.Greater(t, second.Epoch, first.Epoch)
		require.True(t, a.Claimed(second, table.Committed, 2, now))
		require.False(t, a.Claimed(first, outcome, 1, now))
		require.True(t, a.Owns())
		require.Equal(t, second.Epoch, a.Epoch())
		require.Equal(t, []Effect{Begin}, a.Effects())
	}
}

// Guards against an entry that begins to own the jobs, and stamps new ones with an
// outdated epoch, after another one has replaced it: the news arrives before the
// answer to its own claim.
func TestClaimThatWasReplacedBeforeItsAnswerIsNotAnOwnership(t *testing.T) {
	for name, learn := range map[string]func(*Core, uint64, time.Duration){
		"owner": func(c *Core, epoch uint64, now time.Duration) { c.OwnerObserved("b", epoch, now) },
		"epoch": func(c *Core, epoch uint64, now time.Duration) { c.EpochObserved(epoch, now) },
	} {
		t.Run(name, func(t *testing.T) {
			r, now := &ownerRow{}, time.Duration(0)
			a := New("a", 1, 0, 0)
			claim := r.takeClaim(t, a, &now)
			learn(a, claim.Epoch+1, now)
			a.Claimed(claim, table.Committed, 1, now)
			require.False(t, a.Owns())
			require.Equal(t, claim.Epoch+1, a.Epoch())
			require.Equal(t, []Effect{ReadRow}, a.Effects())
		})
	}
}

// Guards against jobs without an owner until the links of a stopping entry end: its
// claim was in flight when it was stopped, and the row names it afterwards.
func TestClaimThatIsCommittedAfterTheStopIsReleased(t *testing.T) {
	for outcome, want := range map[table.Outcome][]Effect{
		table.Committed: {Release}, table.Conflict: {End}, table.Unknown: nil,
	} {
		r, now := &ownerRow{}, time.Duration(0)
		a := New("a", 1, 0, 0)
		claim := r.takeClaim(t, a, &now)
		a.Retire(now)
		require.Equal(t, outcome == table.Committed, a.Claimed(claim, outcome, 1, now))
		require.False(t, a.Owns())
		require.Equal(t, want, a.Effects())
	}
}

// Guards against two owners when entries start at the same time: one claims the
// jobs, and the other reads its row.
func TestOneOfManyEntriesOwnsTheJobs(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b := New("a", 1, 0, 0), New("b", 2, 0, 0)
	a.PeerUp("b", 0)
	b.PeerUp("a", 0)
	r.advance(&now, 3*time.Second, a, b)
	require.True(t, a.Owns())
	require.False(t, b.Owns())
	require.EqualValues(t, 1, a.Epoch())
}

// Guards against jobs that have no owner after the owner's link ended, and against
// an owner that was replaced and does not stop.
func TestUnlinkedOwnerIsReplaced(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b := New("a", 1, 0, 0), New("b", 2, 0, 0)
	a.PeerUp("b", 0)
	b.PeerUp("a", 0)
	r.advance(&now, 3*time.Second, a, b)
	b.PeerDown("a", now)
	r.advance(&now, 200*time.Millisecond, b)
	require.False(t, b.Owns(), "a link that was reset is up again sooner")
	r.advance(&now, 300*time.Millisecond, b)
	require.True(t, b.Owns())
	require.False(t, b.FormerOwnerEnded(), "the former owner does not know of the claim yet")
	a.OwnerObserved("b", b.Epoch(), now)
	require.False(t, a.Owns())
	require.Contains(t, a.Effects(), End)
}

// Guards against jobs whose owner has a small processor share while the host of
// another entry has a large one: the owner was chosen by name, and one with 0.19
// of a core did not keep up.
func TestEntryWithTheGreatestProcessorShareReplacesTheOwner(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b, c := New("a", 1, 190, 0), New("b", 2, 800, 0), New("c", 3, 400, 0)
	link(a, b, c)
	r.advance(&now, 3*time.Second, a, b, c)
	require.True(t, b.Owns())
	a.PeerDown("b", now)
	c.PeerDown("b", now)
	r.advance(&now, time.Second, a, c)
	require.True(t, c.Owns())
	require.False(t, a.Owns())
	require.EqualValues(t, 2, c.Epoch())
}

// Guards against jobs without an owner, and against an owner that is chosen by
// name, while entries of a former program, which announce no share, are linked.
func TestEntryThatAnnouncesNoShareComesLast(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b, c := New("a", 1, 0, 0), New("b", 2, 0, 0), New("c", 3, 190, 0)
	link(a, b, c)
	r.advance(&now, 3*time.Second, a, b, c)
	require.True(t, c.Owns())
	a.PeerDown("c", now)
	b.PeerDown("c", now)
	r.advance(&now, time.Second, a, b)
	require.True(t, a.Owns(), "the lower name decides between equal shares")
}

// Guards against entries that claim at the same time, or wait for each other,
// because they disagree on their order.
func TestEntriesAgreeOnTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cores []*Core
		shares := rapid.SliceOfN(rapid.SampledFrom([]model.MilliCPU{0, 190, 400, 800}), 1, 8).Draw(t, "shares")
		for i, share := range shares {
			cores = append(cores, New(string(rune('a'+i)), uint64(i), share, 0))
		}
		link(cores...)
		byRank := map[int]*Core{}
		for _, c := range cores {
			byRank[c.rank()] = c
		}
		require.Len(t, byRank, len(cores))
		for rank := 1; rank < len(cores); rank++ {
			require.GreaterOrEqual(t, byRank[rank-1].share, byRank[rank].share)
		}
	})
}

// Guards against a restarted owner that waits for the timeout of the owner, which
// is itself.
func TestRestartedOwnerReclaimsTheJobsAtOnce(t *testing.T) {
	r := &ownerRow{owner: workload.Owner{Name: "a", Boot: 1, Epoch: 4}, version: 9}
	now := time.Duration(0)
	a := New("a", 2, 190, 0)
	a.PeerUp("b", 800)
	r.advance(&now, 100*time.Millisecond, a)
	require.True(t, a.Owns())
	require.EqualValues(t, 5, a.Epoch())
	require.True(t, a.FormerOwnerEnded())
}

// Guards against a time without an owner after a planned stop: released jobs are
// claimed without waiting for the end of the link.
func TestReleasedJobsAreClaimedAtOnce(t *testing.T) {
	r, now := &ownerRow{}, time.Duration(0)
	a, b := New("a", 1, 0, 0), New("b", 2, 0, 0)
	a.PeerUp("b", 0)
	b.PeerUp("a", 0)
	r.advance(&now, 3*time.Second, a, b)
	a.Retire(now)
	require.Contains(t, a.Effects(), Release)
	r.owner, r.version = workload.Owner{Epoch: 1}, r.version+1
	b.OwnerObserved("", 1, now)
	r.advance(&now, 400*time.Millisecond, b)
	require.True(t, b.Owns())
	require.True(t, b.FormerOwnerEnded())
}

// Guards against an entry that does not know whether its claim was committed,
// because the answer was lost: it reads the row.
func TestClaimOfUnknownOutcomeIsReadBack(t *testing.T) {
	a := New("a", 1, 0, 0)
	a.Tick(time.Millisecond)
	a.Effects()
	a.Read(workload.Owner{}, 0, 2*time.Second)
	require.Contains(t, a.Effects(), ClaimRow)
	owner, _ := a.Claim()
	a.Claimed(owner, table.Unknown, 0, 2*time.Second)
	require.Contains(t, a.Effects(), ReadRow)
	a.Read(owner, 7, 2*time.Second)
	require.Contains(t, a.Effects(), ClaimRow, "it claims again with a higher epoch")
}

// Guards against jobs that start twice because an entry takes its own claim, whose
// outcome it did not learn, or that of its former process, for an owner that has
// ended, although the owner before that claim may still be active.
func TestFormerOwnerMayBeActiveUntilItsRunsAreKnown(t *testing.T) {
	claim := func(c *Core, row workload.Owner) workload.Owner {
		c.Tick(time.Millisecond)
		c.Effects()
		c.Read(row, 3, 2*time.Second)
		require.Contains(t, c.Effects(), ClaimRow)
		owner, _ := c.Claim()
		return owner
	}
	a := New("a", 1, 0, 0)
	first := claim(a, workload.Owner{Name: "b", Boot: 9, Epoch: 4})
	a.Claimed(first, table.Unknown, 0, 2*time.Second)
	a.Read(first, 4, 2*time.Second)
	second, _ := a.Claim()
	a.Claimed(second, table.Committed, 5, 2*time.Second)
	require.False(t, a.FormerOwnerEnded(), "b does not know of the claim yet")

	for _, v := range []struct {
		unsettled bool
		name      string
	}{{true, "a"}, {false, "a"}, {true, ""}, {false, ""}} {
		row := second
		row.Unsettled, row.Name = v.unsettled, v.name
		next := New("a", 2, 0, 0)
		next.Claimed(claim(next, row), table.Committed, 6, 2*time.Second)
		require.Equal(t, !v.unsettled, next.FormerOwnerEnded())
	}
}

// Guards against an owner that takes former owners for fenced although one of them
// may be active and does not look at the epochs of jobs, and against one that lets
// new jobs wait for former owners that do.
func TestFormerOwnersAreFencedIfTheirRowSaysSo(t *testing.T) {
	for _, c := range []struct {
		row  workload.Owner
		want bool
	}{
		{workload.Owner{Name: "b", Boot: 9, Epoch: 4, Fenced: true}, true},
		{workload.Owner{Name: "b", Boot: 9, Epoch: 4, Fenced: true, Unsettled: true}, true},
		{workload.Owner{Name: "b", Boot: 9, Epoch: 4}, false},
		{workload.Owner{Name: "b", Boot: 9, Epoch: 4, Unsettled: true}, false},
		{workload.Owner{Epoch: 4}, true},
		{workload.Owner{Epoch: 4, Unsettled: true}, false},
		{workload.Owner{Epoch: 4, Unsettled: true, Fenced: true}, true},
		{workload.Owner{Name: "a", Boot: 9, Epoch: 4}, true},
		{workload.Owner{Name: "a", Boot: 1, Epoch: 4, Unsettled: true}, false},
		{workload.Owner{Name: "a", Boot: 1, Epoch: 4, Unsettled: true, Fenced: true}, true},
	} {
		a := New("a", 1, 0, 0)
		a.Tick(time.Millisecond)
		a.Effects()
		a.Read(c.row, 3, 2*time.Second)
		require.Contains(t, a.Effects(), ClaimRow)
		owner, _ := a.Claim()
		require.Equal(t, c.want, owner.Fenced, "%+v", c.row)
		a.Claimed(owner, table.Committed, 4, 2*time.Second)
		require.Equal(t, c.want, a.FormerOwnersFenced(), "%+v", c.row)
	}
}

// Guards against an entry that takes a former owner for the present one: it learned of
// the epoch from a hello, which names no owner, and ignored the claim that followed.
// What its callers cancelled went to the former owner for good.
func TestClaimNamesTheOwnerOfAnEpochThatAHelloAnnounced(t *testing.T) {
	for _, order := range []string{"hello first", "claim first"} {
		t.Run(order, func(t *testing.T) {
			r, now := &ownerRow{owner: workload.Owner{Name: "former", Epoch: 1}, version: 1}, time.Duration(0)
			c := New("a", 1, 0, now)
			c.PeerUp("former", 0)
			r.advance(&now, time.Second, c)
			require.Equal(t, "former", c.Owner())
			if order == "hello first" {
				require.True(t, c.EpochObserved(2, now))
				require.Empty(t, c.Owner(), "the owner of epoch 2 is not known")
			}
			require.True(t, c.OwnerObserved("present", 2, now))
			require.False(t, c.EpochObserved(2, now))
			require.Equal(t, "present", c.Owner())
			require.False(t, c.OwnerObserved("former", 1, now), "a late claim")
			require.True(t, c.OwnerObserved("", 2, now))
			require.False(t, c.OwnerObserved("present", 2, now), "a claim that arrives after its release")
			require.Empty(t, c.Owner())
		})
	}
}

// Guards against an entry that never learns the owner of an epoch, because the claim was
// lost and the former owner, whose row it knows, stays linked.
func TestRowOfAnUnknownOwnerIsRead(t *testing.T) {
	r, now := &ownerRow{owner: workload.Owner{Name: "former", Epoch: 1}, version: 1}, time.Duration(0)
	c := New("a", 1, 0, now)
	c.PeerUp("former", 0)
	c.PeerUp("present", 0)
	r.advance(&now, time.Second, c)
	r.owner, r.version = workload.Owner{Name: "present", Epoch: 2}, 2
	c.EpochObserved(2, now)
	r.advance(&now, 2*ownerTimeout, c)
	require.Equal(t, "present", c.Owner())
	require.EqualValues(t, 2, r.version, "it must not claim the jobs")
}

// Guards against an entry that reads the row without end, and never claims the jobs,
// because of an epoch that no stored owner has.
func TestEpochThatNoOwnerHasEndsWithARead(t *testing.T) {
	r, now := &ownerRow{owner: workload.Owner{Name: "gone", Epoch: 1}, version: 1}, time.Duration(0)
	c := New("a", 1, 0, now)
	c.EpochObserved(7, now)
	r.advance(&now, 3*time.Second, c)
	require.True(t, c.Owns())
	require.EqualValues(t, 8, c.Epoch())
}

// Guards against a claim that is decided by a row which was read before a higher epoch
// was observed: the entry has to read the row again.
func TestRowThatWasRequestedBeforeAnEpochIsOutdated(t *testing.T) {
	now := time.Duration(0)
	c := New("a", 1, 0, now)
	c.Tick(time.Second)
	require.Equal(t, []Effect{ReadRow}, c.Effects())
	c.EpochObserved(2, time.Second)
	c.Read(workload.Owner{Name: "a", Epoch: 1}, 1, 2*time.Second)
	require.Empty(t, c.Effects(), "the row names this entry, but another one has claimed the jobs")
	c.Tick(3 * time.Second)
	require.Equal(t, []Effect{ReadRow}, c.Effects())
}
