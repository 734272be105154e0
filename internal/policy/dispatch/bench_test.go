package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

// steadyLoad is a queue of constant length: for each request that is admitted
// one is dispatched to one of the candidates.
type steadyLoad struct {
	queue      *Queue
	candidates []Candidate
	key        Key
	now        time.Time
	load       Load
}

func newSteadyLoad(queued, instances int) *steadyLoad {
	classes := newEstimates(map[model.Class]time.Duration{"read": 10 * time.Millisecond, "consent": 25 * time.Millisecond})
	s := &steadyLoad{queue: NewQueue(Options{}, classes), candidates: make([]Candidate, instances), now: startTime}
	for i := range s.candidates {
		s.candidates[i] = Candidate{Credits: 1, Running: i % 8, Slots: 8, RTT: time.Millisecond, Slowness: 1}
	}
	n := 8 * instances
	s.load = Load{Sent: Count{Short: n}, Started: Count{Short: n}}
	for range queued {
		s.admit(true)
	}
	return s
}

func (s *steadyLoad) admit(idle bool) {
	s.key++
	tenant := model.Tenant([]string{"a", "b", "c", "d"}[s.key%4])
	s.queue.Admit(s.now, Request{Key: s.key, Class: "read", Tenant: tenant, Arrived: s.now, Deadline: s.now.Add(time.Minute)}, s.load, idle)
}

func (s *steadyLoad) step() bool {
	s.now = s.now.Add(time.Millisecond)
	s.admit(false)
	Choose(s.candidates, 10*time.Millisecond)
	_, ok := s.queue.Next(s.now, true, func(Request, Refusal) {})
	return ok
}

// Guards against memory allocation for each request, which would cost
// processor time on the entry's host.
func TestDispatchAllocatesNothing(t *testing.T) {
	s := newSteadyLoad(100, 690)
	for range 1000 {
		require.True(t, s.step())
	}
	assert.Zero(t, testing.AllocsPerRun(1000, func() { s.step() }))
}

// BenchmarkDispatch measures Admit, Choose and Next of one request.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ queued, instances int }{{10, 11}, {100, 11}, {1000, 11}, {9000, 11}, {100, 69}, {100, 690}} {
		b.Run(fmt.Sprintf("queued=%d/instances=%d", size.queued, size.instances), func(b *testing.B) {
			s := newSteadyLoad(size.queued, size.instances)
			b.ReportAllocs()
			for b.Loop() {
				s.step()
			}
		})
	}
}
