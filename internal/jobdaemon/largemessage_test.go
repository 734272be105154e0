package jobdaemon

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against tasks that never start because the starts of those that wait for one host
// exceed a message: the link ended each time they were sent.
func TestStartsThatExceedAMessageAreCarriedOut(t *testing.T) {
	const perMessage = 4 << 20 / 4080 // starts with the longest specification
	for _, tasks := range []int{perMessage - 20, perMessage + 20, 3 * perMessage} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOwnerSite(t, 800, 400, 190)
				defer s.stop()
				backends, _ := s.newRestartableBackends(1)
				h := &jobHandler{controller: s.entries["entry-1"].controller, log: s.entries["entry-1"].controller.log, metrics: s.entries["entry-1"].controller.metrics}
				require.NoError(t, h.Submit(t.Context(), workload.Queue{Name: "q", Service: "desk", MaxAttempts: 3}, workload.Job{
					ID: "00000000000000a1", Queue: "q", Service: "desk", MaxAttempts: 3, Specification: strings.Repeat("s", workload.MaxSpecificationBytes),
					Steps: []workload.Step{{Count: tasks, Need: workload.Resources{MilliCPU: 1}, Estimate: time.Minute}},
				}))
				for range 50 {
					s.advance(100 * time.Millisecond)
					s.discardLogs(backends)
				}
				require.Equal(t, tasks, len(backends[0].running()))
			})
		})
	}
}

// discardLogs makes room for the log lines of the processes.
func (s *ownerSite) discardLogs(backends []*memoryBackend) {
	for _, e := range s.entries {
		e.logged(0)
	}
	for _, b := range backends {
		for len(b.events) > 0 {
			<-b.events
		}
	}
}
