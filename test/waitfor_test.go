package test

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// conditions are what scenarios wait for. The arguments follow the name.
var conditions = map[string]func(s *system, a []string) (bool, error){
	"job":        jobPhase,    // ID PHASE
	"jobs":       jobsInPhase, // PREFIX COUNT PHASE
	"task":       taskState,   // JOB/ATTEMPT STATE, on some worker
	"owner":      func(s *system, a []string) (bool, error) { o, err := s.owner(); return o == a[0], err },
	"linked":     func(s *system, a []string) (bool, error) { return s.linked(a[0]) },
	"unlinked":   unlinked,        // ENTRY: no backend server is ready there
	"queued":     queued,          // ENTRY COUNT: at least so many wait there
	"requests":   requestsRunning, // BACKEND COUNT: at least so many run at it; * for all backend servers
	"version":    versionEverywhere,
	"checkpoint": committedCheckpoint, // JOB: its row names a checkpoint
}

func verbWaitFor(s *system, a []string) error {
	condition, ok := conditions[a[0]]
	if !ok {
		return fmt.Errorf("no condition %q", a[0])
	}
	args := a[1:]
	for i := range args {
		args[i] = s.resolve(args[i])
	}
	return waitUntil(strings.Join(a, " "), func() (bool, error) { return condition(s, args) })
}

func jobPhase(s *system, a []string) (bool, error) {
	row, err := s.job(a[0])
	if err == nil && string(row.Phase) != a[1] {
		err = fmt.Errorf("%+v", row)
	}
	return string(row.Phase) == a[1], err
}

func jobsInPhase(s *system, a []string) (bool, error) {
	values, err := s.rows(rows.JobKey(cell, model.JobID(a[0])))
	count, phases := 0, map[model.Phase]int{}
	for _, v := range values {
		row, err := rows.Decode[model.JobRow](v)
		if err != nil {
			return false, err
		}
		phases[row.Phase]++
		if string(row.Phase) == a[2] {
			count++
		}
	}
	if err == nil {
		err = fmt.Errorf("phases %v", phases)
	}
	return strconv.Itoa(count) == a[1], err
}

func committedCheckpoint(s *system, a []string) (bool, error) {
	row, err := s.job(a[0])
	return row.Checkpoint != "", err
}

func taskState(s *system, a []string) (bool, error) {
	for _, name := range names("worker", agentCount) {
		var spans []standin.TaskRun
		if err := s.control(name, "/control/log", nil, &spans); err != nil {
			return false, err
		}
		for _, span := range spans {
			if span.Task == a[0] && string(span.State) == a[1] {
				return true, nil
			}
		}
	}
	return false, nil
}

func unlinked(s *system, a []string) (bool, error) {
	st, err := s.status(a[0])
	for _, service := range st.Services {
		for _, b := range service.Backends {
			if b.State == "ready" {
				return false, nil
			}
		}
	}
	return err == nil, err
}

func queued(s *system, a []string) (bool, error) {
	least, err := strconv.Atoi(a[1])
	if err != nil {
		return false, err
	}
	st, err := s.status(a[0])
	return len(st.Services) == 1 && st.Services[0].Queued >= least, err
}

func requestsRunning(s *system, a []string) (bool, error) {
	least, err := strconv.Atoi(a[1])
	if err != nil {
		return false, err
	}
	running := 0
	for _, name := range names("backend", agentCount) {
		var st standin.BackendState
		if a[0] != "*" && a[0] != name {
			continue
		}
		if err := s.control(name, "/control", nil, &st); err != nil {
			return false, err
		}
		running += st.Running
	}
	return running >= least, fmt.Errorf("%d requests run", running)
}

// versionEverywhere holds once every entry and agent has the newest accepted
// edit in force.
func versionEverywhere(s *system, a []string) (bool, error) {
	newest := uint64(0)
	for _, e := range s.record.Edits {
		newest = max(newest, e.Version)
	}
	for _, e := range names("entry", entryCount) {
		var st struct{ Daemons []model.AppliedVersion }
		if err := call(s.group.Context(), "http://"+s.addr("operator>"+e)+"/v1/config/status?local=true", nil, &st); err != nil {
			return false, err
		}
		for _, d := range st.Daemons {
			if uint64(d.Version) < newest {
				return false, fmt.Errorf("%s has version %d of %d at %s", d.Daemon, d.Version, newest, e)
			}
		}
	}
	return true, nil
}
