package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// KeyHeader is the request header whose value becomes RequestRecord.Key.
const KeyHeader = "X-Request-Key"

const (
	maxSleep  = 24 * time.Hour
	chunkSize = 32 << 10
)

// Log returns the requests in the order of their arrival.
func (b *Backend) Log(ctx context.Context) ([]RequestRecord, error) {
	return ask(ctx, b.to, func(r backendReply[[]RequestRecord]) message[*backendState] { return recordsMsg{r} })
}

// Control sets the fault and the delay, starts or stops announcements if c asks
// for it, or starts the drain. It returns the state after the change.
func (b *Backend) Control(ctx context.Context, c BackendControl) (BackendState, error) {
	return b.control(ctx, &c)
}

// State returns the state and the counters.
func (b *Backend) State(ctx context.Context) (BackendState, error) { return b.control(ctx, nil) }

func (b *Backend) control(ctx context.Context, c *BackendControl) (BackendState, error) {
	return ask(ctx, b.to, func(r backendReply[BackendState]) message[*backendState] { return backendControlMsg{c, r} })
}

// Serve serves requests on l until ctx ends. It counts and limits the
// connections, which Handler alone does not. Connections for /control count as
// well; use ServeControl to serve /control on a separate listener.
func (b *Backend) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, &countingListener{l, b}, &http.Server{Handler: b.Handler()})
}

// ServeControl serves only /control and /control/log on l until ctx ends.
func (b *Backend) ServeControl(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	b.handleControl(mux)
	return serve(ctx, l, &http.Server{Handler: mux})
}

// Handler returns the backend server's HTTP interface:
//
//	/echo            returns the request's body; the response headers
//	                 X-Echo-Method and X-Echo-Uri hold method and request URI
//	/sleep?ms=N      answers after N ms
//	/count?key=K     POST adds 1 to the counter K and returns it, GET returns it
//	/bytes?n=N       returns N bytes
//
// Each of these paths accepts the query parameter fault (see Fault).
// GET /control/log returns the request log.
func (b *Backend) Handler() http.Handler {
	control := http.NewServeMux()
	b.handleControl(control)
	handlers := map[string]http.HandlerFunc{
		"echo": b.inSlot(serveEcho), "sleep": b.inSlot(serveSleep),
		"count": b.inSlot(b.serveCount), "bytes": b.inSlot(serveBytes),
	}
	// A ServeMux would redirect paths such as /echo//a, which must be echoed
	// unchanged.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if h, ok := handlers[name]; ok {
			h(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
}

func (b *Backend) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("/control", serveControl(b.control))
	mux.HandleFunc("GET /control/log", serveValue(b.Log))
}

// inSlot returns a handler that runs serve in a slot, or answers 503 if none is
// free. The last byte of the response is withheld until the slot is free
// again.
func (b *Backend) inSlot(serve func(*responseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		record := RequestRecord{Key: r.Header.Get(KeyHeader), Method: r.Method, URI: r.RequestURI}
		adm, err := ask(context.WithoutCancel(r.Context()), b.to, func(reply backendReply[admission]) message[*backendState] {
			return beginMsg{record, Fault(r.URL.Query().Get("fault")), reply}
		})
		if err != nil || adm.refused {
			http.Error(w, "no slot is free", http.StatusServiceUnavailable)
			return
		}
		response := &responseWriter{w: w, status: http.StatusOK, fault: adm.fault}
		end := response.run(r, adm, serve)
		_, _ = ask(context.Background(), b.to, func(reply backendReply[struct{}]) message[*backendState] {
			return endMsg{adm.id, end, reply}
		})
		response.finish(end)
	}
}

func serveEcho(w *responseWriter, r *http.Request) error {
	if err := http.NewResponseController(w.w).EnableFullDuplex(); err != nil {
		return err
	}
	h := w.w.Header()
	h.Set("X-Echo-Method", r.Method)
	h.Set("X-Echo-Uri", r.RequestURI)
	if t := r.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	w.setContentLength(r.ContentLength)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, r.Body, make([]byte, chunkSize))
	return err
}

// discard reads the request's body to its end: only then does net/http cancel
// the request's context when the client disconnects.
func discard(r *http.Request) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

func serveSleep(w *responseWriter, r *http.Request) error {
	ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
	if err != nil || ms < 0 || time.Duration(ms) > maxSleep/time.Millisecond {
		return w.fail(http.StatusBadRequest, "ms: must be a number of milliseconds from 0 to 24 hours")
	}
	if err := discard(r); err != nil {
		return err
	}
	if !actor.Sleep(r.Context(), time.Duration(ms)*time.Millisecond) {
		return r.Context().Err()
	}
	return w.writeText("slept " + strconv.FormatInt(ms, 10) + " ms\n")
}

func (b *Backend) serveCount(w *responseWriter, r *http.Request) error {
	m := countMsg{key: r.URL.Query().Get("key")}
	switch r.Method {
	case http.MethodPost:
		m.add = 1
	case http.MethodGet, http.MethodHead:
	default:
		return w.fail(http.StatusMethodNotAllowed, "use POST or GET")
	}
	if err := discard(r); err != nil {
		return err
	}
	n, err := ask(context.WithoutCancel(r.Context()), b.to, func(reply backendReply[int64]) message[*backendState] {
		m.reply = reply
		return m
	})
	if err != nil {
		return err
	}
	return w.writeText(strconv.FormatInt(n, 10) + "\n")
}

func serveBytes(w *responseWriter, r *http.Request) error {
	n, err := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
	if err != nil || n < 0 {
		return w.fail(http.StatusBadRequest, "n: must be a number of bytes, at least 0")
	}
	w.setContentLength(n)
	chunk := make([]byte, chunkSize)
	for i := range chunk {
		chunk[i] = 'a' + byte(i%26)
	}
	for n > 0 && err == nil {
		size := min(n, chunkSize)
		_, err = w.Write(chunk[:size])
		n -= size
	}
	return err
}
