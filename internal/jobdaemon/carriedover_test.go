package jobdaemon

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// lateStart returns a start of a job that nothing has answered, and that the agent of the
// host has given up: the backend server has seen a higher token.
func lateStart(t *testing.T, s *incarnationSite) (*siteHost, hostagent.Call) {
	s.submit("job", 1)
	s.core.Plan()
	messages := s.core.Messages()
	require.Len(t, messages, 1)
	h := s.hosts[slices.IndexFunc(s.hosts, func(h *siteHost) bool { return h.name == messages[0].Host })]
	h.agent.Received(1, messages[0].Message)
	calls := h.agent.Calls()
	require.Len(t, calls, 1)
	start := calls[0]
	require.NotNil(t, start.Start)
	s.after(siteLostAnswer, func() {
		h.agent.Advance(s.now)
		h.agent.Answered(hostagent.Answer{Call: start, Err: runner.ErrOutcomeUnknown})
		h.collect()
	})
	s.run(siteLostAnswer + 200*time.Millisecond)
	return h, start
}

// Guards against a late start that takes effect in the next life of a backend server
// under its id, whose clock and token start anew: the first poll has a higher token.
func TestLateStartIsRejectedByTheNextLifeFromItsFirstPollOn(t *testing.T) {
	s := newIncarnationSite(t, 1, 1)
	s.run(2 * time.Second)
	h, start := lateStart(t, s)
	h.restart(60 * time.Millisecond)
	s.run(60*time.Millisecond + siteTick)
	require.NotNil(t, h.process)
	for h.process.token == 0 {
		s.run(siteTick)
	}
	t.Logf("the first poll arrives %v after the start of the process", s.now-h.process.startedAt)
	_, err := h.process.execute(start)
	require.ErrorIs(t, err, runner.ErrFenced)
	require.Greater(t, start.Start.LeaseMS, h.process.clockMS(), "its lease, a time on the former clock, would not reject it")
	s.run(5 * time.Second)
	require.Equal(t, workload.Completed, s.phases["job"])
}

// Guards against a task that runs again, after its end as done was acknowledged, because
// a late start, which its agent has given up, takes effect in the next life of the backend
// server before that has seen a call of the agent. Nothing in the protocol excludes it.
func TestLateStartBeforeTheFirstPollOfTheNextLifeRunsNoTaskTwice(t *testing.T) {
	s := newIncarnationSite(t, 1, 2)
	s.run(2 * time.Second)
	h, start := lateStart(t, s)
	s.run(2 * time.Second)
	require.Equal(t, workload.Completed, s.phases["job"], "the next run of the task")
	h.restart(60 * time.Millisecond)
	for former := h.process; h.process == former || h.process == nil; {
		s.run(siteTick)
	}
	require.Zero(t, h.process.token)
	_, err := h.process.execute(start)
	require.NoError(t, err)
	s.run(5 * time.Second)
	s.requireOnce()
}
