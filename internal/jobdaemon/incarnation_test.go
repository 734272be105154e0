package jobdaemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// Guards against tasks that run twice because a start reaches the next incarnation of
// a backend server, which has kept its id, while its agent knows the former one only:
// the owner took the run for lost at the first announcement and started the task
// elsewhere. Each seed is another schedule.
func TestTasksRunOnceWhileBackendServersRestartUnderTheirIDs(t *testing.T) {
	for _, down := range []time.Duration{siteTick, 60 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%v/%d", down, seed), func(t *testing.T) {
				s := newIncarnationSite(t, seed, 4)
				s.lost, s.late = 0.02, 0.02
				s.loadWhile(20*time.Second, 700*time.Millisecond, func(i int) {
					s.hosts[i%len(s.hosts)].restart(down)
					if i%5 == 0 { // twice within one interval of announcements
						s.after(down+100*time.Millisecond, func() { s.hosts[i%len(s.hosts)].restart(down) })
					}
				})
				s.run(20 * time.Second)
				s.requireOnce()
				require.Greater(t, s.starts, 400)
			})
		}
	}
}

// loadWhile submits jobs for d, and calls trouble once in each interval.
func (s *incarnationSite) loadWhile(d, interval time.Duration, trouble func(i int)) {
	s.run(2 * time.Second)
	const submitEvery = 100 * time.Millisecond
	for i := range int(d / submitEvery) {
		s.submit(fmt.Sprintf("job-%04d", i), 4)
		s.run(submitEvery)
		if at := time.Duration(i) * submitEvery; at%interval == 0 {
			trouble(int(at / interval))
		}
	}
}

// Guards against announcements of another writer, for which the agent gave up all runs
// of its backend server: their tasks started elsewhere too. The backend servers stay
// usable.
func TestAnnouncementsOfAnotherWriterEndNoRuns(t *testing.T) {
	for kind := range otherKinds {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d/%d", kind, seed), func(t *testing.T) {
				s := newIncarnationSite(t, seed, 4)
				s.hosts[0].announceOther(kind) // before its own
				s.loadWhile(20*time.Second, 500*time.Millisecond, func(i int) { s.hosts[i%2].announceOther(kind) })
				s.run(5 * time.Second)
				s.requireOnce()
				for _, h := range s.hosts {
					require.Equal(t, workload.HostReady, h.agent.Host().State, h.name)
					require.EqualValues(t, "desk", h.agent.Host().Service, h.name)
				}
			})
		}
	}
}

// Guards against the two kinds of trouble together: backend servers restart under their
// ids while another writer announces incarnations.
func TestTasksRunOnceBesideAnotherWriter(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newIncarnationSite(t, seed, 4)
			s.lost, s.late = 0.02, 0.02
			s.loadWhile(20*time.Second, 200*time.Millisecond, func(i int) {
				s.hosts[i%len(s.hosts)].announceOther(i / 3)
				if i%4 == 0 {
					s.hosts[(i/4)%len(s.hosts)].restart(60 * time.Millisecond)
				}
			})
			s.run(20 * time.Second)
			s.requireOnce()
		})
	}
}

// Guards against tasks that run twice because an agent or its backend server is
// stopped in order and starts again, both at the same moment too.
func TestTasksRunOnceWhileAgentsAndBackendServersAreReplaced(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newIncarnationSite(t, seed, 4)
			s.lost, s.late = 0.02, 0.02
			s.loadWhile(20*time.Second, 900*time.Millisecond, func(i int) {
				h := s.hosts[i%len(s.hosts)]
				switch i % 3 {
				case 0:
					h.leave(60 * time.Millisecond)
				case 1:
					h.restartAgent()
				case 2:
					h.restartAgent()
					h.restart(60 * time.Millisecond)
				}
			})
			s.run(20 * time.Second)
			s.requireOnce()
		})
	}
}
