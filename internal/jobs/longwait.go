package jobs

import "time"

// longClaim is the time after which an unanswered claim is logged. It is longer than
// three repetitions of a claim take.
const longClaim = 3 * time.Second

// waitKind says for what the owner waits at a host.
type waitKind string

const (
	waitNone  waitKind = ""
	waitClaim waitKind = "inventory" // the agent has not answered the claim
	waitEnds  waitKind = "ends"      // the agent has not listed all ends
	waitGrant waitKind = "grant"     // the lease of the runs was not granted for longer than it lasts
)

// LogLongWaits logs the hosts at which the owner waits for long, each wait once. It
// examines every host, so it is called from time to time only.
func (c *Core) LogLongWaits() {
	for _, h := range c.hostsByName {
		kind, age := h.longestWait()
		if kind == h.longWait {
			continue
		}
		h.longWait = kind
		if kind != waitNone {
			c.addDecision(Decision{Kind: HostWaits, Host: h.info.Name, Detail: string(kind), Age: age, Reason: h.stateName(), Runs: len(h.runs)})
		}
	}
}

// longestWait returns the wait of the host that is long, and its time.
func (h *host) longestWait() (waitKind, time.Duration) {
	switch age := h.core.now - h.stateSince; {
	case h.state == hostClaiming && age > longClaim:
		return waitClaim, age
	case h.state == hostListing && age > longClaim:
		return waitEnds, age
	}
	mayHaveRuns := len(h.runs) > 0 || h.state == hostSilent
	if age := h.core.now - h.lastGrantAt; mayHaveRuns && age > LeaseExpiry {
		return waitGrant, age
	}
	return waitNone, 0
}

// stateName returns the name of the host's state in charts/taskhost.scxml.
func (h *host) stateName() string { return hostChart.StateName(h.state) }
