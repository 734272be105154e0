package jobdaemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/ownership"
)

// eventRecorder keeps the log entries of a process.
type eventRecorder chan *log.Entry

// HandleLog implements log.Handler.
func (r eventRecorder) HandleLog(entry *log.Entry) error {
	r <- entry
	return nil
}

// logged returns the fields of the entries of an event since the last call, and
// discards all others.
func (r eventRecorder) logged(event int) []log.Fields { return r.loggedEvents(event)[event] }

// loggedEvents is like logged for several events.
func (r eventRecorder) loggedEvents(events ...int) map[int][]log.Fields {
	list := map[int][]log.Fields{}
	for len(r) > 0 {
		entry := <-r
		for _, e := range events {
			if entry.Fields["event"] == e {
				list[e] = append(list[e], entry.Fields)
			}
		}
	}
	return list
}

// Guards against a record of a task that ran twice from which it cannot be told who
// ordered the later run: the log of an agent named neither the owner nor its epoch.
func TestAgentLogsWhichOwnerOrderedARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		first := backends[0].events.loggedEvents(event.AgentRunSent.ID, event.AgentOwnerAdopted.ID)
		sent := first[event.AgentRunSent.ID]
		require.Len(t, sent, 1)
		require.Equal(t, "entry-0", sent[0]["entry"])
		require.EqualValues(t, 1, sent[0]["epoch"])
		require.InDelta(t, jobs.LeaseDuration.Milliseconds(), sent[0]["lease-ms"], 1000)
		require.Contains(t, sent[0]["run"], "00000000000000a1.0.0.")
		require.Equal(t, "entry-0", first[event.AgentOwnerAdopted.ID][0]["entry"])

		members, others := []string{"entry-0", "agent-0"}, []string{"entry-1", "entry-2", "agent-1", "agent-2"}
		require.NotEmpty(t, backends[1].events.logged(event.AgentOwnerAdopted.ID))
		s.cutOff(members, others)
		s.advance(20 * time.Second)
		left := backends[1].events.loggedEvents(event.AgentOwnerLeft.ID, event.AgentOwnerAdopted.ID)
		require.Len(t, left[event.AgentOwnerLeft.ID], 1)
		require.Equal(t, "entry-0", left[event.AgentOwnerLeft.ID][0]["entry"])
		require.EqualValues(t, 1, left[event.AgentOwnerLeft.ID][0]["epoch"])
		require.EqualValues(t, 1, left[event.AgentOwnerLeft.ID][0]["runs"])
		adopted := left[event.AgentOwnerAdopted.ID]
		require.NotEmpty(t, adopted)
		require.Equal(t, "entry-1", adopted[0]["entry"])
		require.EqualValues(t, 2, adopted[0]["epoch"])
		require.Greater(t, adopted[0]["lease-ms"], int64(0), "of the former owner")
		later := backends[2].events.logged(event.AgentRunSent.ID)
		require.Len(t, later, 1)
		require.Equal(t, "entry-1", later[0]["entry"])
		require.EqualValues(t, 2, later[0]["epoch"])
	})
}

// Guards against a record from which it cannot be told whether an owner gave up runs
// because it was cut off with a host, or because it was paused.
func TestOwnersLogWhyTheyGiveUpRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerSite(t, 800, 400, 190)
		defer s.stop()
		backends := s.startBackends(3)
		s.submitLongRunning(2)
		require.Len(t, backends[1].running(), 1)
		began := s.logged("entry-0", event.OwnershipStarted.ID)
		require.Len(t, began, 1)
		require.Empty(t, began[0]["former-owner"])
		require.Equal(t, true, began[0]["former-ended"])

		s.cutOff([]string{"entry-0", "agent-0"}, []string{"entry-1", "entry-2", "agent-1", "agent-2"})
		s.advance(20 * time.Second)
		former := eventRecorder(s.entries["entry-0"].events).loggedEvents(event.OwnerPermission.ID, event.TaskLeasesExpired.ID)
		permission := former[event.OwnerPermission.ID]
		require.NotEmpty(t, permission)
		permission = permission[len(permission)-1:]
		require.Equal(t, false, permission[0]["acts"])
		require.Equal(t, string(permissionLapsed), permission[0]["state"])
		require.Regexp(t, `^entry-[12]:\d+ms`, permission[0]["unlinked"])
		require.GreaterOrEqual(t, permission[0]["confirmed-ms"], ownership.PermissionTime.Milliseconds())
		require.Empty(t, former[event.TaskLeasesExpired.ID], "its successor may extend the leases")

		next := eventRecorder(s.entries["entry-1"].events).loggedEvents(event.OwnershipStarted.ID, event.TaskLeasesExpired.ID)
		require.Len(t, next[event.OwnershipStarted.ID], 1)
		claim := next[event.OwnershipStarted.ID][0]
		require.Equal(t, "entry-0", claim["former-owner"])
		require.EqualValues(t, 1, claim["former-epoch"])
		require.Equal(t, false, claim["former-ended"])
		require.EqualValues(t, 1, claim["linked"])
		require.Regexp(t, `^entry-0:\d+ms$`, claim["unlinked"])
		require.InDelta(t, ownership.MajorityPermissionTime.Milliseconds(), claim["former-acts-ms"], 200)
		require.Len(t, next[event.TaskLeasesExpired.ID], 1)
		require.Equal(t, "agent-0", next[event.TaskLeasesExpired.ID][0]["host"])
		require.Equal(t, "assumed", next[event.TaskLeasesExpired.ID][0]["detail"])

		require.Len(t, backends[1].running(), 1)
		s.cutOff([]string{"agent-1"}, []string{"entry-0", "entry-1", "entry-2"})
		s.advance(20 * time.Second)
		next = eventRecorder(s.entries["entry-1"].events).loggedEvents(event.TaskLeasesExpired.ID, event.RunEnded.ID)
		expired := next[event.TaskLeasesExpired.ID]
		require.Len(t, expired, 1)
		require.Equal(t, "agent-1", expired[0]["host"])
		require.Equal(t, "granted", expired[0]["detail"])
		require.Equal(t, 1, expired[0]["runs"])
		require.InDelta(t, jobs.LeaseExpiry.Milliseconds(), expired[0]["age-ms"], 1000)
		require.InDelta(t, (jobs.LeaseExpiry - linkTiming.Silence).Milliseconds(), expired[0]["unlinked-ms"], 1000)
		require.Len(t, next[event.RunEnded.ID], 1)
		require.Equal(t, string(jobs.LostLeaseExpired), next[event.RunEnded.ID][0]["cause"])
	})
}

// logged returns the fields of the entries of an event at an entry since the last call.
func (s *ownerSite) logged(entry string, event int) []log.Fields {
	return eventRecorder(s.entries[entry].events).logged(event)
}
