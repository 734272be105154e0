package test

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// conditions are the conditions of the command wait-for, by name, with their
// arguments.
var conditions = map[string]func(s *system, a []string) (bool, error){
	"job":        jobPhase,    // ID PHASE
	"jobs":       jobsInPhase, // PREFIX COUNT PHASE
	"task":       taskState,   // JOB/ATTEMPT STATE: the log of some worker has it
	"owner":      func(s *system, a []string) (bool, error) { o, err := s.owner(); return o == a[0], err },
	"linked":     func(s *system, a []string) (bool, error) { return s.allBackendsReady(a[0]) },
	"unlinked":   noBackendReady,  // ENTRY: no backend server is ready at it
	"queued":     queued,          // ENTRY COUNT: at least COUNT requests are queued at it
	"requests":   requestsRunning, // BACKEND COUNT: at least COUNT requests run at it; * is the sum of all backend servers
	"version":    versionEverywhere,
	"checkpoint": hasCheckpoint, // JOB: its row names a checkpoint
}

func cmdWaitFor(s *system, commandArgs []string) error {
	condition, ok := conditions[commandArgs[0]]
	if !ok {
		return fmt.Errorf("unknown condition %q", commandArgs[0])
	}
	args := commandArgs[1:]
	for i := range args {
		args[i] = s.resolve(args[i])
	}
	return waitUntil(strings.Join(commandArgs, " "), func() (bool, error) { return condition(s, args) })
}

func jobPhase(s *system, args []string) (bool, error) {
	row, err := s.jobRow(args[0])
	if err == nil && string(row.Phase) != args[1] {
		err = fmt.Errorf("%+v", row)
	}
	return string(row.Phase) == args[1], err
}

func jobsInPhase(s *system, args []string) (bool, error) {
	values, err := s.latestRows(rows.JobKey(cell, model.JobID(args[0])))
	count, phases := 0, map[model.Phase]int{}
	for _, value := range values {
		row, err := rows.Decode[model.JobRow](value)
		if err != nil {
			return false, err
		}
		phases[row.Phase]++
		if string(row.Phase) == args[2] {
			count++
		}
	}
	if err == nil {
		err = fmt.Errorf("phases %v", phases)
	}
	return strconv.Itoa(count) == args[1], err
}

func hasCheckpoint(s *system, args []string) (bool, error) {
	row, err := s.jobRow(args[0])
	return row.Checkpoint != "", err
}

func taskState(s *system, args []string) (bool, error) {
	for _, name := range processNames("worker", agentCount) {
		var runs []standin.TaskRun
		if err := s.callSimulator(name, "/control/log", nil, &runs); err != nil {
			return false, err
		}
		for _, run := range runs {
			if run.Task == args[0] && string(run.State) == args[1] {
				return true, nil
			}
		}
	}
	return false, nil
}

func noBackendReady(s *system, args []string) (bool, error) {
	status, err := s.status(args[0])
	for _, service := range status.Services {
		for _, backend := range service.Backends {
			if backend.State == "ready" {
				return false, nil
			}
		}
	}
	return err == nil, err
}

func queued(s *system, args []string) (bool, error) {
	minCount, err := strconv.Atoi(args[1])
	if err != nil {
		return false, err
	}
	status, err := s.status(args[0])
	return len(status.Services) == 1 && status.Services[0].Queued >= minCount, err
}

func requestsRunning(s *system, args []string) (bool, error) {
	minCount, err := strconv.Atoi(args[1])
	if err != nil {
		return false, err
	}
	running := 0
	for _, name := range processNames("backend", agentCount) {
		var state standin.BackendState
		if args[0] != "*" && args[0] != name {
			continue
		}
		if err := s.callSimulator(name, "/control", nil, &state); err != nil {
			return false, err
		}
		running += state.Running
	}
	return running >= minCount, fmt.Errorf("%d requests run", running)
}

// versionEverywhere reports whether every entry and agent that is linked to it
// uses the configuration of the newest accepted edit.
func versionEverywhere(s *system, _ []string) (bool, error) {
	newest := uint64(0)
	for _, edit := range s.history.Edits {
		newest = max(newest, edit.Version)
	}
	for _, entry := range processNames("entry", entryCount) {
		var status struct{ Daemons []model.AppliedVersion }
		if err := callJSON(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/config/status?local=true", nil, &status); err != nil {
			return false, err
		}
		for _, daemon := range status.Daemons {
			if uint64(daemon.Version) < newest {
				return false, fmt.Errorf("%s has version %d of %d at %s", daemon.Daemon, daemon.Version, newest, entry)
			}
		}
	}
	return true, nil
}
