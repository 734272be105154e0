package place

import "fmt"

// Reason says why a worker was not chosen for a job, or why a job waits.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonResources
	ReasonWorkerState
	ReasonMayShare
	ReasonMustStayApart
	ReasonQuota
	ReasonImpossible    // fits no worker even when it is empty
	ReasonRoundLimit    // the round placed the limit of tasks
	ReasonReserved      // the worker is kept for a job that waited too long
	ReasonUnknownWorker // the worker is not known
	ReasonUnproven      // the worker must first prove that it can run what it has
	ReasonAvoid         // the job failed on the worker
)

var reasonNames = [...]string{"none", "resources", "worker-state", "may-share", "must-stay-apart",
	"quota", "impossible", "round", "kept", "gone", "unproven", "avoid"}

// String is the reason's name in the operators' API.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// MarshalText writes the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

var stateNames = [...]string{"ready", "suspect", "down", "draining", "quarantined", "probation"}

// String is the state's name, which is also its name in charts/worker.scxml.
func (s WorkerState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Text explains the verdict to an operator.
func (v Verdict) Text() string {
	switch v.Reason {
	case ReasonImpossible:
		return "fits no worker even when it is empty; declare a smaller size"
	case ReasonQuota:
		return "the team's quota leaves no room for the job"
	case ReasonRoundLimit:
		return "the round already started its limit of tasks; the next round continues"
	}
	text := fmt.Sprintf("no worker has a place now (%s), %d rounds so far", v.counts(), v.Rounds)
	if v.ReservedWorker != "" {
		text += fmt.Sprintf("; worker %s is kept free for it", v.ReservedWorker)
	}
	return text
}

func (v Verdict) counts() string {
	text := ""
	for r := ReasonNone; int(r) < len(reasonNames); r++ {
		if n := v.Workers[r]; n > 0 {
			if text != "" {
				text += ", "
			}
			text += fmt.Sprintf("%s: %d", r, n)
		}
	}
	return text
}
