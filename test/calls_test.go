package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/history"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
)

// pendingCall is a request that no script command has awaited.
type pendingCall struct {
	key  string
	done chan history.Call // receives the call when it has ended
}

// request sends a caller's request in the background.
func (s *system) request(key, entry, method, path, body string) {
	call := history.Call{Key: key, Method: method, Entry: entry, Want: expectedBody(method, path, body), Sent: time.Now().UnixNano()}
	pending := &pendingCall{key: key, done: make(chan history.Call, 1)}
	s.pendingCalls = append(s.pendingCalls, pending)
	address, ctx := s.addr("caller>"+entry), s.group.Context()
	go func() {
		sendRequest(ctx, &call, "http://"+address+path, body)
		pending.done <- call
	}()
}

// expectedBody returns the body of a complete response. Each key of /count is
// posted to once, so its count is 1.
func expectedBody(method, path, body string) string {
	u, err := url.Parse(path)
	switch {
	case err != nil:
		return ""
	case u.Path == "/sleep":
		return "slept " + u.Query().Get("ms") + " ms\n"
	case u.Path == "/count":
		return "1\n"
	}
	return body
}

// sendRequest sends a request and records its response or error.
func sendRequest(ctx context.Context, call *history.Call, target, body string) {
	defer func() { call.Ended = time.Now().UnixNano() }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, strings.NewReader(body))
	if err != nil {
		call.Error = err.Error()
		return
	}
	req.Header.Set(standin.KeyHeader, call.Key)
	resp, err := client.Do(req)
	if err != nil {
		call.Error = err.Error()
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	call.Status, call.Outcome, call.Body = resp.StatusCode, resp.Header.Get(model.OutcomeHeader), string(raw)
	if err != nil {
		call.Error = err.Error()
	}
}

// awaitCalls waits for the pending calls whose keys begin with prefix and returns
// them. It is an error if there are none.
func (s *system) awaitCalls(prefix string) ([]history.Call, error) {
	var ended []history.Call
	remaining := s.pendingCalls[:0:0]
	timeout := time.After(waitTimeout)
	for _, p := range s.pendingCalls {
		if !strings.HasPrefix(p.key, prefix) {
			remaining = append(remaining, p)
			continue
		}
		select {
		case c := <-p.done:
			ended = append(ended, c)
		case <-timeout:
			return nil, fmt.Errorf("request %s has not ended after %v", p.key, waitTimeout)
		}
	}
	s.pendingCalls, s.endedCalls = remaining, append(s.endedCalls, ended...)
	if len(ended) == 0 {
		return nil, fmt.Errorf("no request %s* was sent", prefix)
	}
	return ended, nil
}

// submit submits a job and records its acceptance. It repeats the submission
// until it is accepted, which is safe because the job has an ID.
func (s *system) submit(entry, id, program string) error {
	err := s.sendJob(entry, id, program)
	if err == nil {
		s.history.Accepted = append(s.history.Accepted, id)
	}
	return err
}

// sendJob submits a job until it is accepted. It does not modify the system, and
// any goroutine may call it.
func (s *system) sendJob(entry, id, program string) error {
	spec := model.JobSpec{ID: model.JobID(id), Team: "team-1", Class: "batch", Program: program,
		Resources: model.Resources{CPU: 1000, Memory: 1 << 30}}
	return waitUntil("job "+id+" is accepted", func() (bool, error) {
		err := callJSON(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/jobs", spec, nil)
		return err == nil, err
	})
}

// configVersion returns the version of the configuration in use at an entry.
func (s *system) configVersion(entry string) (uint64, error) {
	var view struct{ Version uint64 }
	err := callJSON(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/config", nil, &view)
	return view.Version, err
}
