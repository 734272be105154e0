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

// Result describes a request that has ended, for metrics.
type Result struct {
	Service    model.Service
	Class      model.Class
	Tenant     model.Tenant
	Status     int           // HTTP status; 0: no response
	Outcome    model.Outcome // valid if LocalReply
	LocalReply bool          // the entry generated the response
	Duration   time.Duration
}

// Frontend serves callers. Its exported fields must not change after its first
// use.
type Frontend struct {
	Dispatcher Address
	// Table returns the services in use. Any goroutine may call it.
	Table   func() *RoutingTable
	MaxBody int64        // bytes
	Observe func(Result) // must not block; may be nil
	// Semaphore holds one element for each request in progress, queued ones
	// included. A request beyond its capacity is refused.
	Semaphore chan struct{}
	// StartedAt is when the process started. For startupGrace afterwards an
	// unknown service may be one whose agents are not linked yet. The zero
	// value disables this grace period.
	StartedAt time.Time
	keys      actor.Counter
}

// startupGrace is how long after its start an entry answers requests for an
// unknown service with a retryable status. Agents dial again after at most
// 7.5 s.
const startupGrace = 10 * time.Second

// via is the value that the entry adds to the Via header field.
const via = "1.1 bambooscale"

// ServeHTTP implements http.Handler. Each call is an actor: it owns the
// caller's connection and exchanges messages with the dispatcher.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	// The write deadline of the previous response remains set on a keep-alive
	// connection, so an answer after a pause of 30 s would fail without a new
	// one. Recorders in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(arrivedAt.Add(writeTimeout))
	select {
	case f.Semaphore <- struct{}{}:
		defer func() { <-f.Semaphore }()
	default:
		writeReply(w, http.StatusServiceUnavailable, model.OutcomeNotRun, "too many requests in progress", retryAfterSeconds)
		return
	}
	rt, ok := f.Table().findRoute(r)
	switch {
	case !ok && arrivedAt.Sub(f.StartedAt) < startupGrace:
		writeReply(w, http.StatusServiceUnavailable, model.OutcomeNotRun, "the service is not known yet; this entry has just started", retryAfterSeconds)
		return
	case !ok:
		writeReply(w, http.StatusNotFound, model.OutcomeNotRun, "unknown service", 0)
		return
	}
	if status, err := f.validate(r, &rt); err != nil {
		writeReply(w, status, model.OutcomeNotRun, err.Error(), 0)
		return
	}
	c := newCall(f, w, r, rt, arrivedAt)
	defer c.observe()
	c.run(r.Context())
	if c.aborted {
		panic(http.ErrAbortHandler) // net/http closes the connection without ending the response
	}
}

// validate checks the request and applies the deadline that the caller
// requests. It returns the HTTP status for an error.
func (f *Frontend) validate(r *http.Request, rt *route) (int, error) {
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

// retryAfterSeconds is the value of the Retry-After header field.
const retryAfterSeconds = 1

// writeReply writes a response that the entry generates. A retryAfter of zero
// seconds sends no Retry-After field.
func writeReply(w http.ResponseWriter, status int, outcome model.Outcome, text string, retryAfter int) {
	h := w.Header()
	h.Set(model.OutcomeHeader, outcome.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Via", via)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // an error means that the caller has disconnected
}

// hopByHop are the fields of RFC 9110 section 7.6.1 that are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// forwardedFields returns the header fields that are sent to the backend server.
func forwardedFields(r *http.Request) []msg.Field {
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
	list = append(list, msg.Field{Name: "X-Forwarded-For", Value: appendToList(r.Header["X-Forwarded-For"], client)})
	return append(list, msg.Field{Name: "Via", Value: appendToList(r.Header["Via"], via)})
}

// internalHeader reports whether a field of the caller is for the entry only.
func internalHeader(name string) bool {
	return strings.HasPrefix(name, headerPrefix) && name != headerTenant
}

// appendToList returns the values and last as one comma-separated list.
func appendToList(values []string, last string) string {
	return strings.Join(append(append([]string(nil), values...), last), ", ")
}

// connectionFields returns the names that the Connection field lists.
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

// copyHeader adds the end-to-end fields of a backend server's response to h.
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
