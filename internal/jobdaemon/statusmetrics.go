package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
)

// ownerStatus is what an entry records of its ownership from time to time.
type ownerStatus struct {
	epoch       uint64 // 0: the entry does not own the jobs
	permission  permissionState
	confirmedAt time.Duration // newest time at which no other entry had replaced the owner
	jobs        jobs.Status
}

// permissionValues are the values of the gauge of the permission. An entry that does
// not own the jobs has 0.
var permissionValues = map[permissionState]float64{permissionUndisputed: 1, permissionDisputed: 2, permissionLapsed: 3}

// recordOwner records the status of the ownership at a time. The status of an entry
// that does not own the jobs is zero.
func (m *entryMetrics) recordOwner(s ownerStatus, now time.Duration) {
	age := time.Duration(0)
	if s.permission != "" {
		age = now - s.confirmedAt
	}
	m.gauge("owner_epoch", float64(s.epoch))
	m.gauge("owner_permission", permissionValues[s.permission])
	m.gauge("owner_confirmation_age_seconds", age.Seconds())
	m.gauge("former_owners_seconds", s.jobs.FormerOwners.Seconds())
	m.gauge("recovery_seconds", s.jobs.Recovery.Seconds())
	m.gauge("recovery_waiting_jobs", float64(s.jobs.RecoveryWaiting))
	m.gauge("oldest_claim_seconds", s.jobs.OldestClaim.Seconds())
	m.gauge("oldest_grant_seconds", s.jobs.OldestGrant.Seconds())
	m.gauge("silent_hosts", float64(s.jobs.Hosts.Silent))
	m.gauges("hosts", map[string]int{
		"ready": s.jobs.Hosts.Ready, "listing": s.jobs.Hosts.Listing, "claiming": s.jobs.Hosts.Claiming, "silent": s.jobs.Hosts.Silent, "away": s.jobs.Hosts.Away,
	})
	m.gauges("runs", map[string]int{"ordered": s.jobs.Runs.Ordered, "running": s.jobs.Runs.Running, "stopping": s.jobs.Runs.Stopping})
}

func (m *entryMetrics) gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// gauges sets a gauge for each state.
func (m *entryMetrics) gauges(name string, counts map[string]int) {
	for state, n := range counts {
		m.scope.Tagged(map[string]string{"state": state}).Gauge(name).Update(float64(n))
	}
}

// noPoll is the value of the gauge of the age of the newest answered poll while the
// present incarnation of the backend server has answered none.
const noPoll = -1

// recordStatus records the state of an agent.
func (m *agentMetrics) recordStatus(s hostagent.Status) {
	pollAge := float64(noPoll)
	if s.Polled {
		pollAge = s.PollAge.Seconds()
	}
	for name, value := range map[string]float64{
		"epoch": float64(s.Epoch), "entries": float64(s.Entries), "owner": float64(s.Obeys), "incarnation": float64(s.Incarnation),
		"poll_age_seconds": pollAge, "lease_left_ms": float64(s.LeaseLeft.Milliseconds()), "runs": float64(s.Runs),
	} {
		m.scope.Gauge(name).Update(value)
	}
}

// recordStatus sets the metrics of the agent's state if that is due.
func (a *agent) recordStatus(now time.Duration) {
	if a.recordedAt != 0 && now-a.recordedAt < statusRecordInterval {
		return
	}
	a.recordedAt = now
	a.cfg.metrics.recordStatus(a.core.Status())
}
