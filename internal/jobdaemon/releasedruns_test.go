package jobdaemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against an owner that inherits the runs of another one than the owner right before
// it: the one between may have started others.
func TestOnlyTheNextOwnerInheritsReleasedRuns(t *testing.T) {
	run := workload.RunID{Task: workload.TaskID{Job: "j"}, Number: 1}
	for epoch, inherits := range map[uint64]bool{4: false, 5: false, 6: true, 7: false} {
		for _, told := range []string{"before", "after", "in parts"} {
			c := &controller{startedAt: time.Now()}
			c.runsReleased(&msg.RunsReleased{Epoch: 3, Hosts: []msg.HostRuns{{Host: "old"}}})
			hosts := []msg.HostRuns{{Host: "a", Runs: []workload.RunID{run}}, {Host: "b"}}
			if told == "before" {
				c.runsReleased(&msg.RunsReleased{Epoch: 5, Hosts: hosts})
			}
			if told == "in parts" {
				c.runsReleased(&msg.RunsReleased{Epoch: 5, Hosts: hosts[:1]})
			}
			c.jobs = jobs.New(epoch, 0)
			c.inheritRuns()
			switch told {
			case "after":
				c.runsReleased(&msg.RunsReleased{Epoch: 5, Hosts: hosts})
			case "in parts":
				c.runsReleased(&msg.RunsReleased{Epoch: 5, Hosts: hosts[1:]})
			}
			c.runsReleased(&msg.RunsReleased{Epoch: 4, Hosts: []msg.HostRuns{{Host: "late"}}})
			c.jobs.ExpectHost("a")
			c.jobs.ExpectHost("b")
			c.jobs.Recover(jobs.FormerOwnersEnded)
			require.Equal(t, inherits, c.jobs.Status().Recovery == 0, "epoch %d, told %s", epoch, told)
		}
	}
}

// Guards against memory that an entry keeps for runs that it does not inherit.
func TestReleasedRunsAreForgotten(t *testing.T) {
	c := &controller{startedAt: time.Now()}
	c.runsReleased(&msg.RunsReleased{Epoch: 5, Hosts: []msg.HostRuns{{Host: "a"}}})
	c.released.prune(c.released.at + releasedRetention)
	require.NotEmpty(t, c.released.hosts)
	c.released.prune(c.released.at + releasedRetention + 1)
	require.Empty(t, c.released.hosts)
}
