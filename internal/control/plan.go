package control

import (
	"maps"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// mergeLabels returns labels with more added. For a key in both, the value of
// more is used.
func mergeLabels(labels, more model.Labels) model.Labels {
	if len(more) == 0 {
		return labels
	}
	merged := make(model.Labels, len(labels)+len(more))
	maps.Copy(merged, labels)
	maps.Copy(merged, more)
	return merged
}

// labelsOf returns the labels by which selectors match the tasks of a job.
func (c *Core) labelsOf(j *job) model.Labels {
	if j.labels == nil {
		j.labels = c.jobLabels(j.row.Spec)
	}
	return j.labels
}

func (c *Core) jobLabels(spec model.JobSpec) model.Labels {
	labels := model.Labels{}
	for _, more := range []model.Labels{c.config.Teams[spec.Team], c.config.Classes[spec.Class], spec.Labels, c.config.Jobs[spec.ID]} {
		maps.Copy(labels, more)
	}
	labels["team"], labels["class"] = string(spec.Team), string(spec.Class)
	return labels
}

func (c *Core) configure(config Configuration) {
	c.config = config
	c.rules, _ = place.CompileRules(config.Selectors)
	for _, p := range c.sortedPeers() {
		c.setWorker(p)
		c.updateDraining(p)
	}
	for _, j := range c.jobs {
		j.labels = nil
	}
	c.planNeeded = true
}

func (c *Core) snapshot() place.Snapshot {
	s := place.Snapshot{
		Workers: c.ledger.Workers(), Selectors: c.config.Selectors,
		Quotas: c.config.Quotas, TeamUse: c.ledger.TeamUse(),
	}
	for _, j := range selectJobs(c.pending, func(*job) bool { return true }) {
		s.Jobs = append(s.Jobs, c.plannerJob(j))
	}
	s.Claims = c.activeCapacityClaims()
	return s
}

func (c *Core) plannerJob(j *job) place.Job {
	return place.Job{Spec: j.row.Spec, Labels: c.labelsOf(j), Size: j.size, SubmitOrder: j.order, Avoid: c.workersToAvoid(j.id)}
}

// plan places waiting jobs. The ledger checks each assignment against its
// present state and reserves the resources; the start command is sent once the
// job row is committed.
func (c *Core) plan() {
	c.planNeeded = false
	s := c.snapshot()
	if len(s.Jobs) == 0 || len(s.Workers) == 0 {
		return
	}
	plan := c.opts.Planner.Plan(s)
	policy := place.Policy{Rules: c.rules, Quotas: c.config.Quotas, Claims: s.Claims}
	for _, a := range plan.Assignments {
		j := c.jobs[a.Job]
		if j == nil || c.peers[a.Worker] == nil || !jobChart.Can(j, j.phase, evPlace) {
			continue
		}
		if c.batch.full() {
			c.planNeeded = true // the remaining jobs are planned with the next transaction
			break
		}
		task := c.ledgerTask(j, j.row.Attempt+1)
		if c.ledger.Reserve(a, task, policy) != place.ReasonNone {
			c.planNeeded = true
			continue
		}
		j.targetWorker = a.Worker
		c.stepJob(j, evPlace)
		delete(c.capacityClaims, j.id)
	}
	c.preempt(plan.Unplaced)
	for _, verdict := range plan.Unplaced {
		c.recordVerdict(verdict)
	}
}

// recordVerdict records why a job was not placed. If the job fits no worker at
// all, the reason is also written to its row, where its submitter can see it.
func (c *Core) recordVerdict(verdict place.Verdict) {
	j := c.jobs[verdict.Job]
	if j == nil || j.phase != stPending {
		return
	}
	impossible := verdict.Reason == place.ReasonImpossible
	if impossible != (j.lastVerdict.Reason == place.ReasonImpossible) {
		j.row.Reason = ""
		if impossible {
			j.row.Reason = verdict.Text()
		}
		c.queueWrite(j)
	}
	j.lastVerdict = verdict
}
