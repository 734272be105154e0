// Package operator serves the operators' HTTP API. It decides nothing about
// requests or placement: it writes what operators ask for into the table, and
// shows what the other parts of the entry know.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	maxBody           = 1 << 20 // bytes; an edit of 100 items with five labels each measured 20 KB
	maxHeader         = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = time.Minute
	// requestTimeout bounds one request without a wait of its own. It covers
	// the store's retries of an edit.
	requestTimeout = 12 * time.Second
	// maxWait bounds the wait parameter of GET /v1/config/status.
	maxWait = 60 * time.Second
)

// ConfigStore is the configuration of the entry; *configstore.Store is one.
type ConfigStore interface {
	Edit(ctx context.Context, e configstore.Edit) (configstore.EditResult, error)
	Current(ctx context.Context) (configstore.Update, error)
	Status(ctx context.Context) (configstore.Status, error)
	History(ctx context.Context, before model.ConfigVersion, limit int) ([]rows.ConfigLog, error)
}

// Peer is another live entry.
type Peer struct {
	ID      model.EntryID
	Address string // address or URL of its operators' API
}

// Config is what the API needs from the rest of the entry. Functions may be
// called by any number of goroutines.
type Config struct {
	Entry       model.EntryID
	Build       string // version of the program
	Token       string // empty: no token is required
	DefaultCell model.Cell
	Table       storage.Table
	Objects     storage.Objects
	ConfigStore ConfigStore
	Log         log.Interface

	ValidateLabels func(model.Labels) finding.List                      // checks labels
	ParseSelector  func(string) (func(model.Labels) bool, error)        // parses a label selector
	IsFinal        func(model.Phase) bool                               // the job's phase is final
	Services       func(context.Context) ([]model.ServiceStatus, error) // requests
	Cells          func(context.Context) ([]model.CellStatus, error)    // jobs and workers
	// Explain returns a JSON-encodable explanation of a thing of a kind (job,
	// class, backend or worker), or an error that is storage.ErrNotFound.
	Explain func(ctx context.Context, kind, name string) (any, error)
	// Drain asks for the drain of a backend server; storage.ErrNotFound when
	// it is not known.
	Drain   func(context.Context, model.BackendID) error
	Peers   func(context.Context) ([]Peer, error) // nil: there are no other entries
	Metrics http.Handler                          // nil: not served
	// Settings are those of the process, without secrets, and RecentEvents returns
	// its newest log events; both are for diagnostics and may be nil.
	Settings     map[string]string
	RecentEvents func(context.Context) ([]LoggedEvent, error)
	Health       func(context.Context) error // nil: always healthy
}

// API is the operators' HTTP API.
type API struct {
	Config
	jobs   jobs
	index  actor.Address[listRequest]
	client *http.Client // to other entries
	token  *actor.Value[token]
}

// New starts the API's actors in g. The API serves nothing until its Handler
// is used or Serve is called.
func New(g *actor.Group, c Config) *API {
	a := &API{Config: c, client: &http.Client{Timeout: 3 * time.Second}, token: &actor.Value[token]{}}
	a.SetToken(c.Token)
	a.jobs = jobs{table: c.Table, final: c.IsFinal}
	ix := &jobIndex{table: c.Table, cells: map[model.Cell]*cellJobs{}}
	a.index = actor.Spawn(g, actor.Spec[listRequest]{Name: "job-index", Mailbox: 16, Restart: actor.OnFailure, Run: ix.run})
	return a
}

// token is the digest of the bearer token in use.
type token struct {
	digest   [sha256.Size]byte
	required bool
}

// SetToken replaces the token; requests that come later need the new one.
func (a *API) SetToken(text string) {
	a.token.Set(&token{digest: sha256.Sum256([]byte(text)), required: text != ""})
}

