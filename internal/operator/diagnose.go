package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"time"
)

// LoggedEvent is a recent log event of the process.
type LoggedEvent struct {
	Time    time.Time         `json:"time"`
	Level   string            `json:"level"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"` // event has the number of docs/events.md
}

// Diagnosis is what an entry tells of itself beyond its status.
type Diagnosis struct {
	Entry      string            `json:"entry"`
	Build      string            `json:"build"`
	Go         string            `json:"go"`
	Goroutines int               `json:"goroutines"`
	HeapBytes  uint64            `json:"heapBytes"`
	Settings   map[string]string `json:"settings"` // without secrets
	Events     []LoggedEvent     `json:"events"`   // the oldest first
}

func (a *API) diagnose(r *http.Request) (response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	d := Diagnosis{Entry: string(a.Entry), Build: a.Build, Go: runtime.Version(), Goroutines: runtime.NumGoroutine(),
		HeapBytes: memory.HeapAlloc, Settings: a.Settings, Events: []LoggedEvent{}}
	if a.RecentEvents != nil {
		events, err := a.RecentEvents(ctx)
		if err != nil {
			return response{}, err
		}
		d.Events = events
	}
	return response{body: d}, nil
}

// profiles serves the runtime's profiles to holders of the token. Without a
// token only clients on this host may read them.
func (a *API) profiles(mux *http.ServeMux) {
	guard := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if !a.authorised(w, r) {
				return
			}
			host, _, _ := net.SplitHostPort(r.RemoteAddr)
			if ip := net.ParseIP(host); !a.token.Get().required && (ip == nil || !ip.IsLoopback()) {
				writeJSON(w, http.StatusForbidden, errorBody{Error: "set [entry] operator-token to read profiles from another host"})
				return
			}
			h(w, r)
		}
	}
	mux.HandleFunc("GET /debug/pprof/", guard(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", guard(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", guard(pprof.Trace))
	mux.HandleFunc("GET /debug/pprof/symbol", guard(pprof.Symbol))
}
