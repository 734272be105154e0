package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// transactionTime is how long a transaction takes (platform.transaction-ms).
const transactionTime = 4 * time.Millisecond

// rowBytes is the size of the largest value (platform.row-bytes).
const rowBytes = 65536

// row is a row of the store as it is encoded on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"row-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]*row
	version uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[string]*row{}, changed: make(chan struct{}), began: time.Now()}
}

func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := &row{Table: table, Key: key, Value: value, Version: s.version}
	s.rows[r.name()] = r
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasSuffix(req.URL.Path, "/rows-tx"):
		s.transact(w, req)
	case strings.HasSuffix(req.URL.Path, "/rows-get"):
		s.get(w, req)
	case strings.HasSuffix(req.URL.Path, "/rows-feed"):
		s.feed(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["row-version"] = s.version
	body["now-ms"] = time.Since(s.began).Milliseconds()
	reply(w, status, body)
}

func (s *store) transact(w http.ResponseWriter, req *http.Request) {
	var tx struct{ Expect, Puts, Remove []row }
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<20)).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !valid(tx.Puts, len(tx.Expect)+len(tx.Puts)+len(tx.Remove)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []*row{}, true
	for _, e := range tx.Expect {
		var version uint64
		if r := s.rows[e.name()]; r != nil && !r.Deleted {
			version = r.Version
			current = append(current, r)
		}
		holds = holds && version == e.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.name()] = &row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, p := range tx.Remove {
		s.rows[p.name()] = &row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Deleted: true}
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{})
}

// valid reports whether a transaction keeps the limits of the store.
func valid(puts []row, entries int) bool {
	for _, p := range puts {
		if raw, err := base64.StdEncoding.DecodeString(p.Value); err != nil || len(raw) > rowBytes || len(p.Key) > 200 {
			return false
		}
	}
	return entries <= 100
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []*row{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Deleted && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has-more": more})
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []*row{}
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Version > after {
				rows = append(rows, r)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Version < rows[k].Version })
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-req.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body) // the bodies of the stand-ins can be encoded
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may be gone
}
