package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// wait is a field of the job scheduler that holds something back until an event arrives,
// beside the states of charts, whose waits are listed in charts/waiting_test.go and
// charts/retry_test.go.
type wait struct {
	field   string // package.type.field
	ends    string // the event that ends the wait, and what ends it without the event
	longest string // the longest time, with the tests of KNOWN-RED.txt that show a longer one
}

var waits = []wait{
	{"jobs.Core.cancelled", "the row of the job; else cancellationRetention", "1 min"},
	{"jobs.Core.early", "the row of the job; else earlyRunRetention, once more after an outage of the table service", "1 min, or an outage and 2 min"},
	{"jobs.Core.heldEnds", "each run of the task has started, ended or was refused; else its lease expires", "6.42 s after the last grant"},
	{"jobs.Core.waiting", "a host with room; more urgent tasks come first, but for a quarter of the rate of orders, which overdue tasks get", "the bytes of the overdue tasks before it divided by a quarter of the rate"},
	{"jobs.Core.suspects", "a host with room, reserved for an isolated task", "while no host has room; half of each pass is left to other tasks"},
	{"jobs.Core.reserved", "the isolated task starts or waits no more; else the reservation ends", "1.5 s (maxReservation), doubled for each unused one"},
	{"jobs.Core.unstoredEnds", "the next batch with all changed jobs is stored", "as storeRound.jobs, of the round that goes on and the next one"},
	{"jobs.storeRound.jobs", "each batch that is stored; what changes meanwhile belongs to the next round", "the changed rows divided by 80 for a batch, or 16 rows of attempts of one job, or an outage of the table service"},
	{"jobs.Core.pendingBatch", "BatchCommitted, BatchFailed or BatchRefused, as writer.committing", "as writer.committing"},
	{"jobs.Core.recoveryDeadline", "each expected host has sent its inventory or certainly has no runs; else maxRecovery, and as host.endsMissing", "7.42 s after formerOwnersActUntil, and as host.endsMissing"},
	{"jobs.host.endsMissing", "the agent's complete inventory, for which the ends before are stored; else the leases of the host end", "a batch and a poll for each 500 ends, or an outage of the table service"},
	{"jobs.Core.formerOwnersActUntil", "the time passes", "4 s (ownership.MajorityPermissionTime); 5 min after an owner of a former program"},
	{"jobs.endingLeases.releasing", "the batch that releases the jobs is stored, or another owner is known, either of which ends the ownership", "an outage of the table service"},
	{"jobs.endingLeases.urgent", "the next batch is stored, in which the owner's row omits the host", "an outage of the table service"},
	{"jobs.host.claimDueAt", "the time passes, and the claim is sent again", "1 s (claimRetry)"},
	{"jobs.Core.leasesBarred", "as charts/permission.scxml, lapsed", "until the owner's row is rewritten or claimed"},
	{"jobs.Core.confirmAfter", "the owner's row is rewritten", "an outage of the table service"},
	{"jobs.refusal.heldUntil", "the time passes, and the content is tried again", "3 s (refusedRetry) for each refusal; while the table service refuses it, as the log says"},
	{"jobs.Core.unsent", "the next planning pass", "one tick"},
	{"jobs.orderRate.exhausted", "the next tick refills what is available", "the bytes of one start divided by the rate"},
	{"jobs.host.starts", "the next planning pass", "one tick"},
	{"jobs.host.stops", "the next planning pass; without a link the next inventory", "as the run, which ends with its lease"},
	{"jobs.host.holds", "each run of an isolated task survives or ends; the next isolated task may take the host at once", "3 s (maxSurvivalTime); an overdue task that fits has a turn between two of them"},
	{"jobs.host.reservedSince", "as Core.reserved", "as Core.reserved"},
	{"jobs.roomReservation.task", "the long-running task starts or waits no more; else the reservation ends", "3 s (maxRoomReservation)"},
	{"jobs.roomReservation.pausedUntil", "the time passes, and another host may be kept free meanwhile", "3 s (roomReservationPause)"},
	{"jobs.reservations.pausedUntil", "the time passes, and isolated tasks are placed again", "3 s after a reservation that no task could use, 0.5 s between isolated tasks"},
	{"jobs.host.pausedUntil", "refusalPause; each refused start begins it anew", "100 ms for each refused start"},
	{"jobs.health.probationEnd", "a completed run, or probation; a failed run does not extend one that is in force", "3 s"},
	{"jobs.host.inventoryStartedAtMS", "the inventory of the present incarnation", "as charts/taskhost.scxml, claiming"},
	{"jobs.host.stored", "the list of hosts is stored", "an outage of the table service"},
	{"jobs.job.unstoredCrashes", "the next batch that has all changed rows of the job is stored", "as Core.unstoredEnds"},
	{"jobs.waiting.speedMatters", "hostselect.MaxWait after the last best-effort task became ready", "1.5 s"},
	{"hostagent.Core.unacknowledged", "EndsAcknowledged, which is sent again after an inventory, or the next incarnation", "the life of the link, or as Core.unstoredEnds"},
	{"hostagent.Core.allListed", "an answer to a poll with fewer than maxEndsPerPoll ends", "as jobs.host.endsMissing"},
	{"hostagent.Core.inventorySent", "a new claim, or the end of the link, clears it; else the inventory is sent again", "2 s (ownerAnswerTimeout)"},
	{"hostagent.Core.inventoryAccepted", "InventoryAccepted; else the inventory is sent again, and the owner gives the runs up when their leases have ended", "6.42 s after the last grant"},
	{"hostagent.Core.settlingPoll", "the poll is answered or fails", "as agent.calls"},
	{"hostagent.Core.callFailed", "a poll is answered, or the incarnation ends", "while the backend server is silent"},
	{"hostagent.Core.pollIgnored", "the next poll", "1.9 s (pollWait and slowAnswerTime)"},
	{"hostagent.Core.candidates", "an answer, two refused connections or candidateTimeout, which each announcement begins anew", "while an incarnation announces itself and does not answer"},
	{"hostagent.Core.askPresentNext", "the next poll", "1.9 s (pollWait and slowAnswerTime)"},
	{"hostagent.Core.leaseEndMS", "the time passes; each grant prolongs it", "6 s after the last grant"},
	{"hostagent.Core.sentLeaseMS", "the time passes; each call prolongs it while leaseEndMS allows", "5 s after the newest answered poll (RunLease)"},
	{"hostagent.incarnation.laterMayRun", "an answer or a refused connection; else leasesExpireAt", "7.12 s"},
	{"hostagent.incarnation.leasesExpireAt", "the time passes", "7.12 s after the process ended"},
	{"hostagent.suspension.uncertain", "the next answer, or the next incarnation", "while the backend server is silent"},
	{"hostagent.run.stopCalled", "the call is answered", "0.5 s for each two calls before it (callTimeout, maxCalls)"},
	{"hostagent.throttler.missingSince", "the latency falls below recoveredRatio of the target, or no serving task is left", "while serving tasks miss their targets"},
	{"ownership.Core.unlinked", "a link, or missingRetention while the owner can write its row", "1 min, or an outage of the table service and 1 min"},
	{"ownership.Core.ownerSeenAt", "absenceTimeout passes", "4 s, rankDelay for each entry before this one and 1 s"},
	{"ownership.Core.handedOverAt", "handOverInterval passes", "30 s"},
	{"ownership.Core.informed", "half of the named entries have echoed a heartbeat", "as FormerOwnersActUntil"},
	{"ownership.permission.missing", "a link with a fresh echo, or missingRetention while the owner can write its row", "1 min, or an outage of the table service and 1 min"},
	{"ownership.suspension.until", "suspensionRetention passes", "2 s"},
	{"ownership.entries.sent", "a write of the owner's row is stored", "an outage of the table service"},
	{"ownership.entries.leaving", "a write of the owner's row is stored, or a link", "an outage of the table service"},
	{"jobdaemon.agent.polling", "the poll is answered or fails", "1.9 s (pollWait and slowAnswerTime), and Poll.Pause"},
	{"jobdaemon.agent.calls", "the calls before are answered; a start that has waited for maxStartWait is answered when it comes first", "0.5 s for each two calls before (callTimeout, maxCalls); a start is settled after 2 s"},
	{"jobdaemon.agent.epochKnown", "the stored epoch is read, which is repeated", "an outage of the table service"},
	{"jobdaemon.agent.heldClaims", "as agent.epochKnown, or the end of the link", "as agent.epochKnown"},
	{"jobdaemon.controller.loading", "the stored jobs are read, which is repeated", "an outage of the table service"},
	{"jobdaemon.controller.deferred", "as controller.loading", "as controller.loading"},
	{"jobdaemon.writer.committing", "the transaction is stored or refused, or another entry owns the jobs; it is repeated", "an outage of the table service"},
	{"jobdaemon.writer.removing", "the rows are deleted, which is repeated", "an outage of the table service"},
	{"jobdaemon.writer.pendingSince", "batchDelay passes and no transaction is in flight", "150 ms, and writer.committing"},
	{"jobdaemon.writer.releasing", "the release is stored, as writer.committing", "an outage of the table service, or the drain"},
	{"jobdaemon.writer.retireReply", "the release is stored; the drain waits no longer than releaseBy", "charts/drain.scxml"},
	{"jobdaemon.phaseFeed.backlog", "the ticks send it at a bounded rate, or the link ends", "the bytes divided by a quarter of the connection"},
	{"jobdaemon.peerCommits.pending", "the answer or the end of the link; else peerCommitTimeout", "1 s"},
	{"jobdaemon.storeProxy.outage", "the next transaction that this process makes itself, after peerFirstPeriod at the latest", "1 s after the service answers"},
}

