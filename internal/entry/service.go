package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// instance is a backend server behind a linked agent.
type instance struct {
	dispatch.Candidate
	service     *service
	agent       *agent
	state       string    // of the backend server, as its agent reports it
	longPermits int       // long requests that the agent still accepts
	reserved    bool      // accepts no long requests
	slowness    float64   // smoothed ratio of its slot times to the class means
	avoidUntil  time.Time // not chosen before this time, because a stream could not be opened
}

// service is a service with its queue and running requests.
type service struct {
	name         model.Service
	queue        *dispatch.Queue
	classes      *dispatch.ClassEstimates
	budget       dispatch.RetryBudget
	queuedCalls  map[dispatch.Key]chan<- callMessage // inboxes of the queued requests
	instances    []*instance
	candidates   []dispatch.Candidate // reused by choose
	running      map[model.RequestID]runningRequest
	load         dispatch.Load // numbers of requests that were sent and started
	refused      int64
	lastDemand   demand // last reported
	lastDemandAt time.Time
}

// runningRequest is a request with an assigned credit. It need not have started.
type runningRequest struct {
	long          bool
	class         model.Class
	startedAt     time.Time     // zero: not started
	nextSampleAge time.Duration // minimum age for the next sample
}

// demand counts queued requests: short ones, and all of them. If no instance
// accepts a long request, queued counts only the short ones.
type demand struct {
	queued, short int
}

// refuse counts a refusal and sends it to the request's actor.
func (s *service) refuse(inbox chan<- callMessage, reason dispatch.Refusal) {
	s.refused++
	sendToCall(inbox, callMessage{kind: callRefused, refusal: reason})
}

// currentLoad returns the running requests with the present numbers of instances
// and slots.
func (s *service) currentLoad() dispatch.Load {
	load := s.load
	load.Instances, load.Slots = len(s.instances), s.readySlots()
	return load
}

// hasIdleCredit reports whether a credit is free and no request is queued.
func (s *service) hasIdleCredit() bool {
	if s.queue.Len() > 0 {
		return false
	}
	for _, i := range s.instances {
		if i.Credits > 0 {
			return true
		}
	}
	return false
}

// readySlots returns the number of slots of the instances in state ready.
func (s *service) readySlots() int {
	n := 0
	for _, i := range s.instances {
		if i.state == "ready" {
			n += i.Slots
		}
	}
	return n
}

// choose returns the instance for the next request, or nil, and whether the
// request may be a long one. If only long requests are queued, instances that
// accept one are preferred.
func (s *service) choose(now time.Time) (*instance, bool) {
	longQueued := s.queue.Len() > s.queue.ShortLen()
	s.candidates = s.candidates[:0]
	longPossible := false
	for _, i := range s.instances {
		c := i.Candidate
		c.Slowness = i.slowness
		if now.Before(i.avoidUntil) {
			c.Credits = 0
		}
		if longQueued && i.Credits > 0 && s.longAllowed(i) {
			longPossible = true
		}
		s.candidates = append(s.candidates, c)
	}
	if longPossible && s.queue.ShortLen() == 0 {
		for k, i := range s.instances {
			if !s.longAllowed(i) {
				s.candidates[k].Credits = 0
			}
		}
	}
	k := dispatch.Choose(s.candidates, s.meanOverClasses())
	if k < 0 {
		return nil, false
	}
	return s.instances[k], s.longAllowed(s.instances[k])
}

// meanOverClasses returns the unweighted mean of the classes' mean durations.
func (s *service) meanOverClasses() time.Duration {
	names := s.classes.Names()
	if len(names) == 0 {
		return 0
	}
	var sum time.Duration
	for _, name := range names {
		sum += s.classes.Mean(name)
	}
	return sum / time.Duration(len(names))
}

// longAllowed reports whether a long request may be sent to i.
func (s *service) longAllowed(i *instance) bool { return i.longPermits > 0 && !i.reserved }

// reserveForShort reserves one instance of each data centre with several
// instances, the one with the lowest ID, for short requests, so that these find
// a free slot in their data centre. It is called when the instances change: a
// search for each request took time quadratic in their number.
func (s *service) reserveForShort() {
	first := map[model.DataCentre]*instance{}
	hasSeveral := map[model.DataCentre]bool{}
	for _, i := range s.instances {
		dc := i.agent.worker.DataCentre
		i.reserved = false
		if f := first[dc]; f != nil {
			hasSeveral[dc] = true
			if f.Backend < i.Backend {
				continue
			}
		}
		first[dc] = i
	}
	for dc, i := range first {
		i.reserved = hasSeveral[dc]
	}
}
