package jobdaemon

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
	tally "github.com/uber-go/tally/v4"

	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against a log of an agent in which the changes of processor shares displace the
// lines that tell why runs did not start.
func TestChangesOfProcessorSharesAreSummedUp(t *testing.T) {
	logged := memory.New()
	a := &agent{
		core: hostagent.New(hostagent.Config{Name: "a"}), startedAt: time.Now(), log: &log.Logger{Handler: logged, Level: log.InfoLevel},
		cfg: AgentConfig{metrics: &agentMetrics{tally.NoopScope}},
	}
	run := func(index int) workload.RunID {
		return workload.RunID{Task: workload.TaskID{Job: "j", Index: index}, Number: 1}
	}
	change := func(index, percent int, worst float64) {
		a.logDecision(hostagent.Decision{Kind: hostagent.RunThrottled, Run: run(index), Throttle: hostagent.ThrottleChange{Percent: percent, MaxRatio: worst}})
	}
	for i := range 100 {
		change(i, 100-i/2, float64(i)/50)
		a.logThrottling(time.Second + time.Duration(i)*20*time.Millisecond)
	}
	change(7, 5, 0.5)
	a.logThrottling(5900 * time.Millisecond)
	a.logThrottling(6 * time.Second)
	a.logThrottling(12 * time.Second)
	require.Len(t, logged.Entries, 2)
	require.Equal(t, log.Fields{
		"event": event.AgentRunsThrottled.ID, "epoch": uint64(0), "changes": 1, "runs": 1, "pace": "j.0.0.0#1:100", "worst": "0.00",
	}, logged.Entries[0].Fields)
	require.Equal(t, log.Fields{
		"event": event.AgentRunsThrottled.ID, "epoch": uint64(0), "changes": 100, "runs": 99, "worst": "1.98",
		"pace": "j.0.0.7#1:5,j.0.0.98#1:51,j.0.0.99#1:51,j.0.0.96#1:52,j.0.0.97#1:52,j.0.0.94#1:53,j.0.0.95#1:53,j.0.0.92#1:54",
	}, logged.Entries[1].Fields)
}