// noWaits are fields that TestWaitsAreListed takes for waits, and which hold nothing
// back.
var noWaits = map[string]string{
	"jobs.Decision.Age":                  "for the log",
	"jobs.Core.notReplacedUntil":         "see confirmAfter",
	"jobs.Status.Recovery":               "for the metrics",
	"jobs.Status.RecoveryWaiting":        "for the metrics",
	"jobs.host.heldUntil":                "a time of the past",
	"jobs.job.deadline":                  "the order of the tasks",
	"jobs.cursor.logOnly":                "during one pass",
	"jobs.placement.limit":               "during one pass",
	"jobs.PassStats.Waiting":             "for the log",
	"jobs.Batch.ends":                    "see Core.unstoredEnds",
	"jobs.requirement.bestEffort":        "a property of a step",
	"jobdaemon.encodedConfig.chunks":     "divided when a peer asks",
	"jobdaemon.encodedConfig.version":    "decoded at once",
	"jobdaemon.controller.tickedAt":      "a time of the past",
	"jobdaemon.ownerLog.formerActsUntil": "for the log",
	"jobdaemon.linkUnsent.unsent":        "a message that is not sent any more",
}

// waitPackages are the packages whose fields TestWaitsAreListed examines.
var waitPackages = []string{"jobs", "hostagent", "ownership", "jobdaemon"}

