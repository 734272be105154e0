package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// callSimulator calls the control interface of a simulator directly, not through
// a proxy.
func (s *system) callSimulator(name, path string, in, out any) error {
	address := s.processes[name].addresses["address"]
	return callJSON(context.Background(), "http://"+address+path, in, out)
}

var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callJSON sends a GET request, or a POST request with the body in if that is not
// nil, and decodes the response into out unless that is nil. Every status but 2xx
// is an error.
func callJSON(ctx context.Context, url string, in, out any) error {
	method, body := http.MethodGet, ""
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		method, body = http.MethodPost, string(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// collectHistory returns the recorded history with the logs of the simulators, the
// commits of the table and the observed configuration versions.
func (s *system) collectHistory() (history.History, error) {
	collected := s.history
	collected.Calls, collected.Steps = s.endedCalls, map[string]int{}
	for _, watcher := range s.versionWatchers {
		reply := make(chan []history.ConfigView)
		watcher <- reply
		collected.Views = append(collected.Views, <-reply...)
	}
	if err := s.callSimulator("table", "/control/history", nil, &collected.Commits); err != nil {
		return collected, err
	}
	for _, name := range processNames("worker", agentCount) {
		worker := history.Worker{ID: name, Capacity: model.Resources{CPU: 4000, Memory: 8 << 30}}
		if err := s.callSimulator(name, "/control/log", nil, &worker.Runs); err != nil {
			return collected, err
		}
		collected.Workers = append(collected.Workers, worker)
	}
	for n, name := range processNames("backend", agentCount) {
		backend := history.Backend{ID: name, Agent: processName("agent", n+1), Drained: s.drainAcceptedAt[name]}
		if err := s.callSimulator(name, "/control/log", nil, &backend.Records); err != nil {
			return collected, err
		}
		collected.Backends = append(collected.Backends, backend)
	}
	return collected, s.collectSteps(collected.Steps)
}

// collectSteps reads the step of every checkpoint in the object service.
func (s *system) collectSteps(steps map[string]int) error {
	var objects []string
	if err := s.callSimulator("objects", "/control/names", nil, &objects); err != nil {
		return err
	}
	for _, name := range objects {
		if !strings.HasPrefix(name, "checkpoint/") {
			continue
		}
		var checkpoint struct{ Step int }
		if err := s.callSimulator("objects", "/v1/objects/"+name, nil, &checkpoint); err != nil {
			return err
		}
		steps[name] = checkpoint.Step
	}
	return nil
}

// latestRows returns the newest value of each row of the table whose key has the
// prefix. It works during an outage of the table too.
func (s *system) latestRows(prefix string) (map[string][]byte, error) {
	var commits []standin.Committed
	if err := s.callSimulator("table", "/control/history", nil, &commits); err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, commit := range commits {
		for _, put := range commit.Puts {
			if strings.HasPrefix(put.Key, prefix) {
				values[put.Key] = put.Value
			}
		}
	}
	return values, nil
}

// jobRow returns the stored row of a job.
func (s *system) jobRow(id string) (model.JobRow, error) {
	values, err := s.latestRows(rows.JobKey(cell, model.JobID(id)))
	if err != nil {
		return model.JobRow{}, err
	}
	return rows.Decode[model.JobRow](values[rows.JobKey(cell, model.JobID(id))])
}

// owner returns the entry that owns the cell, or "" if none has claimed it.
func (s *system) owner() (string, error) {
	values, err := s.latestRows(rows.CellEpochKey(cell))
	if err != nil {
		return "", err
	}
	row, err := rows.Decode[rows.CellEpoch](values[rows.CellEpochKey(cell)])
	return string(row.Owner), err
}

// waitLinked waits until every backend server is ready at every entry and the
// cell has an owner that knows every worker.
func (s *system) waitLinked() error {
	for _, entry := range processNames("entry", entryCount) {
		if err := waitUntil("every backend server is ready at "+entry, func() (bool, error) { return s.allBackendsReady(entry) }); err != nil {
			return err
		}
	}
	return waitUntil("the owner knows every worker", func() (bool, error) {
		owner, err := s.owner()
		if owner == "" || err != nil {
			return false, err
		}
		status, err := s.status(owner)
		return err == nil && len(status.Cells) == 1 && len(status.Cells[0].Workers) == agentCount, err
	})
}

// statusView has the fields of an entry's status that the tests read.
type statusView struct {
	Services []model.ServiceStatus
	Cells    []model.CellStatus
}

func (s *system) status(entry string) (status statusView, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = callJSON(ctx, "http://"+s.addr("operator>"+entry)+"/v1/status", nil, &status)
	return status, err
}

// allBackendsReady reports whether every backend server is ready at an entry.
func (s *system) allBackendsReady(entry string) (bool, error) {
	status, err := s.status(entry)
	if err != nil || len(status.Services) != 1 || len(status.Services[0].Backends) != agentCount {
		return false, fmt.Errorf("%+v: %w", status.Services, err)
	}
	for _, backend := range status.Services[0].Backends {
		if backend.State != "ready" {
			return false, nil
		}
	}
	return true, nil
}

// watchVersions starts a watcher for each entry, which records the configuration
// versions that the entry reports for itself and its agents.
func (s *system) watchVersions() {
	for _, entry := range processNames("entry", entryCount) {
		requests := make(chan chan []history.ConfigView)
		s.versionWatchers = append(s.versionWatchers, requests)
		go pollVersions(s.group.Context(), entry, "http://"+s.addr("operator>"+entry), requests)
	}
}

// pollVersions polls an entry until ctx ends and answers each request with the
// versions observed so far. A view has the time at which its request was sent, so
// that a slow response does not make its version look outdated.
func pollVersions(ctx context.Context, entry, base string, requests <-chan chan []history.ConfigView) {
	var views []history.ConfigView
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			var status struct{ Daemons []model.AppliedVersion }
			requestCtx, cancel := context.WithTimeout(ctx, time.Second)
			requestedAt := time.Now().UnixNano()
			if callJSON(requestCtx, base+"/v1/config/status?local=true", nil, &status) == nil {
				for _, daemon := range status.Daemons {
					views = append(views, history.ConfigView{Process: daemon.Daemon, Via: entry, At: requestedAt, Version: uint64(daemon.Version)})
				}
			}
			cancel()
		case reply := <-requests:
			reply <- append([]history.ConfigView{}, views...)
		case <-ctx.Done():
			return
		}
	}
}
