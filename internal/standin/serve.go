package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 64 << 20
)

// errLimit is the error of an operation above the rate limit, which had no
// effect.
var errLimit = errors.Wrap(storage.ErrUnavailable, "rate limit exceeded")

// serve serves on l until ctx ends, and then closes all connections.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	s.ReadHeaderTimeout = readHeaderTimeout
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving on %s", l.Addr())
	}
	return nil
}

// readJSON decodes the request's body into v, which an empty body leaves
// unchanged. On failure it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil && len(raw) > 0 {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with a status and with v encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// writeError answers with the HTTP status for an error of a simulated
// operation. For any other error, such as storage.ErrOutcomeUnknown, it closes
// the connection without an answer.
func writeError(w http.ResponseWriter, err error) {
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, map[string]any{"failed": conflict.Keys})
	case errors.Is(err, errLimit):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, storage.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, storage.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, storage.ErrRefused):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

// answer is the content of a reply: a value or an error.
type answer[T any] struct {
	value T
	err   error
}

// ask sends a message and waits for its answer. If the simulator's actor has
// ended, the error is storage.ErrOutcomeUnknown.
func ask[M, T any](ctx context.Context, to actor.Address[M], build func(actor.Reply[answer[T]]) M) (T, error) {
	a, err := actor.Ask(ctx, to, build)
	if errors.Is(err, actor.ErrStopped) {
		err = storage.ErrOutcomeUnknown
	}
	if err != nil {
		return a.value, err
	}
	return a.value, a.err
}

// callTimers calls functions in an actor after a delay. It belongs to the actor.
type callTimers struct {
	deadlines *actor.Timers[uint64]
	callbacks map[uint64]func()
	lastID    uint64
}

func newCallTimers() *callTimers {
	return &callTimers{deadlines: actor.NewTimers[uint64](), callbacks: map[uint64]func(){}}
}

// afterFunc calls f once d has passed, or at once if d is not positive. The id
// is for cancel.
func (t *callTimers) afterFunc(d time.Duration, f func()) (id uint64) {
	if d <= 0 {
		f()
		return 0
	}
	t.lastID++
	t.callbacks[t.lastID] = f
	t.deadlines.Set(t.lastID, time.Now().Add(d))
	return t.lastID
}

func (t *callTimers) cancel(id uint64) {
	t.deadlines.Clear(id)
	delete(t.callbacks, id)
}

// runDue calls every function whose delay has passed.
func (t *callTimers) runDue() {
	for id, ok := t.deadlines.Pop(time.Now()); ok; id, ok = t.deadlines.Pop(time.Now()) {
		f := t.callbacks[id]
		delete(t.callbacks, id)
		f()
	}
}

// message is handled by the actor that owns a state of type S.
type message[S any] interface{ handle(S) }

// spawn starts an actor that handles messages and calls the functions of its
// timers, one at a time.
func spawn[S any](g *actor.Group, name string, timers *callTimers, state S) actor.Address[message[S]] {
	return actor.Spawn(g, actor.Spec[message[S]]{Name: name, Mailbox: 256,
		Run: func(ctx context.Context, in <-chan message[S]) error {
			defer timers.deadlines.Stop()
			for {
				select {
				case m := <-in:
					m.handle(state)
				case <-timers.deadlines.C():
					timers.runDue()
				case <-ctx.Done():
					return nil
				}
			}
		}})
}

// clock returns times that can be compared between the simulators of one
// machine. It reads the wall clock only once, so that steps of that clock do not
// affect them.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now returns nanoseconds since the Unix epoch.
func (c clock) now() int64 { return c.start.UnixNano() + int64(time.Since(c.start)) }