var (
	// waitNames and waitComments match names and comments of fields that may be waits.
	waitNames    = regexp.MustCompile(`(?i)until|deadline|pending|loading|committing|releasing|removing|held|reserved|missing|paused|unsent|unstored|early|polling`)
	waitComments = regexp.MustCompile(`(?i)\b(until|not yet|yet|in flight|pending|waits?|waiting|held|unanswered|not acknowledged)\b`)
	testName     = regexp.MustCompile(`\bTest\w+`)
)

// Guards against a field that holds something back for something that may never come:
// claims, batches and reservations waited without a limit. A new field that looks like a
// wait needs an entry here that says what ends it.
func TestWaitsAreListed(t *testing.T) {
	fields := map[string]string{} // comments by name
	for _, pkg := range waitPackages {
		addFields(t, pkg, fields)
	}
	knownRed, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, w := range waits {
		for _, name := range testName.FindAllString(w.longest, -1) {
			require.Contains(t, string(knownRed), "\n"+name+" ./", "%s has a bound now, or none that is known", w.field)
		}
		require.NotEmpty(t, w.ends, w.field)
		require.NotEmpty(t, w.longest, w.field)
		require.False(t, listed[w.field], "%s is listed twice", w.field)
		listed[w.field] = true
	}
	for field := range noWaits {
		require.False(t, listed[field], "%s is listed as a wait", field)
		listed[field] = true
	}
	for field := range listed {
		require.Contains(t, fields, field, "the field does not exist any more")
	}
	var unlisted []string
	for field, comment := range fields {
		if !listed[field] && mayWait(field, comment) {
			unlisted = append(unlisted, field)
		}
	}
	sort.Strings(unlisted)
	require.Empty(t, unlisted, "list what ends these waits")
}

// Guards against a check that no longer takes a new wait for one.
func TestNewWaitsAreFound(t *testing.T) {
	require.True(t, mayWait("jobs.host.held", ""))
	require.True(t, mayWait("jobs.host.closed", "until the agent answers"))
	require.False(t, mayWait("jobs.host.used", "charges of the runs"))
}

// mayWait reports whether the name or the comment of a field shows that it may be a
// wait.
func mayWait(field, comment string) bool {
	return waitNames.MatchString(field[strings.LastIndex(field, ".")+1:]) || waitComments.MatchString(comment)
}

// addFields adds the fields of the types of a package with their comments.
func addFields(t *testing.T, pkg string, fields map[string]string) {
	files, err := filepath.Glob(path.Join("..", pkg, "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments|parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(f, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				addFieldsOf(pkg+"."+spec.Name.Name, spec.Type, fields)
			}
			return true
		})
	}
}

func addFieldsOf(typeName string, expr ast.Expr, fields map[string]string) {
	s, ok := expr.(*ast.StructType)
	if !ok {
		return
	}
	for _, f := range s.Fields.List {
		for _, n := range f.Names {
			fields[typeName+"."+n.Name] = f.Doc.Text() + f.Comment.Text()
		}
	}
}
