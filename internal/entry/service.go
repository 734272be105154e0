package entry

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// instance is a backend server behind a linked agent.
type instance struct {
	dispatch.Candidate
	service  *service
	agent    *agent
	state    string
	longFree int
	reserved bool      // kept free of long requests
	slowness float64   // smoothed ratio of its slot times to the class means
	avoid    time.Time // a stream could not be opened: not used before this
}

// service is a service with its queue.
type service struct {
	name      model.Service
	queue     *dispatch.Queue
	classes   *dispatch.ClassEstimates
	budget    dispatch.RetryBudget
	calls     map[dispatch.Key]chan<- callMessage // of the queued requests
	instances []*instance
	flat      []dispatch.Candidate // scratch
	running   map[model.RequestID]runningRequest
	load      dispatch.Load // number of the running ones
	refused   int64
	demanded  demand // last report
	reported  time.Time
}

type runningRequest struct {
	long  bool
	class model.Class
	since time.Time     // when it was started; zero before
	aged  time.Duration // age at which it is counted again
}

type demand struct {
	queued, short int
}

func (s *service) refuse(call chan<- callMessage, why dispatch.Refusal) {
	s.refused++
	tell(call, callMessage{kind: callRefused, refusal: why})
}

func (s *service) inProgress() dispatch.Load {
	load := s.load
	load.Instances, load.Slots = len(s.instances), s.readySlots()
	return load
}

// idle reports whether a credit is free and nobody waits for it.
func (s *service) idle() bool {
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

func (s *service) readySlots() int {
	n := 0
	for _, i := range s.instances {
		if i.state == "ready" {
			n += i.Slots
		}
	}
	return n
}

// choose picks the instance for the next request. An instance whose agent
// still allows a long request is preferred while long ones wait.
func (s *service) choose(now time.Time) (*instance, bool) {
	long := s.queue.Len() > s.queue.ShortLen()
	s.flat = s.flat[:0]
	mayLong := false
	for _, i := range s.instances {
		c := i.Candidate
		c.Slowness = i.slowness
		if now.Before(i.avoid) {
			c.Credits = 0
		}
		if long && i.Credits > 0 && s.longAllowed(i) {
			mayLong = true
		}
		s.flat = append(s.flat, c)
	}
	if mayLong && s.queue.ShortLen() == 0 {
		for k, i := range s.instances {
			if !s.longAllowed(i) {
				s.flat[k].Credits = 0
			}
		}
	}
	k := dispatch.Choose(s.flat, s.meanOfAll())
	if k < 0 {
		return nil, false
	}
	return s.instances[k], s.longAllowed(s.instances[k])
}

func (s *service) meanOfAll() time.Duration {
	names := s.classes.Names()
	if len(names) == 0 {
		return 0
	}
	var sum time.Duration
	for _, n := range names {
		sum += s.classes.Mean(n)
	}
	return sum / time.Duration(len(names))
}

// longAllowed reports whether a long request may be sent to i.
func (s *service) longAllowed(i *instance) bool { return i.longFree > 0 && !i.reserved }

// reserve keeps one instance of each data centre that has several free of
// long requests, so that short ones always find a place nearby. It is called
// when the instances change: a search for each request cost the square of
// their number.
func (s *service) reserve() {
	first := map[model.DataCentre]*instance{}
	several := map[model.DataCentre]bool{}
	for _, i := range s.instances {
		dc := i.agent.worker.DataCentre
		i.reserved = false
		if f := first[dc]; f != nil {
			several[dc] = true
			if f.Backend < i.Backend {
				continue
			}
		}
		first[dc] = i
	}
	for dc, i := range first {
		i.reserved = several[dc]
	}
}
