package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	transactionTime = 4 * time.Millisecond // platform.transaction-ms
	maxRows         = 500                  // of an answer
	rowBytes        = 65536                // platform.row-bytes
	callBytes       = 1 << 20              // of a transaction
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

func (k rowKey) text() string { return k.Table + "/" + k.Part + "/" + k.Key }

type row struct {
	rowKey
	Value   string `json:"value"`
	Version uint64 `json:"row-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. Each machine reaches it through an
// address of its own, so that single machines can be cut off.
type store struct {
	record  *record
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
	began   time.Time
}

func newStore(r *record) *store {
	return &store{record: r, rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

// gate is the path of one machine to the store.
type gate struct {
	store   *store
	address string
	silence silence // while the machine is cut off
}

func (s *store) open(ip string) (*gate, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, address: l.Addr().String()}
	server := &http.Server{Handler: g}
	go func() { _ = server.Serve(l) }()
	return g, nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.silence.wait(req)
	status, body := g.store.answer(req)
	g.silence.wait(req)
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type answerRows struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has-more"`
	Version uint64 `json:"row-version"`
	NowMS   int64  `json:"now-ms"`
}

func (s *store) answer(req *http.Request) (int, any) {
	switch strings.TrimPrefix(req.URL.Path, "/api/") {
	case "rows-tx":
		time.Sleep(transactionTime)
		return s.transact(req)
	case "rows-get":
		return s.get(req)
	case "rows-feed":
		return s.feed(req)
	}
	return http.StatusNotFound, nil
}

func (s *store) rowsOf(keep func(row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if keep(r) {
			list = append(list, r)
		}
	}
	return list
}

func (s *store) answerOf(rows []row) answerRows {
	return answerRows{Rows: rows, Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
}

func (s *store) transact(req *http.Request) (int, any) {
	var tx struct {
		Expect, Puts, Remove []row
		Across               bool
	}
	raw, err := io.ReadAll(io.LimitReader(req.Body, callBytes+1))
	if err != nil || len(raw) > callBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	if err := json.Unmarshal(raw, &tx); err != nil {
		return http.StatusBadRequest, nil
	}
	for _, p := range tx.Puts {
		if len(p.Value) > base64.StdEncoding.EncodedLen(rowBytes) {
			s.refused(p)
			return http.StatusBadRequest, nil
		}
	}
	all := slices.Concat(tx.Expect, tx.Puts, tx.Remove)
	if len(all) == 0 || len(all) > 100 {
		return http.StatusBadRequest, nil
	}
	for _, r := range all {
		if !tx.Across && r.Part != all[0].Part {
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(tx.Puts, tx.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []row{}
	for _, e := range tx.Expect {
		r, ok := s.rows[e.text()]
		if ok && !r.Deleted {
			current = append(current, r)
		}
		if ok && !r.Deleted && r.Version != e.Version || (!ok || r.Deleted) && e.Version != 0 {
			failed = true
		}
	}
	if failed {
		return http.StatusPreconditionFailed, s.answerOf(current)
	}
	s.write(tx.Puts, tx.Remove)
	return http.StatusOK, s.answerOf(nil)
}

func (s *store) write(puts, remove []row) {
	s.version++
	for _, r := range puts {
		r.Version, r.Deleted = s.version, false
		s.rows[r.text()] = r
	}
	for _, r := range remove {
		if _, ok := s.rows[r.text()]; ok {
			s.rows[r.text()] = row{rowKey: r.rowKey, Version: s.version, Deleted: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(key rowKey, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{rowKey: key, Value: base64.StdEncoding.EncodeToString(value)}}, nil)
}

// value returns the value of a row, or nil.
func (s *store) value(key rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := base64.StdEncoding.DecodeString(s.rows[key.text()].Value)
	if err != nil {
		return nil
	}
	return raw
}

func (s *store) get(req *http.Request) (int, any) {
	q := req.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.rowsOf(func(r row) bool {
		return !r.Deleted && r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("target") == "" || r.Key < q.Get("target"))
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	a := s.answerOf(rows[:min(len(rows), limit)])
	a.HasMore = more
	return http.StatusOK, a
}

func (s *store) feed(req *http.Request) (int, any) {
	q := req.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.rowsOf(func(r row) bool { return r.Table == q.Get("table") && r.Version > after })
		slices.SortFunc(rows, func(a, b row) int {
			if a.Version != b.Version {
				return int(a.Version) - int(b.Version)
			}
			return strings.Compare(a.text(), b.text())
		})
		a, changed := s.answerOf(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, a
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, a
		case <-req.Context().Done():
			return http.StatusOK, a
		}
	}
}

// refused records a row that is larger than the store accepts.
func (s *store) refused(r row) {
	s.record.add("the store refuses row %s with a value of %d bytes of base64", r.text(), len(r.Value))
}
