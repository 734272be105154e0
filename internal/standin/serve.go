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

// errLimit is returned above the rate limits; nothing took effect.
var errLimit = errors.Wrap(storage.ErrUnavailable, "over the rate limit")

// serve answers on l until ctx ends, which closes all connections.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	s.ReadHeaderTimeout = readHeaderTimeout
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serving on %s", l.Addr())
	}
	return nil
}

// readJSON decodes the request's body into v; on failure it answers 400 and
// returns false.
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

// writeJSON answers with v.
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

// writeError maps an error of a simulated operation to its HTTP form. An
// operation whose outcome is to be unknown gets no answer: its connection is
// closed.
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

// answer is the value of a reply that may be an error.
type answer[T any] struct {
	value T
	err   error
}

// ask sends a message and waits for its answer. A simulator that has ended
// leaves the outcome unknown.
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

// later runs functions of an actor after a delay.
type callTimers struct {
	deadlines *actor.Timers[uint64]
	callbacks map[uint64]func()
	lastID    uint64
}

func newCallTimers() *callTimers {
	return &callTimers{deadlines: actor.NewTimers[uint64](), callbacks: map[uint64]func(){}}
}

// after runs f once d has passed, or at once if d is not positive. The id
// cancels it.
func (l *callTimers) afterFunc(d time.Duration, f func()) (id uint64) {
	if d <= 0 {
		f()
		return 0
	}
	l.lastID++
	l.callbacks[l.lastID] = f
	l.deadlines.Set(l.lastID, time.Now().Add(d))
	return l.lastID
}

func (l *callTimers) cancel(id uint64) {
	l.deadlines.Clear(id)
	delete(l.callbacks, id)
}

// due runs every function whose time has come.
func (l *callTimers) runDue() {
	for id, ok := l.deadlines.Pop(time.Now()); ok; id, ok = l.deadlines.Pop(time.Now()) {
		f := l.callbacks[id]
		delete(l.callbacks, id)
		f()
	}
}

// message is handled by the actor that owns a state of type S.
type message[S any] interface{ handle(S) }

// spawn starts an actor that handles messages and delayed functions.
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

// clock gives times that are comparable between the simulators of one machine
// and do not jump: the wall clock is read once.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now returns nanoseconds since the Unix epoch.
func (c clock) now() int64 { return c.start.UnixNano() + int64(time.Since(c.start)) }
