package jobdaemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// waitingAge is how old the number of a queue's waiting jobs may be.
const waitingAge = 2 * time.Second

// Guards against phases that use up the network connections of small entries
// when an entry takes over: the owner sent the phases of all jobs to every entry
// in one message, twice, and leases and heartbeats waited for them until links
// ended as silent.
func TestPhasesOfManyJobsDoNotDelayOtherMessages(t *testing.T) {
	for _, jobs := range []int{1000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			s := newPhaseSite(t, 16, jobs)
			defer s.stop()
			elapsed := s.waitUntil(5*time.Minute, func(e *phaseEntry) bool { return e.knownPhases() == jobs })
			t.Logf("%d jobs: %v until every entry had all phases", jobs, elapsed)
			time.Sleep(linkTiming.Silence)
			for _, e := range s.entries {
				slowest := <-e.slowest
				e.slowest <- slowest
				require.LessOrEqual(t, slowest, linkTiming.Heartbeat, "wait of a message that %s sent", e.name)
				require.EqualValues(t, 1, e.lost.Next(), "links of %s that ended, and 1", e.name)
			}
		})
	}
}

// Guards against sending everything again to an entry whose link was interrupted:
// the phases of 10,000 jobs take 380 KB.
func TestEntryThatIsLinkedAgainReceivesWhatChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 10000
		s := newPhaseSite(t, 2, jobs)
		defer s.stop()
		owner, entry := s.entries[0], s.entries[1]
		s.waitUntil(time.Minute, func(e *phaseEntry) bool { return e.knownPhases() == jobs })
		time.Sleep(time.Second)
		before, started := entry.receivedBytes(), time.Now()
		s.net.CutBoth(owner.name, entry.name)
		ask(owner, func(c *controller) bool { c.jobs.Cancel("0000000000000007"); return true })
		time.Sleep(2 * linkTiming.Silence)
		s.net.Heal(owner.name, entry.name)
		s.net.Heal(entry.name, owner.name)
		s.waitUntil(waitingAge, func(e *phaseEntry) bool {
			return ask(e, func(c *controller) bool { s, _ := c.phases.status("0000000000000007", c.now()); return s.Phase.Final() })
		})
		time.Sleep(5 * time.Second)
		received := entry.receivedBytes() - before
		t.Logf("received %d bytes", received)
		require.LessOrEqual(t, float64(received), time.Since(started).Seconds()*controlRate)
	})
}

// Guards against a new process of an entry that lacks phases: it begins with an
// empty cache, and the number of waiting jobs may be 2 s old.
func TestNewProcessOfAnEntryReceivesAllPhasesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 10000
		s := newPhaseSite(t, 2, jobs)
		defer s.stop()
		s.waitUntil(time.Minute, func(e *phaseEntry) bool { return e.knownPhases() == jobs })
		s.entries[1].group.Stop()
		time.Sleep(time.Second)
		s.entries[1] = s.start(1, 2)
		s.waitUntil(time.Minute, func(e *phaseEntry) bool { return e.linkedTo("entry-00") || e == s.entries[0] })
		s.waitUntil(waitingAge, func(e *phaseEntry) bool { return e.knownPhases() == jobs })
		require.Equal(t, jobs, ask(s.entries[1], func(c *controller) int { return c.phases.queued["consent-roster-1"] }))
	})
}

// Guards against an owner that holds phases back from an entry of the former
// program, and against an entry that trusts a mark of the former program: neither
// knows marks.
func TestPhasesWithProcessesOfTheFormerProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 1000
		s := newPhaseSite(t, 2, jobs)
		defer s.stop()
		s.waitUntil(time.Minute, func(e *phaseEntry) bool { return e.knownPhases() == jobs })
		messages := ask(s.entries[0], func(c *controller) int {
			l := &peerLink{hello: &msg.PeerHello{Member: msg.Member{Name: "former"}}}
			c.startFeed(l)
			defer c.feeds.end("former")
			return len(c.feeds.byEntry["former"].backlog)
		})
		require.Equal(t, jobs, messages)
		mark := ask(s.entries[1], func(c *controller) msg.PhaseMark {
			c.published.phases.Set(nil)
			c.phasesReceived(&msg.JobPhases{Epoch: c.owner.Epoch()})
			return c.hello(EntryConfig{}).Phases
		})
		require.Zero(t, mark)
	})
}

// Guards against an entry that calls the table service at each request for a phase
// that the owner has not sent yet, and against the answer that an accepted job
// does not exist or is not cancelled meanwhile.
func TestPhaseThatTheOwnerHasNotSentIsReadOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPhaseSite(t, 0, 1)
		defer s.stop()
		e := s.start(1, 1)
		defer e.group.Stop()
		h := &jobHandler{controller: e.c, log: e.c.log}
		const id, seconds, requests = "0000000000000000", 10, 200
		for range requests {
			status, err := h.Status(t.Context(), workload.Queue{}, id)
			require.NoError(t, err)
			require.Equal(t, workload.Queued, status.Phase)
			time.Sleep(seconds * time.Second / requests)
		}
		require.LessOrEqual(t, s.table.reads.Next()-1, uint64(rowsOfPhase*seconds))
		_, err := h.Status(t.Context(), workload.Queue{}, "0000000000000001")
		require.ErrorIs(t, err, jobapi.ErrNoJob)
		require.NoError(t, h.Cancel(t.Context(), workload.Queue{}, id))
		status, err := h.Status(t.Context(), workload.Queue{}, id)
		require.NoError(t, err)
		require.Equal(t, workload.Cancelled, status.Phase)
	})
}

