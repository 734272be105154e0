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
	Fields  map[string]string `json:"fields"` // the field "event" is the number in docs/events.md
}

// Diagnosis is the diagnostic information of an entry's process, which its
// Status does not include.
type Diagnosis struct {
	Entry      string            `json:"entry"`
	Build      string            `json:"build"`
	Go         string            `json:"go"`
	Goroutines int               `json:"goroutines"`
	HeapBytes  uint64            `json:"heapBytes"`
	Settings   map[string]string `json:"settings"` // without secrets
	Events     []LoggedEvent     `json:"events"`   // oldest first
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

// registerProfiles adds the handlers of the runtime's profiles, which need the
// token. If no token is set, only clients on this host may read them.
func (a *API) registerProfiles(mux *http.ServeMux) {
	restrict := func(h http.HandlerFunc) http.HandlerFunc {
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
	mux.HandleFunc("GET /debug/pprof/", restrict(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", restrict(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", restrict(pprof.Trace))
	mux.HandleFunc("GET /debug/pprof/symbol", restrict(pprof.Symbol))
}
