package entry

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Result is what became of one request, for metrics.
type Result struct {
	Service    model.Service
	Class      model.Class
	Tenant     model.Tenant
	Status     int           // 0: aborted
	Outcome    model.Outcome // meaningful when the system itself answered
	LocalReply bool          // the system itself answered
	Duration   time.Duration
}

// Frontend serves callers. Its exported fields are not changed after its first
// use.
type Frontend struct {
	Dispatcher Address
	// Table returns the services in force. It may be called by any goroutine.
	Table   func() *RoutingTable
	MaxBody int64        // bytes
	Observe func(Result) // must not block; may be nil
	// Semaphore holds one element for each request in progress, queued ones
	// included. A request beyond its capacity is refused.
	Semaphore chan struct{}
	// StartedAt is when the process started. For settleTime afterwards an
	// unknown service may be one whose agents are not linked yet. The zero
	// value disables this grace period.
	StartedAt time.Time
	keys      actor.Counter
}

// settleTime is how long after its start an entry waits for agents to connect
// before it calls a service unknown: they dial again after at most 7.5 s.
const settleTime = 10 * time.Second

// Via is the value that the system adds to the Via header field.
const via = "1.1 bambooscale"

// ServeHTTP implements http.Handler. Each call is an actor: it owns the
// caller's connection and exchanges messages with the dispatcher.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	// The deadline of the response before stays on a connection that is kept
	// alive; without a new one an answer after a pause of 30 s would fail.
	// Recorders in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(began.Add(writeTimeout))
	select {
	case f.Semaphore <- struct{}{}:
		defer func() { <-f.Semaphore }()
	default:
		answer(w, http.StatusServiceUnavailable, model.OutcomeNotRun, "too many requests in progress", retryAfter)
		return
	}
	rt, ok := f.Table().find(r)
	switch {
	case !ok && began.Sub(f.StartedAt) < settleTime:
		answer(w, http.StatusServiceUnavailable, model.OutcomeNotRun, "the service is not known yet; this entry has just started", retryAfter)
		return
	case !ok:
		answer(w, http.StatusNotFound, model.OutcomeNotRun, "unknown service", 0)
		return
	}
	if status, err := f.check(r, &rt); err != nil {
		answer(w, status, model.OutcomeNotRun, err.Error(), 0)
		return
	}
	c := newCall(f, w, r, rt, began)
	defer c.observe()
	c.run(r.Context())
	if c.aborted {
		panic(http.ErrAbortHandler) // net/http closes the connection without ending the response
	}
}

// check validates what the caller asks for and applies its deadline.
func (f *Frontend) check(r *http.Request, rt *route) (int, error) {
	if r.Method == http.MethodConnect {
		return http.StatusBadRequest, errors.New("CONNECT is not supported")
	}
	if r.ContentLength > f.MaxBody {
		return http.StatusRequestEntityTooLarge, errors.Newf("the body has %d bytes; the limit is %d", r.ContentLength, f.MaxBody)
	}
	value := r.Header.Get(headerDeadline)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return http.StatusBadRequest, errors.Newf("%s: %q is not a positive number of milliseconds", headerDeadline, value)
	}
	rt.deadline = min(rt.deadline, time.Duration(ms)*time.Millisecond)
	return 0, nil
}

// retryAfter is the value of Retry-After in seconds.
const retryAfter = 1

// answer writes a response of the system's own.
func answer(w http.ResponseWriter, status int, outcome model.Outcome, text string, retry int) {
	h := w.Header()
	h.Set(model.OutcomeHeader, outcome.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Via", via)
	if retry > 0 {
		h.Set("Retry-After", strconv.Itoa(retry))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // a caller that is gone reads nothing
}

// hopByHop are the fields of RFC 9110 section 7.6.1 that are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// forwarded returns the request's fields for the backend server.
func forwarded(r *http.Request) []msg.Field {
	drop := connectionFields(r.Header)
	list := make([]msg.Field, 0, len(r.Header)+2)
	for name, values := range r.Header {
		if hopByHop[name] || drop[name] || name == "X-Forwarded-For" || name == "Via" || internalHeader(name) {
			continue
		}
		for _, v := range values {
			list = append(list, msg.Field{Name: name, Value: v})
		}
	}
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	list = append(list, msg.Field{Name: "X-Forwarded-For", Value: joined(r.Header["X-Forwarded-For"], client)})
	return append(list, msg.Field{Name: "Via", Value: joined(r.Header["Via"], via)})
}

// internalHeader reports whether a caller's field is not passed on.
func internalHeader(name string) bool {
	return strings.HasPrefix(name, headerPrefix) && name != headerTenant
}

func joined(values []string, last string) string {
	return strings.Join(append(append([]string(nil), values...), last), ", ")
}

// connectionFields lists the fields that the Connection field names.
func connectionFields(h http.Header) map[string]bool {
	var drop map[string]bool
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if drop == nil {
				drop = map[string]bool{}
			}
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// copyHeader sets the fields of a backend server's response.
func copyHeader(h http.Header, list []msg.Field) {
	for _, f := range list {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		h.Add(name, f.Value)
	}
	h.Add("Via", via)
}
