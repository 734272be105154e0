package control

import (
	"maps"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// merged returns labels with more added; more wins.
func merged(labels, more model.Labels) model.Labels {
	if len(more) == 0 {
		return labels
	}
	sum := make(model.Labels, len(labels)+len(more))
	maps.Copy(sum, labels)
	maps.Copy(sum, more)
	return sum
}

// labelsOf are the labels that selectors match a job's tasks by.
func (c *Core) labelsOf(j *job) model.Labels {
	if j.labels == nil {
		j.labels = c.jobLabels(j.row.Spec)
	}
	return j.labels
}

func (c *Core) jobLabels(s model.JobSpec) model.Labels {
	l := model.Labels{}
	for _, more := range []model.Labels{c.config.Teams[s.Team], c.config.Classes[s.Class], s.Labels, c.config.Jobs[s.ID]} {
		maps.Copy(l, more)
	}
	l["team"], l["class"] = string(s.Team), string(s.Class)
	return l
}

func (c *Core) configure(config Configuration) {
	c.config = config
	c.rules, _ = place.CompileRules(config.Selectors)
	for _, p := range c.sortedPeers() {
		c.setWorker(p)
		c.followDrain(p)
	}
	for _, j := range c.jobs {
		j.labels = nil
	}
	c.planning = true
}

func (c *Core) snapshot() place.Snapshot {
	s := place.Snapshot{
		Workers: c.ledger.Workers(), Selectors: c.config.Selectors,
		Quotas: c.config.Quotas, TeamUse: c.ledger.TeamUse(),
	}
	for _, j := range selected(c.pending, func(*job) bool { return true }) {
		s.Jobs = append(s.Jobs, c.waiting(j))
	}
	s.Claims = c.activeClaims()
	return s
}

func (c *Core) waiting(j *job) place.Job {
	return place.Job{Spec: j.row.Spec, Labels: c.labelsOf(j), Size: j.size, SubmitOrder: j.order, Avoid: c.avoid(j.id)}
}

// plan places waiting jobs: each assignment is verified and reserved at the
// newest state, and sent when its row is committed.
func (c *Core) plan() {
	c.planning = false
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
			c.planning = true // the others are planned with the next transaction
			break
		}
		task := c.task(j, j.row.Attempt+1)
		if c.ledger.Reserve(a, task, policy) != place.ReasonNone {
			c.planning = true
			continue
		}
		j.target = a.Worker
		c.stepJob(j, evPlace)
		delete(c.claims, j.id)
	}
	c.preempt(plan.Unplaced)
	for _, v := range plan.Unplaced {
		c.wait(v)
	}
}

// wait keeps why a job was not placed. A job that fits no worker at all is
// reported in its row, so that its owner learns of it at once.
func (c *Core) wait(v place.Verdict) {
	j := c.jobs[v.Job]
	if j == nil || j.phase != stPending {
		return
	}
	impossible := v.Reason == place.ReasonImpossible
	if impossible != (j.verdict.Reason == place.ReasonImpossible) {
		j.row.Reason = ""
		if impossible {
			j.row.Reason = v.Text()
		}
		c.write(j)
	}
	j.verdict = v
}
