package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	transactionTime   = 4 * time.Millisecond // platform.transaction-ms
	maxRowsPerAnswer  = 500
	maxEntriesPerCall = 100
)

// row is a row of the store, as it is encoded.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"row-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
	begin   time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), begin: time.Now()}
}

// put writes a row of the operator.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.notify()
}

func (s *store) set(r row) { s.rows[r.name()] = r }

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasSuffix(req.URL.Path, "/rows-tx") && req.Method == http.MethodPost:
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
	body["now-ms"] = time.Since(s.begin).Milliseconds()
	writeAnswer(w, status, body)
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) transact(w http.ResponseWriter, req *http.Request) {
	var tx struct{ Expect, Puts, Remove []row }
	if json.NewDecoder(req.Body).Decode(&tx) != nil || len(tx.Expect)+len(tx.Puts)+len(tx.Remove) > maxEntriesPerCall {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range append(append([]row{}, tx.Puts...), tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	status, body := s.apply(tx.Expect, tx.Puts, tx.Remove)
	s.answer(w, status, body)
}

// apply applies a transaction, and returns the answer to it.
func (s *store) apply(expect, puts, remove []row) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []row{}, true
	for _, e := range expect {
		r, ok := s.rows[e.name()]
		exists := ok && !r.Deleted
		if exists {
			current = append(current, r)
		}
		if (!exists && e.Version != 0) || (exists && r.Version != e.Version) {
			met = false
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row-version": s.version}
	}
	s.version++
	for _, p := range puts {
		p.Version, p.Deleted = s.version, false
		s.set(p)
	}
	for _, r := range remove {
		r.Version, r.Deleted, r.Value = s.version, true, ""
		s.set(r)
	}
	s.notify()
	return http.StatusOK, map[string]any{"row-version": s.version}
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerAnswer {
		limit = maxRowsPerAnswer
	}
	list := []row{}
	s.mu.Lock()
	version := s.version
	for _, r := range s.rows {
		if !r.Deleted && r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target")) {
			list = append(list, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	more := len(list) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": list[:min(len(list), limit)], "has-more": more, "row-version": version})
}

func (s *store) changedAfter(table string, after uint64) ([]row, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Version < list[k].Version })
	return list, s.version, s.changed
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		list, version, changed := s.changedAfter(q.Get("table"), after)
		if len(list) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "row-version": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, map[string]any{"rows": list, "row-version": version})
			return
		case <-req.Context().Done():
			return
		}
	}
}