// Serve serves the API on a listener until the group ends.
func (a *API) Serve(g *actor.Group, ln net.Listener) <-chan struct{} {
	server := &http.Server{
		Handler: a.Handler(), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, WriteTimeout: maxWait + readTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return g.Context() },
	}
	actor.Go(g, "operator-shutdown", func(ctx context.Context) error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		return server.Shutdown(closing)
	})
	event.Log(a.Log, event.OperatorServes, log.Fields{"address": ln.Addr().String()})
	return actor.Go(g, "operator-listener", func(context.Context) error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// handler answers a request. What it returns is encoded with its status; the
// error decides the status when there is one.
type handler func(r *http.Request) (response, error)

// response is a successful answer.
type response struct {
	status int    // 0: 200
	body   any    // encoded as JSON, unless raw is set
	raw    []byte // sent as it is
}

type route struct {
	path, method string
	handle       handler
	open         bool // no token is required
}

func (a *API) routes() []route {
	return []route{
		{path: "/v1/jobs", method: "POST", handle: a.submitJob},
		{path: "/v1/jobs", method: "GET", handle: a.listJobs},
		{path: "/v1/jobs/{id}", method: "GET", handle: a.showJob},
		{path: "/v1/jobs/{id}", method: "DELETE", handle: a.cancelJob},
		{path: "/v1/jobs/{id}/result", method: "GET", handle: a.jobResult},
		{path: "/v1/config", method: "GET", handle: a.showConfig},
		{path: "/v1/config", method: "POST", handle: a.editConfig},
		{path: "/v1/config/history", method: "GET", handle: a.configHistory},
		{path: "/v1/config/status", method: "GET", handle: a.configStatus},
		{path: "/v1/status", method: "GET", handle: a.status},
		{path: "/v1/diagnose", method: "GET", handle: a.diagnose},
		{path: "/v1/explain/{kind}/{name...}", method: "GET", handle: a.explain},
		{path: "/v1/backends/{id}/drain", method: "POST", handle: a.drain},
		{path: "/healthz", method: "GET", handle: a.health, open: true},
	}
}

// Handler returns the API's HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	allowed := map[string][]string{}
	for _, r := range a.routes() {
		mux.Handle(r.method+" "+r.path, a.serve(r))
		allowed[r.path] = append(allowed[r.path], r.method)
	}
	for path, methods := range allowed {
		sort.Strings(methods)
		allow := strings.Join(methods, ", ")
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Allow", allow)
			writeJSON(w, http.StatusMethodNotAllowed, errorBody{Error: r.URL.Path + " allows " + allow})
		})
	}
	a.profiles(mux)
	if a.Metrics != nil {
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
			if a.authorised(w, r) {
				a.Metrics.ServeHTTP(w, r)
			}
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, errorBody{Error: "no such path: " + r.URL.Path})
	})
	return mux
}

func (a *API) serve(rt route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !rt.open && !a.authorised(w, r) {
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		res, err := rt.handle(r)
		switch {
		case err != nil:
			a.writeError(w, r, err)
		case res.raw != nil:
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(res.raw) // a failed write means that the client has gone
		default:
			writeJSON(w, max(res.status, http.StatusOK), res.body)
		}
	}
}

// authorised compares digests, so that neither the token's content nor its
// length shows in the time that it takes.
func (a *API) authorised(w http.ResponseWriter, r *http.Request) bool {
	want := a.token.Get()
	if !want.required {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	if ok && subtle.ConstantTimeCompare(digest[:], want.digest[:]) == 1 {
		return true
	}
	event.Log(a.Log, event.OperatorTokenRefused, log.Fields{"remote": r.RemoteAddr, "path": r.URL.Path})
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeJSON(w, http.StatusUnauthorized, errorBody{Error: "a valid bearer token is required; bambooctl reads it from the variable BAMBOOSCALE_TOKEN"})
	return false
}

func (a *API) health(r *http.Request) (response, error) {
	if a.Health != nil {
		if err := a.Health(r.Context()); err != nil {
			return response{}, errors.Wrapf(storage.ErrUnavailable, "%v", err)
		}
	}
	return response{body: map[string]string{"status": "ok"}}, nil
}
