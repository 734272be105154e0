package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/bambooscale/bambooscale/internal/storage"
)

// Serve serves the table's HTTP interface on l until ctx ends.
func (t *Table) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: t.Handler()})
}

// Handler returns the table's HTTP interface. GET /control/history?after=N
// returns the transactions committed after revision N.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/txn", t.serveCommit)
	mux.HandleFunc("GET /v1/rows", t.serveScan)
	mux.HandleFunc("GET /v1/rows/{key...}", t.serveRow)
	mux.HandleFunc("GET /control/history", t.serveHistory)
	mux.HandleFunc("/control", serveControl(t.control))
	return mux
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn storage.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	// A transaction that has arrived is applied even if its client disconnects.
	rev, err := t.Commit(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": rev})
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	after, ok := revisionParam(w, r)
	if !ok {
		return
	}
	rows, rev, err := t.Scan(r.Context(), r.URL.Query().Get("prefix"), after)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, scanResult{rows, rev})
}

func (t *Table) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := t.Read(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (t *Table) serveHistory(w http.ResponseWriter, r *http.Request) {
	after, ok := revisionParam(w, r)
	if !ok {
		return
	}
	list, err := t.History(r.Context(), after)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func revisionParam(w http.ResponseWriter, r *http.Request) (storage.Revision, bool) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, "after: not a revision: "+text, http.StatusBadRequest)
	}
	return storage.Revision(n), err == nil
}

// serveControl returns the handler of /control. control sets the faults unless
// they are nil, and returns the state.
func serveControl[F, S any](control func(context.Context, *F) (S, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults *F
		if r.Method == http.MethodPost {
			faults = new(F)
			if !readJSON(w, r, faults) {
				return
			}
		}
		state, err := control(r.Context(), faults)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, state)
	}
}
