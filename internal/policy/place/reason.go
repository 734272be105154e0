package place

import "fmt"

// Reason is why a worker was not chosen for a job, or why a job waits.
type Reason uint8

// Reasons. Their order is that of reasonNames.
const (
	ReasonNone Reason = iota
	ReasonResources
	ReasonWorkerState
	ReasonMayShare
	ReasonMustStayApart
	ReasonQuota
	ReasonImpossible    // the job exceeds the size of every empty worker
	ReasonRoundLimit    // the round reached Options.MaxStarts
	ReasonReserved      // the worker is reserved for another job that has waited long
	ReasonUnknownWorker // the worker does not exist or was removed
	ReasonUnproven      // the worker has its limit of unproven attempts
	ReasonAvoid         // the job failed on the worker and could run on another one
)

var reasonNames = [...]string{"none", "resources", "worker-state", "may-share", "must-stay-apart",
	"quota", "impossible", "round", "kept", "gone", "unproven", "avoid"}

// String returns the reason's name in the operators' API.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// MarshalText returns the reason's name; it never fails.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

var stateNames = [...]string{"ready", "suspect", "down", "draining", "quarantined", "probation"}

// String returns the state's name, which is the same as in charts/worker.scxml.
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
		return "the job would exceed its team's quota"
	case ReasonRoundLimit:
		return "the round reached its limit of started tasks; the job is tried again in the next round"
	}
	text := fmt.Sprintf("no worker can take the job now (%s), %d rounds so far", v.counts(), v.Rounds)
	if v.ReservedWorker != "" {
		text += fmt.Sprintf("; worker %s is reserved for it", v.ReservedWorker)
	}
	return text
}

// counts formats the number of workers for each reason.
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
