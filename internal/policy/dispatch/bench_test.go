package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

// steady is a queue of a given length and a set of instances in which one
// request is dispatched for each that is admitted.
type steady struct {
	q    *Queue
	list []Candidate
	key  Key
	now  time.Time
	load Load
}

func newSteady(queued, instances int) *steady {
	classes := learned(map[model.Class]time.Duration{"read": 10 * time.Millisecond, "consent": 25 * time.Millisecond})
	s := &steady{q: NewQueue(Options{}, classes), list: make([]Candidate, instances), now: epoch}
	for i := range s.list {
		s.list[i] = Candidate{Credits: 1, Running: i % 8, Slots: 8, RTT: time.Millisecond, Slowness: 1}
	}
	n := 8 * instances
	s.load = Load{Sent: Count{Short: n}, Started: Count{Short: n}}
	for range queued {
		s.admit(true)
	}
	return s
}

func (s *steady) admit(idle bool) {
	s.key++
	tenant := model.Tenant([]string{"a", "b", "c", "d"}[s.key%4])
	s.q.Admit(s.now, Request{Key: s.key, Class: "read", Tenant: tenant, Arrived: s.now, Deadline: s.now.Add(time.Minute)}, s.load, idle)
}

func (s *steady) step() bool {
	s.now = s.now.Add(time.Millisecond)
	s.admit(false)
	Choose(s.list, 10*time.Millisecond)
	_, ok := s.q.Next(s.now, true, func(Request, Refusal) {})
	return ok
}

// Guards against garbage for each request, which costs the entry host CPU.
func TestDispatchAllocatesNothing(t *testing.T) {
	s := newSteady(100, 690)
	for range 1000 {
		require.True(t, s.step())
	}
	assert.Zero(t, testing.AllocsPerRun(1000, func() { s.step() }))
}

// BenchmarkDispatch measures Admit, Choose and Next of one request.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range []struct{ queued, instances int }{{10, 11}, {100, 11}, {1000, 11}, {9000, 11}, {100, 69}, {100, 690}} {
		b.Run(fmt.Sprintf("queued=%d/instances=%d", size.queued, size.instances), func(b *testing.B) {
			s := newSteady(size.queued, size.instances)
			b.ReportAllocs()
			for b.Loop() {
				s.step()
			}
		})
	}
}
