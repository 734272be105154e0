package wire

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
)

// messageLosses has, for each message on a link, what makes up for a message that was sent
// and is lost with its link, and within which time. A link ends after 1.2 s of silence (6 s
// between an agent and an entry that does not own the jobs, 4 s on the request path).
var messageLosses = map[string]string{
	// Job scheduler.
	"PeerHello":          "the first message of the next link",
	"Heartbeat":          "the silence ends the link; intervals and epochs are sent on the next one",
	"Members":            "the whole list on the next link; the table service is read each 5 s",
	"HostAnnounced":      "sent on the next link, and at each change",
	"OwnerClaim":         "sent on the next link while the owner owns the jobs; else the epoch in hellos and heartbeats, and the row",
	"HostInventory":      "sent again after 2 s, and claimed again on the next link",
	"InventoryAccepted":  "the inventory is sent again after 2 s",
	"RunsReleased":       "nothing: the next owner waits for the lists in the row, or for the leases (design.md, 3.6)",
	"StartRuns":          "the inventory on the next link, in which the runs are missing",
	"StopRuns":           "the inventory on the next link, in which the runs are listed; else their leases end",
	"RunsChanged":        "the inventory on the next link",
	"RunsProgress":       "the next report, or the inventory on the next link",
	"LeaseGrant":         "the next report; a host without grants is claimed again after 1 s",
	"EndsAcknowledged":   "the ends in the inventory on the next link are acknowledged again",
	"JobSubmitted":       "the owner's watch, 2.1 s (TestTimeoutsKeepTheirPromises)",
	"JobCancelled":       "sent on the next link until the owner shows it; the owner's watch, 2.1 s (TestTimeoutsKeepTheirPromises)",
	"JobPhases":          "the next feed begins after the mark in the hello",
	"ConfigAnnounced":    "sent on the next link, and at each version; an entry that watches reads the row itself",
	"ConfigChunkRequest": "sent again, to another entry, after 0.7 s, doubled for each one without an answer",
	"ConfigChunk":        "as ConfigChunkRequest",
	"StoreCall":          "peerCommitTimeout, 1 s: the outcome is unknown, and the caller repeats the transaction",
	"StoreResult":        "as StoreCall",
	// Request path and its jobs.
	"AgentHello":     "the first message of the next link",
	"EntryHello":     "the first message of the next link",
	"BackendState":   "sent on the next link, and at each change",
	"CreditGrant":    "the link has credits of its own generation; those of an older one are invalid",
	"CreditRecall":   "as CreditGrant",
	"CreditReturn":   "as CreditGrant",
	"Demand":         "sent again while the queue is not empty",
	"OutcomeQuery":   "sent again on the next link until the request's deadline",
	"OutcomeReply":   "as OutcomeQuery",
	"DrainBackend":   "nothing: the status shows that the backend server does not drain",
	"ConfigDelta":    "the agent requests the versions that it lacks on the next link",
	"ConfigRequest":  "sent on the next link; to another entry of the job scheduler as ConfigChunkRequest",
	"ConfigApplied":  "sent on the next link",
	"CellClaim":      "sent on the next link",
	"LeaseRenew":     "the next renewal; else the leases end",
	"StartTask":      "sent again by the chart of the attempt (commandRetry)",
	"StopTask":       "as StartTask",
	"CheckpointTask": "as StartTask; else checkpointTimeout, after which the task is stopped",
	"ThrottleTask":   "sent again while the limit is in force (throttleRepeatInterval)",
	"TaskAck":        "the report is sent again",
	"TaskReport":     "sent again until it is acknowledged",
	"Inventory":      "sent on the next link",
	"LeaseAck":       "the next renewal",
	"UsageReport":    "the next report",
}

// Guards against a message that is sent once and forgotten: a cancel that was lost with its
// link had nobody who noticed it. A new message needs an entry.
func TestLossOfEveryMessageIsMadeUpFor(t *testing.T) {
	var found, listed []string
	for name := range controlTypes() {
		found = append(found, name)
	}
	for name, answer := range messageLosses {
		require.NotEmpty(t, answer, name)
		listed = append(listed, name)
	}
	sort.Strings(found)
	sort.Strings(listed)
	require.Equal(t, listed, found)
}
