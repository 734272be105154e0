package jobdaemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// endsPerAnswer is how many ends a backend server lists in one answer to a poll.
const endsPerAnswer = 500

// submitSmall stores a job whose tasks fit on one host together.
func (s *ownerSite) submitSmall(tasks int) {
	h := &jobHandler{controller: s.entries["entry-1"].controller, log: s.entries["entry-1"].controller.log, metrics: s.entries["entry-1"].controller.metrics}
	require.NoError(s.t, h.Submit(s.t.Context(), workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, workload.Job{ID: "00000000000000a1", Queue: "q", Service: "desk", MaxAttempts: 3, Steps: []workload.Step{
		{Count: tasks, Need: workload.Resources{MilliCPU: 1}, Estimate: 3 * time.Second},
	}}))
	s.advance(3 * time.Second)
}

// Guards against tasks that run again although they have ended as done: the agent of
// their host was started again, the backend server lists 500 ends in an answer, and the
// owner took the runs that neither its runs nor these ends name for lost.
func TestEndsBeyondTheFirstAnswerRunNoTaskAgain(t *testing.T) {
	nothing := func(*ownerSite, []*memoryBackend) {}
	for name, then := range map[string]func(s *ownerSite, b []*memoryBackend){
		"alone": nothing,
		"the agent is started again meanwhile": func(s *ownerSite, b []*memoryBackend) {
			s.advance(120 * time.Millisecond)
			b[0].agentGroup.Cancel()
			s.advance(100 * time.Millisecond)
			s.startAgent(0, b[0])
		},
		"the owner is killed meanwhile": func(s *ownerSite, _ []*memoryBackend) {
			s.advance(120 * time.Millisecond)
			s.kill("entry-0")
		},
		"the owner is killed with the agent": func(s *ownerSite, _ []*memoryBackend) { s.kill("entry-0") },
		"the table service is away meanwhile": func(s *ownerSite, _ []*memoryBackend) {
			s.setOutage(true)
			s.advance(5 * time.Second)
			s.setOutage(false)
		},
	} {
		for _, tasks := range []int{endsPerAnswer - 1, endsPerAnswer, endsPerAnswer + 1, 2*endsPerAnswer + 1} {
			t.Run(fmt.Sprintf("%s, %d tasks", name, tasks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newOwnerSite(t, 800, 400, 190)
					defer s.stop()
					backends, _ := s.newRestartableBackends(1)
					s.submitSmall(tasks)
					require.Len(t, backends[0].running(), tasks)
					other := newMemoryBackend(1)
					s.startAgent(1, other)
					s.advance(3 * time.Second)
					backends[0].agentGroup.Cancel()
					s.advance(100 * time.Millisecond)
					backends[0].endRuns(workload.EndDone)
					s.startAgent(0, backends[0])
					then(s, backends)
					for range 500 {
						s.advance(40 * time.Millisecond)
						require.Zero(t, len(backends[0].running())+len(other.running()), "tasks that are done run again")
					}
					require.EqualValues(t, tasks, backends[0].ended(), "a task that is done was started again")
					require.Empty(t, backends[0].unacknowledged())
				})
			})
		}
	}
}

// ended returns the number of runs that have ended.
func (b *memoryBackend) ended() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastEnd
}

// unacknowledged returns the numbers of the ends that are not acknowledged.
func (b *memoryBackend) unacknowledged() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []uint64
	for _, e := range b.ends {
		list = append(list, e.Number)
	}
	return list
}
