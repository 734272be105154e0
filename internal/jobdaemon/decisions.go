package jobdaemon

import (
	"fmt"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/workload"
)

var ownerEvents = map[jobs.DecisionKind]event.Event{
	jobs.JobAdmitted: event.JobAdmitted, jobs.JobEnded: event.JobEnded, jobs.RunOrdered: event.RunOrdered, jobs.RunEnded: event.RunEnded,
	jobs.RunStopped: event.RunStopped, jobs.HostChanged: event.TaskHostChanged, jobs.TaskUnplaced: event.TaskUnplaced,
	jobs.TaskSuspected: event.TaskSuspected, jobs.JobUnstorable: event.JobUnstorable,
	jobs.ContentRefused: event.ContentRefused,
	jobs.LeasesExpired:  event.TaskLeasesExpired, jobs.HostWaits: event.TaskHostWaits,
}

// logDecision counts and logs a decision of the owner.
func (c *controller) logDecision(d jobs.Decision) {
	c.metrics.countDecision(d)
	fields := log.Fields{"epoch": c.jobs.Epoch(), "detail": d.Detail, "age-ms": d.Age.Milliseconds()}
	if d.Job != "" {
		fields["job"] = string(d.Job)
	}
	if d.Run.Task.Job != "" {
		fields["run"] = d.Run.String()
	}
	if d.Host != "" {
		fields["host"] = string(d.Host)
	}
	if d.Reason != "" {
		fields["reason"] = d.Reason
	}
	if d.Cause != "" {
		fields["cause"] = string(d.Cause)
	}
	switch d.Kind {
	case jobs.LeasesExpired:
		fields["unlinked-ms"], fields["runs"] = d.Unlinked.Milliseconds(), d.Runs
	case jobs.HostWaits:
		fields["runs"] = d.Runs
	}
	event.Log(c.log, ownerEvents[d.Kind], fields)
}

var agentEvents = map[hostagent.DecisionKind]event.Event{
	hostagent.OwnerAdopted: event.AgentOwnerAdopted, hostagent.OwnerLeft: event.AgentOwnerLeft, hostagent.OwnerRefused: event.AgentOwnerRefused,
	hostagent.RunSent: event.AgentRunSent, hostagent.StartRefused: event.AgentRunRefused, hostagent.RunRefused: event.AgentRunRefused,
	hostagent.RunUnconfirmed: event.AgentRunUnconfirmed, hostagent.IncarnationStarted: event.AgentIncarnationStarted, hostagent.IncarnationEnded: event.AgentIncarnationEnded,
	hostagent.RunThrottled: event.AgentRunThrottled, hostagent.AnnouncementDenied: event.AgentAnnouncementDenied,
}

// logDecision counts and logs a decision of the agent.
func (a *agent) logDecision(d hostagent.Decision) {
	a.cfg.metrics.countDecision(d)
	fields := log.Fields{"epoch": d.Epoch, "detail": d.Detail}
	if (d.Run != workload.RunID{}) {
		fields["run"] = d.Run.String()
	}
	switch d.Kind {
	case hostagent.OwnerAdopted, hostagent.OwnerLeft:
		fields["entry"], fields["lease-ms"], fields["runs"] = d.Entry, d.LeaseLeft.Milliseconds(), d.Runs
	case hostagent.RunSent:
		fields["entry"], fields["lease-ms"] = d.Entry, d.LeaseLeft.Milliseconds()
	case hostagent.OwnerRefused, hostagent.StartRefused:
		fields["entry"], fields["sender-epoch"] = d.Entry, d.SenderEpoch
	case hostagent.RunThrottled:
		fields["detail"] = fmt.Sprintf("pace=%d worst=%.2f image=%s", d.Throttle.Percent, d.Throttle.MaxRatio, d.Throttle.Image)
		a.throttling.add(d)
	}
	event.Log(a.log, agentEvents[d.Kind], fields)
}
