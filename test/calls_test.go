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

// pendingCall is a request whose answer has not been looked at.
type pendingCall struct {
	key  string
	done chan history.Call // holds the call once it has ended
}

// request sends a caller's request in the background.
func (s *system) request(key, entry, method, path, body string) {
	c := history.Call{Key: key, Method: method, Entry: entry, Want: wanted(method, path, body), Sent: time.Now().UnixNano()}
	p := &pendingCall{key: key, done: make(chan history.Call, 1)}
	s.pending = append(s.pending, p)
	address, ctx := s.addr("caller>"+entry), s.group.Context()
	go func() {
		send(ctx, &c, "http://"+address+path, body)
		p.done <- c
	}()
}

// wanted is the body of a whole answer. Each key of /count is posted to once.
func wanted(method, path, body string) string {
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

func send(ctx context.Context, c *history.Call, target, body string) {
	defer func() { c.Ended = time.Now().UnixNano() }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, c.Method, target, strings.NewReader(body))
	if err != nil {
		c.Error = err.Error()
		return
	}
	req.Header.Set(standin.KeyHeader, c.Key)
	resp, err := client.Do(req)
	if err != nil {
		c.Error = err.Error()
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	c.Status, c.Outcome, c.Body = resp.StatusCode, resp.Header.Get(model.OutcomeHeader), string(raw)
	if err != nil {
		c.Error = err.Error()
	}
}

// await waits for the calls whose keys begin with prefix and returns them.
func (s *system) await(prefix string) ([]history.Call, error) {
	var ended []history.Call
	rest := s.pending[:0:0]
	limit := time.After(patience)
	for _, p := range s.pending {
		if !strings.HasPrefix(p.key, prefix) {
			rest = append(rest, p)
			continue
		}
		select {
		case c := <-p.done:
			ended = append(ended, c)
		case <-limit:
			return nil, fmt.Errorf("request %s has not ended after %v", p.key, patience)
		}
	}
	s.pending, s.past = rest, append(s.past, ended...)
	if len(ended) == 0 {
		return nil, fmt.Errorf("no request %s* was sent", prefix)
	}
	return ended, nil
}

// submit submits a job until its acceptance is known; repeating it is safe.
func (s *system) submit(entry, id, program string) error {
	err := s.sendJob(entry, id, program)
	if err == nil {
		s.record.Accepted = append(s.record.Accepted, id)
	}
	return err
}

// sendJob does not change the system's state; any goroutine may use it.
func (s *system) sendJob(entry, id, program string) error {
	spec := model.JobSpec{ID: model.JobID(id), Team: "team-1", Class: "batch", Program: program,
		Resources: model.Resources{CPU: 1000, Memory: 1 << 30}}
	return waitUntil("job "+id+" is accepted", func() (bool, error) {
		err := call(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/jobs", spec, nil)
		return err == nil, err
	})
}

// version is the configuration's version in force at an entry.
func (s *system) version(entry string) (uint64, error) {
	var view struct{ Version uint64 }
	err := call(s.group.Context(), "http://"+s.addr("operator>"+entry)+"/v1/config", nil, &view)
	return view.Version, err
}
