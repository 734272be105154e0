package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
)

// The variables BAMBOOSCALE_FAULTS_SEED and BAMBOOSCALE_FAULTS_DURATION (such
// as 20m) choose another schedule; CI runs this one.
const (
	defaultSeed     = 1
	defaultDuration = 30 * time.Second
)

// Guards against faults that cost a guarantee only together or repeatedly.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed, duration := uint64(defaultSeed), defaultDuration
	if text := os.Getenv("BAMBOOSCALE_FAULTS_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seed = n
	}
	if text := os.Getenv("BAMBOOSCALE_FAULTS_DURATION"); text != "" {
		d, err := time.ParseDuration(text)
		require.NoError(t, err)
		duration = d
	}
	systems <- struct{}{}
	defer func() { <-systems }()
	dir, err := os.MkdirTemp("", "bambooscale-random-")
	require.NoError(t, err)
	s := &system{failed: true}
	defer func() {
		s.finish()
		if s.failed {
			t.Logf("BAMBOOSCALE_FAULTS_SEED=%d BAMBOOSCALE_FAULTS_DURATION=%v; logs of the processes and history: %s", seed, duration, dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	require.NoError(t, s.start(dir))
	l := &load{s: s, results: make(chan func(), 1<<16)}
	require.NoError(t, l.run(t, moments(plan(rand.New(rand.NewPCG(seed, 0)), s.linkNames(), duration)), duration))
	require.NoError(t, l.settle())
	require.NoError(t, s.checkHistory(true))
}

func (s *system) linkNames() (list []string) {
	for name := range s.links {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// load is the steady work under a schedule. Submissions and edits wait in
// goroutines of their own for their acceptance; what they found is applied by
// the test's goroutine.
type load struct {
	s       *system
	results chan func()
	waiting int
	sent    int
}

// run carries out the schedule under load.
func (l *load) run(t *testing.T, schedule []moment, duration time.Duration) error {
	began := time.Now()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for len(schedule) > 0 || time.Since(began) < duration {
		select {
		case <-tick.C:
			l.send()
		case apply := <-l.results:
			apply()
		}
		for len(schedule) > 0 && schedule[0].at <= time.Since(began) {
			t.Logf("%6.1fs %s", time.Since(began).Seconds(), schedule[0].text)
			if err := schedule[0].do(l.s); err != nil {
				return err
			}
			schedule = schedule[1:]
		}
	}
	return nil
}

// send sends the work of one tick: requests each time, a job each half
// second and an edit every 3 s.
func (l *load) send() {
	l.sent++
	sent := l.sent
	key, entry := fmt.Sprintf("random-%d", l.sent), number("entry", 1+l.sent%entryCount)
	l.s.request("count-"+key, entry, "POST", "/count?key="+key, "")
	l.s.request("echo-"+key, entry, "PUT", "/echo", "body of "+key)
	l.s.request("sleep-"+key, entry, "GET", fmt.Sprintf("/sleep?ms=%d", 10*(l.sent%50)), "")
	if l.sent%5 == 0 {
		l.start(func() func() {
			err := l.s.sendJob(entry, key, fmt.Sprintf("sleep %dms; steps 5; autosave", 100*(sent%30)))
			return func() {
				if err == nil {
					l.s.record.Accepted = append(l.s.record.Accepted, key)
				}
			}
		})
	}
	if l.sent%30 == 0 {
		l.start(func() func() {
			accepted, err := l.s.acceptEdit(entry, key, "team", key, "by", entry)
			return func() {
				if err == nil {
					l.s.record.Edits = append(l.s.record.Edits, accepted)
				}
			}
		})
	}
}

func (l *load) start(work func() func()) {
	l.waiting++
	go func() {
		apply := work()
		l.results <- func() { l.waiting--; apply() }
	}()
}

// settle waits, after the last fault, until everything accepted has ended.
func (l *load) settle() error {
	for l.waiting > 0 {
		(<-l.results)()
	}
	for _, e := range names("entry", entryCount) {
		if err := waitUntil(e+" knows every backend server", func() (bool, error) { return l.s.linked(e) }); err != nil {
			return err
		}
	}
	if _, err := l.s.await(""); err != nil {
		return err
	}
	if err := waitUntil("the newest version is everywhere", func() (bool, error) { return versionEverywhere(l.s, nil) }); err != nil {
		return err
	}
	return waitUntil("every accepted job is done", l.jobsDone)
}

func (l *load) jobsDone() (bool, error) {
	values, err := l.s.rows(rows.JobPrefix(cell))
	if err != nil {
		return false, err
	}
	for _, id := range l.s.record.Accepted {
		row, err := rows.Decode[model.JobRow](values[rows.JobKey(cell, model.JobID(id))])
		if err != nil || row.Phase != "done" {
			return false, fmt.Errorf("job %s: %+v: %v", id, row, err)
		}
	}
	return true, nil
}
