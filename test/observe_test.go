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

// control calls a simulator's control interface, past the proxies.
func (s *system) control(name, path string, in, out any) error {
	address := s.procs[name].ready["address"]
	return call(context.Background(), "http://"+address+path, in, out)
}

var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call gets url, or posts in to it, and decodes the answer into out.
func call(ctx context.Context, url string, in, out any) error {
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

// collect reads every log.
func (s *system) collect() (history.History, error) {
	h := s.record
	h.Calls, h.Steps = s.past, map[string]int{}
	for _, list := range s.watchers {
		reply := make(chan []history.ConfigView)
		list <- reply
		h.Views = append(h.Views, <-reply...)
	}
	if err := s.control("table", "/control/history", nil, &h.Commits); err != nil {
		return h, err
	}
	for _, name := range names("worker", agentCount) {
		w := history.Worker{ID: name, Capacity: model.Resources{CPU: 4000, Memory: 8 << 30}}
		if err := s.control(name, "/control/log", nil, &w.Runs); err != nil {
			return h, err
		}
		h.Workers = append(h.Workers, w)
	}
	for n, name := range names("backend", agentCount) {
		b := history.Backend{ID: name, Agent: number("agent", n+1), Drained: s.drained[name]}
		if err := s.control(name, "/control/log", nil, &b.Records); err != nil {
			return h, err
		}
		h.Backends = append(h.Backends, b)
	}
	return h, s.collectSteps(h.Steps)
}

func (s *system) collectSteps(steps map[string]int) error {
	var objects []string
	if err := s.control("objects", "/control/names", nil, &objects); err != nil {
		return err
	}
	for _, name := range objects {
		if !strings.HasPrefix(name, "checkpoint/") {
			continue
		}
		var c struct{ Step int }
		if err := s.control("objects", "/v1/objects/"+name, nil, &c); err != nil {
			return err
		}
		steps[name] = c.Step
	}
	return nil
}

// rows returns the newest values of the table's rows with a prefix, also
// during an outage.
func (s *system) rows(prefix string) (map[string][]byte, error) {
	var list []standin.Committed
	if err := s.control("table", "/control/history", nil, &list); err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, c := range list {
		for _, p := range c.Puts {
			if strings.HasPrefix(p.Key, prefix) {
				values[p.Key] = p.Value
			}
		}
	}
	return values, nil
}

func (s *system) job(id string) (model.JobRow, error) {
	values, err := s.rows(rows.JobKey(cell, model.JobID(id)))
	if err != nil {
		return model.JobRow{}, err
	}
	return rows.Decode[model.JobRow](values[rows.JobKey(cell, model.JobID(id))])
}

// owner names the entry that owns the cell.
func (s *system) owner() (string, error) {
	values, err := s.rows(rows.CellEpochKey(cell))
	if err != nil {
		return "", err
	}
	row, err := rows.Decode[rows.CellEpoch](values[rows.CellEpochKey(cell)])
	return string(row.Owner), err
}

// waitLinked waits until every entry lists every backend server and the cell
// has an owner that knows every worker.
func (s *system) waitLinked() error {
	for _, e := range names("entry", entryCount) {
		if err := waitUntil(e+" knows every backend server", func() (bool, error) { return s.linked(e) }); err != nil {
			return err
		}
	}
	return waitUntil("the owner knows every worker", func() (bool, error) {
		owner, err := s.owner()
		if owner == "" || err != nil {
			return false, err
		}
		st, err := s.status(owner)
		return err == nil && len(st.Cells) == 1 && len(st.Cells[0].Workers) == agentCount, err
	})
}

type statusView struct {
	Services []model.ServiceStatus
	Cells    []model.CellStatus
}

func (s *system) status(entry string) (st statusView, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = call(ctx, "http://"+s.addr("operator>"+entry)+"/v1/status", nil, &st)
	return st, err
}

func (s *system) linked(entry string) (bool, error) {
	st, err := s.status(entry)
	if err != nil || len(st.Services) != 1 || len(st.Services[0].Backends) != agentCount {
		return false, fmt.Errorf("%+v: %w", st.Services, err)
	}
	for _, b := range st.Services[0].Backends {
		if b.State != "ready" {
			return false, nil
		}
	}
	return true, nil
}

// watchVersions follows the configuration versions that the entries report
// for themselves and their agents.
func (s *system) watchVersions() {
	for _, e := range names("entry", entryCount) {
		ask := make(chan chan []history.ConfigView)
		s.watchers = append(s.watchers, ask)
		go watchVersions(s.group.Context(), e, "http://"+s.addr("operator>"+e), ask)
	}
}

func watchVersions(ctx context.Context, entry, base string, ask <-chan chan []history.ConfigView) {
	var seen []history.ConfigView
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			var st struct{ Daemons []model.AppliedVersion }
			limited, cancel := context.WithTimeout(ctx, time.Second)
			asked := time.Now().UnixNano()
			if call(limited, base+"/v1/config/status?local=true", nil, &st) == nil {
				for _, d := range st.Daemons {
					seen = append(seen, history.ConfigView{Process: d.Daemon, Via: entry, At: asked, Version: uint64(d.Version)})
				}
			}
			cancel()
		case reply := <-ask:
			reply <- append([]history.ConfigView{}, seen...)
		case <-ctx.Done():
			return
		}
	}
}