// rowsOfPhase is the number of rows that an entry reads for the phase of a job.
const rowsOfPhase = 3

// Guards against a feed that reports an entry as complete which lacks phases, for
// any order of changes, ticks and ends of links that lose what is in transit.
func TestEntryHasEveryPhaseThatItsMarkCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const queue = "a-queue-whose-jobs-fill-a-message-soon"
		phases := map[workload.JobID]workload.Phase{}
		numbers := map[workload.JobID]uint64{}
		newest := uint64(0)
		change := func(n int, p workload.Phase) (changes []msg.JobPhase) {
			for range n {
				id := workload.JobID(fmt.Sprintf("job-%03d", rapid.IntRange(0, 400).Draw(t, "job")))
				newest++
				phases[id], numbers[id] = max(p, phases[id]), newest
				changes = append(changes, msg.JobPhase{ID: id, Queue: queue, Phase: phases[id]})
			}
			return changes
		}
		lookup := func(id workload.JobID) (msg.JobPhase, bool) {
			p, known := phases[id]
			return msg.JobPhase{ID: id, Queue: queue, Phase: p}, known
		}
		change(rapid.IntRange(0, 400).Draw(t, "restored"), workload.Queued)
		feeds := newPhaseFeeds(1, newest, 0)
		entry := map[workload.JobID]workload.Phase{}
		mark := uint64(0)
		var transit []*msg.JobPhases
		send := func(messages []phaseMessage) {
			for _, m := range messages {
				require.LessOrEqual(t, encodedSize(m.message), maxPhasesBytes+phaseOverheadBytes*4)
				transit = append(transit, m.message)
			}
		}
		link := func() {
			transit = nil
			var backlog []workload.JobID
			for id, n := range numbers {
				if n > mark {
					backlog = append(backlog, id)
				}
			}
			feeds.start(&peerLink{hello: &msg.PeerHello{Member: msg.Member{Name: "entry"}}}, backlog)
		}
		deliver := func() {
			m := transit[0]
			transit = transit[1:]
			for _, p := range m.Jobs {
				entry[p.ID] = max(entry[p.ID], p.Phase)
			}
			if m.UpTo != 0 {
				mark = m.UpTo
			}
			for id, n := range numbers {
				if _, known := entry[id]; n <= mark && (!known || entry[id] < phases[id]) {
					t.Fatalf("mark %d covers change %d of %s", mark, n, id)
				}
			}
		}
		link()
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				send(feeds.publish(change(rapid.IntRange(1, 150).Draw(t, "changes"), workload.Phase(rapid.IntRange(0, 4).Draw(t, "phase"))), newest))
			},
			"tick": func(*rapid.T) { send(feeds.tick(lookup)) },
			"link": func(*rapid.T) { link() },
			"deliver": func(*rapid.T) {
				if len(transit) > 0 {
					deliver()
				}
			},
		})
		for range 100 {
			send(feeds.tick(lookup))
		}
		for len(transit) > 0 {
			deliver()
		}
		require.Equal(t, phases, entry)
	})
}

// Pattern: an owner takes over at a site of 55 entries with 2,000 jobs.
// Guards against entries that list the waiting jobs wrongly for seconds because
// backlogs take the rate of the smallest connection, whatever that of the owner is; and
// against backlogs that take all of a connection which is smaller than that.
func TestBacklogsTakeAQuarterOfTheOwnersConnection(t *testing.T) {
	const entries, jobs = 54, 2000
	for linkRate, limit := range map[int64]time.Duration{2_000_000: time.Hour, 20_000_000: 10 * time.Second, 200_000_000: 2 * time.Second} {
		feeds := newPhaseFeeds(1, jobs, linkRate)
		var backlog []workload.JobID
		for i := range jobs {
			backlog = append(backlog, workload.JobID(fmt.Sprintf("%016d", i)))
		}
		for i := range entries {
			feeds.start(&peerLink{hello: &msg.PeerHello{Member: msg.Member{Name: fmt.Sprint(i)}}}, backlog)
		}
		lookup := func(id workload.JobID) (msg.JobPhase, bool) { return msg.JobPhase{ID: id, Queue: "consent-1"}, true }
		ticks, bytes := 0, 0
		for len(feeds.turns) > 0 {
			ticks++
			for _, m := range feeds.tick(lookup) {
				bytes += encodedSize(m.message)
			}
		}
		took := time.Duration(ticks) * controllerTick
		t.Logf("%d bits/s: %v, %d bytes", linkRate, took, bytes)
		require.LessOrEqual(t, took, limit)
		// A message of 4 KB a tick is the least.
		require.LessOrEqual(t, float64(bytes)/took.Seconds(), max(float64(linkRate)/8/3, 1.2*maxPhasesBytes/controllerTick.Seconds()))
	}
}
