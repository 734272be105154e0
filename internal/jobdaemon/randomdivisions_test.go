package jobdaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// dividedSite is a site whose processes are cut off from each other in random ways.
type dividedSite struct {
	*ownerSite
	random *rand.Rand
	record *ruleRecord
	agents []string
	hosts  []*ruleHost
	jobs   int
	cuts   [][2]string // in the present division, from and to
}

func newDividedSite(t *testing.T, seed uint64) *dividedSite {
	s := &dividedSite{
		ownerSite: newOwnerSite(t, 800, 400, 300, 190, 180), random: rand.New(rand.NewPCG(seed, 3)), record: newRuleRecord(seed),
	}
	for i := range 4 {
		s.startAgent(i)
	}
	s.advance(3 * time.Second)
	return s
}

func (s *dividedSite) startAgent(i int) {
	name := fmt.Sprintf("agent-%d", i)
	s.agents = append(s.agents, name)
	h := &ruleHost{record: s.record, lost: 0.01, late: 0.01}
	s.hosts = append(s.hosts, h)
	h.agent = startAgentActors(s.group, AgentConfig{
		Core: hostagent.Config{Name: workload.HostName(name), OwnerLease: jobs.LeaseDuration, RunLease: 5 * time.Second, Token: 1},
		Boot: uint64(i) + 1, Seeds: s.entryNames(), Store: s.store, Runner: h,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}, s.net.Dialer(name))
	s.startBackend(i)
}

func (s *dividedSite) startBackend(i int) {
	s.hosts[i].start(s.group.Context(), workload.Instance("i-"+s.agents[i]), 4*time.Second)
}

// restartBackend ends the process of a backend server and starts the next one under its
// id.
func (s *dividedSite) restartBackend() {
	i := s.random.IntN(len(s.hosts))
	s.hosts[i].crash()
	s.live(s.randomTime(2 * time.Second))
	s.startBackend(i)
}

func (s *dividedSite) entryNames() []string {
	var names []string
	for i := range 5 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	return names
}

// submit stores a job with the epoch that a random entry knows.
func (s *dividedSite) submit() {
	s.jobs++
	epoch := uint64(0)
	if e := s.entries[fmt.Sprintf("entry-%d", s.random.IntN(5))]; e != nil {
		if known := e.controller.published.epoch.Get(); known != nil {
			epoch = *known
		}
	}
	id := workload.JobID(fmt.Sprintf("%016x", s.jobs))
	value, err := wire.EncodeJob(&workload.Job{ID: id, Queue: "q", Service: "desk", MaxAttempts: 3, Epoch: epoch, Steps: []workload.Step{
		{Count: 1 + s.random.IntN(3), Need: workload.Resources{MilliCPU: 400, MemoryMB: 1}, Estimate: time.Second},
	}})
	require.NoError(s.t, err)
	_, err = s.store.Commit(context.Background(), table.Txn{Puts: []table.Put{{Key: jobKey(id), Value: value}}})
	require.NoError(s.t, err)
}

// divide cuts random processes off from the others and random entries from the table
// service. Some cuts have one direction only.
func (s *dividedSite) divide() {
	names := append(s.entryNames(), s.agents...)
	apart := map[string]bool{}
	for _, n := range names {
		apart[n] = s.random.Float64() < 0.5
	}
	oneWay, storeSide := s.random.IntN(6) == 0, s.random.IntN(2) == 0
	for _, a := range names {
		for _, b := range names {
			if apart[a] && !apart[b] {
				s.cut(a, b)
				if !oneWay {
					s.cut(b, a)
				}
			}
		}
		if e := s.entries[a]; e != nil {
			e.store.cut.Set(new(apart[a] == storeSide && s.random.IntN(8) > 0))
		}
	}
}

func (s *dividedSite) cut(from, to string) {
	s.net.Cut(from, to)
	s.cuts = append(s.cuts, [2]string{from, to})
}

func (s *dividedSite) healAll() {
	for _, c := range s.cuts {
		s.net.Heal(c[0], c[1])
	}
	s.cuts = nil
	for _, e := range s.entries {
		e.store.cut.Set(new(false))
	}
}

// replaceEntry ends an entry and starts it again.
func (s *dividedSite) replaceEntry(down time.Duration) {
	name := fmt.Sprintf("entry-%d", s.random.IntN(5))
	if s.entries[name] == nil {
		return
	}
	s.kill(name)
	s.net.Reset(name, "*")
	s.live(down)
	s.start(name, 300)
}

// live lets d pass while jobs are submitted.
func (s *dividedSite) live(d time.Duration) {
	for past := time.Duration(0); past < d; past += 200 * time.Millisecond {
		if s.random.IntN(2) == 0 {
			s.submit()
		}
		s.advance(200 * time.Millisecond)
	}
}

func (s *dividedSite) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// divisionSeeds is the number of schedules that CI plays.
const divisionSeeds = 4

// Guards against tasks that run twice, by the exact rule, under random divisions of
// entries, agents and the table service, in stages that overlap, while entries end,
// backend servers start again under their ids, and calls to them are lost or carried out
// late.
func TestTasksRunOnceUnderRandomDivisions(t *testing.T) {
	for seed := range divisionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDividedSite(t, uint64(seed))
				defer s.stop()
				for range 4 {
					if s.random.IntN(3) == 0 {
						s.replaceEntry(s.randomTime(3 * time.Second))
					}
					for range 1 + s.random.IntN(3) {
						s.divide()
						s.live(s.randomTime(12 * time.Second))
						if s.random.IntN(2) == 0 {
							s.restartBackend()
						}
						if s.random.IntN(2) == 0 {
							s.healAll()
						}
					}
					s.healAll()
					s.live(s.randomTime(8 * time.Second))
				}
				s.advance(25 * time.Second)
				require.Empty(t, s.record.violations())
				require.Greater(t, s.record.starts, 20)
			})
		})
	}
}
