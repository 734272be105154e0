// Package operator serves the operators' HTTP API. It makes no decisions about
// requests or placement: it writes submitted jobs and cancellations to the
// table, passes on edits and drains, and reports the status that the other
// parts of the entry provide.
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
	"github.com/bambooscale/bambooscale/internal/httpserve"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	maxBody           = 1 << 20  // bytes; an edit of 100 items with five labels each has 20 KB
	maxHeader         = 16 << 10 // bytes
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = time.Minute
	// requestTimeout limits every request without a wait parameter. It covers
	// the retries of an edit by the configuration store.
	requestTimeout = 12 * time.Second
	// maxWait is the largest wait parameter of GET /v1/config/status.
	maxWait = 60 * time.Second
	// answerTime is how long requests in flight may take when the API ends,
	// before their contexts are cancelled.
	answerTime = 3 * time.Second
)

// ConfigStore is the configuration store of the entry, implemented by
// *configstore.Store.
type ConfigStore interface {
	Edit(ctx context.Context, e configstore.Edit) (configstore.EditResult, error)
	Current(ctx context.Context) (configstore.Update, error)
	Status(ctx context.Context) (configstore.Status, error)
	History(ctx context.Context, before model.ConfigVersion, limit int) ([]rows.ConfigLog, error)
}

// Peer is another live entry.
type Peer struct {
	ID      model.EntryID
	Address string // host:port or URL of its operators' API
}

// Config is what the API needs from the rest of the entry. Its functions are
// called concurrently by several goroutines.
type Config struct {
	Entry       model.EntryID
	Build       string // version of the program
	Token       string // empty: no token is required
	DefaultCell model.Cell
	Table       storage.Table
	Objects     storage.Objects
	ConfigStore ConfigStore
	Log         log.Interface

	ValidateLabels func(model.Labels) finding.List                      // returns the findings for labels
	ParseSelector  func(string) (func(model.Labels) bool, error)        // parses a label selector
	IsFinal        func(model.Phase) bool                               // reports whether a phase of a job is final
	Services       func(context.Context) ([]model.ServiceStatus, error) // nil: the status has no services
	Cells          func(context.Context) ([]model.CellStatus, error)    // nil: the status has no cells
	// Explain returns a JSON-encodable explanation of a job, class, backend
	// server or worker; kind is "job", "class", "backend" or "worker". The
	// error wraps storage.ErrNotFound if the name is unknown.
	Explain func(ctx context.Context, kind, name string) (any, error)
	// Drain starts to drain a backend server. The error wraps
	// storage.ErrNotFound if the backend server is unknown.
	Drain   func(context.Context, model.BackendID) error
	Peers   func(context.Context) ([]Peer, error) // nil: there are no other entries
	Metrics http.Handler                          // nil: not served
	// Settings are those of the process, without secrets, and RecentEvents
	// returns its newest log events. Both are for diagnostics and may be nil.
	Settings     map[string]string
	RecentEvents func(context.Context) ([]LoggedEvent, error)
	Health       func(context.Context) error // nil: always healthy
}

// API is the operators' HTTP API.
type API struct {
	Config
	jobs   jobStore
	index  actor.Address[listRequest]
	client *http.Client // to other entries
	token  *actor.Value[token]
	server *httpserve.Server // nil before Serve
}

// New starts the API's actors in g. The API accepts requests once Serve is
// called or its Handler is used by a server.
func New(g *actor.Group, c Config) *API {
	// One unused connection to an entry is kept: those that have gone silent together cost
	// one timeout.
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	a := &API{Config: c, client: client, token: &actor.Value[token]{}}
	a.SetToken(c.Token)
	a.jobs = jobStore{table: c.Table, isFinal: c.IsFinal}
	ix := &jobIndex{table: c.Table, cells: map[model.Cell]*cellJobs{}}
	a.index = actor.Spawn(g, actor.Spec[listRequest]{Name: "job-index", Mailbox: 16, Restart: actor.OnFailure, Run: ix.run})
	return a
}

// token is the digest of the bearer token in use.
type token struct {
	digest   [sha256.Size]byte
	required bool
}

// SetToken replaces the bearer token; later requests need the new one. With an
// empty text no token is required.
func (a *API) SetToken(text string) {
	a.token.Set(&token{digest: sha256.Sum256([]byte(text)), required: text != ""})
}

// Serve serves the API on a listener until the group ends. The channel that it
// returns is closed then. It may be called once, before Close.
func (a *API) Serve(g *actor.Group, ln net.Listener) <-chan struct{} {
	a.server = httpserve.Start(g, ln, httpserve.Config{
		Name: "operator-listener", Handler: a.Handler(), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: readTimeout, WriteTimeout: maxWait + readTimeout, IdleTimeout: idleTimeout,
	})
	event.Log(a.Log, event.OperatorServes, log.Fields{"address": ln.Addr().String()})
	return a.server.Done()
}

// Close accepts no more connections, answers the requests that have arrived, and
// waits until every connection is closed. The contexts of requests that take
// longer than answerTime are cancelled. It returns the context's error if ctx
// ends first. The API ends with its group in any case.
func (a *API) Close(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if a.server.Close(limited) == nil {
		return nil
	}
	a.server.CancelRequests()
	return a.server.Close(ctx)
}

// handler answers a request. Its error, if any, determines the HTTP status and
// the body; otherwise they are those of the response.
type handler func(r *http.Request) (response, error)

// response is the result of a successful request.
type response struct {
	status int    // 0: 200
	body   any    // encoded as JSON, unless raw is set
	raw    []byte // sent unchanged as application/octet-stream
}

// route is a path and method of the API, and the handler for it.
type route struct {
	path, method string
	handle       handler
	public       bool // no token is required
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
		{path: "/healthz", method: "GET", handle: a.health, public: true},
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
	a.registerProfiles(mux)
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
		if !rt.public && !a.authorised(w, r) {
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		res, err := rt.handle(r)
		switch {
		case err != nil:
			a.writeError(w, r, err)
		case res.raw != nil:
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(res.raw) // a failed write means that the client has disconnected
		default:
			writeJSON(w, max(res.status, http.StatusOK), res.body)
		}
	}
}

// authorised reports whether a request has the required token, and answers 401
// if it has not. It compares digests, so that the time taken depends neither
// on the content nor on the length of the token.
func (a *API) authorised(w http.ResponseWriter, r *http.Request) bool {
	current := a.token.Get()
	if !current.required {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	if ok && subtle.ConstantTimeCompare(digest[:], current.digest[:]) == 1 {
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
