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

// The environment variables BAMBOOSCALE_FAULTS_SEED and
// BAMBOOSCALE_FAULTS_DURATION (such as 20m) select another schedule. CI uses the
// defaults.
const (
	defaultSeed     = 1
	defaultDuration = 30 * time.Second
)

// Guards against violations of the guarantees that only overlapping or repeated
// faults cause.
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
	systemSlots <- struct{}{}
	defer func() { <-systemSlots }()
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
	load := &workload{system: s, results: make(chan func(), 1<<16)}
	require.NoError(t, load.run(t, scheduledActions(planFaults(rand.New(rand.NewPCG(seed, 0)), s.linkNames(), duration)), duration))
	require.NoError(t, load.waitSettled())
	err = s.checkHistory(true)
	t.Log(s.summary)
	require.NoError(t, err)
}

// linkNames returns the names in order, so that a seed always draws the same links.
func (s *system) linkNames() (names []string) {
	for name := range s.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// workload is the work that is sent while the faults of a schedule are active.
// Submissions and edits wait for their acceptance in goroutines of their own;
// the goroutine of the test records the results.
type workload struct {
	system     *system
	results    chan func() // each records one result
	inProgress int         // submissions and edits whose result is not recorded
	ticks      int         // calls of sendTick
}

// run sends work and carries out the schedule.
func (w *workload) run(t *testing.T, schedule []scheduledAction, duration time.Duration) error {
	startedAt := time.Now()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for len(schedule) > 0 || time.Since(startedAt) < duration {
		select {
		case <-ticker.C:
			w.sendTick()
		case apply := <-w.results:
			apply()
		}
		for len(schedule) > 0 && schedule[0].at <= time.Since(startedAt) {
			t.Logf("%6.1fs %s", time.Since(startedAt).Seconds(), schedule[0].description)
			if err := schedule[0].run(w.system); err != nil {
				return err
			}
			schedule = schedule[1:]
		}
	}
	return nil
}

// sendTick sends the work of a tick of 100 ms: requests at every tick, a job
// every 500 ms and an edit every 3 s.
func (w *workload) sendTick() {
	w.ticks++
	tick := w.ticks
	key, entry := fmt.Sprintf("random-%d", w.ticks), processName("entry", 1+w.ticks%entryCount)
	w.system.request("count-"+key, entry, "POST", "/count?key="+key, "")
	w.system.request("echo-"+key, entry, "PUT", "/echo", "body of "+key)
	w.system.request("sleep-"+key, entry, "GET", fmt.Sprintf("/sleep?ms=%d", 10*(w.ticks%50)), "")
	if w.ticks%5 == 0 {
		w.startAsync(func() func() {
			err := w.system.sendJob(entry, key, fmt.Sprintf("sleep %dms; steps 5; autosave", 100*(tick%30)))
			return func() {
				if err == nil {
					w.system.history.Accepted = append(w.system.history.Accepted, key)
				}
			}
		})
	}
	if w.ticks%30 == 0 {
		w.startAsync(func() func() {
			accepted, err := w.system.acceptEdit(entry, key, "team", key, "by", entry)
			return func() {
				if err == nil {
					w.system.history.Edits = append(w.system.history.Edits, accepted)
				}
			}
		})
	}
}

// startAsync runs work in a goroutine. The function that work returns is run by
// the goroutine of the test.
func (w *workload) startAsync(work func() func()) {
	w.inProgress++
	go func() {
		apply := work()
		w.results <- func() { w.inProgress--; apply() }
	}()
}

// waitSettled waits, after the last fault, until every request has ended, every
// accepted job is done and the newest edit is in use everywhere.
func (w *workload) waitSettled() error {
	for w.inProgress > 0 {
		(<-w.results)()
	}
	for _, entry := range processNames("entry", entryCount) {
		if err := waitUntil("every backend server is ready at "+entry, func() (bool, error) { return w.system.allBackendsReady(entry) }); err != nil {
			return err
		}
	}
	if _, err := w.system.awaitCalls(""); err != nil {
		return err
	}
	if err := waitUntil("the newest version is in use everywhere", func() (bool, error) { return versionEverywhere(w.system, nil) }); err != nil {
		return err
	}
	return waitUntil("every accepted job is done", w.jobsDone)
}

// jobsDone reports whether every accepted job is done.
func (w *workload) jobsDone() (bool, error) {
	values, err := w.system.latestRows(rows.JobPrefix(cell))
	if err != nil {
		return false, err
	}
	for _, id := range w.system.history.Accepted {
		row, err := rows.Decode[model.JobRow](values[rows.JobKey(cell, model.JobID(id))])
		if err != nil || row.Phase != "done" {
			return false, fmt.Errorf("job %s: %+v: %v", id, row, err)
		}
	}
	return true, nil
}
