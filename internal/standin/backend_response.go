package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// responseWriter writes a response except for its last byte, which finish
// sends, and applies the request's fault.
type responseWriter struct {
	w             http.ResponseWriter
	status        int
	fault         Fault
	contentLength int64 // declared length of the body; 0 if it is empty or unknown
	written       int64
	withheld      []byte // last byte of the body so far, or empty
	headerSent    bool
}

// run serves the request and returns how it ended, a value of
// RequestRecord.End.
func (h *responseWriter) run(r *http.Request, adm admission, serve func(*responseWriter, *http.Request) error) string {
	ctx := r.Context()
	if adm.delayMs > 0 && !actor.Sleep(ctx, time.Duration(adm.delayMs)*time.Millisecond) {
		return endCancelled
	}
	err := serve(h, r)
	if err == nil && h.fault == FaultHang {
		<-ctx.Done()
	}
	switch {
	case ctx.Err() != nil:
		return endCancelled
	case err != nil || h.fault != "":
		return endFailed
	}
	return endComplete
}

// setContentLength declares the length of the body; n is negative if it is
// unknown.
func (h *responseWriter) setContentLength(n int64) {
	if n >= 0 && h.fault != FaultError {
		h.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		h.contentLength = n
	}
}

// writeText writes a short body of known length.
func (h *responseWriter) writeText(s string) error {
	h.setContentLength(int64(len(s)))
	_, err := h.Write([]byte(s))
	return err
}

// fail answers with an error status and a line of text.
func (h *responseWriter) fail(status int, s string) error {
	h.status = status
	return h.writeText(s + "\n")
}

// Write implements io.Writer.
func (h *responseWriter) Write(p []byte) (int, error) {
	if len(p) == 0 || h.suppressed() {
		return len(p), nil
	}
	rest := append(h.withheld, p[:len(p)-1]...)
	if err := h.send(rest); err != nil {
		return 0, err
	}
	h.withheld = append(h.withheld[:0], p[len(p)-1])
	return len(p), nil
}

// suppressed reports whether the fault suppresses the rest of the body:
// FaultHang and FaultError all of it, FaultReset and FaultTruncate the second
// half.
func (h *responseWriter) suppressed() bool {
	switch h.fault {
	case FaultHang, FaultError:
		return true
	case FaultReset, FaultTruncate:
		return h.written > 0 && h.written >= h.contentLength/2
	}
	return false
}

func (h *responseWriter) send(p []byte) error {
	if !h.headerSent {
		h.headerSent = true
		h.w.WriteHeader(h.status)
	}
	n, err := h.w.Write(p)
	h.written += int64(n)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil // the response to a HEAD request
	}
	return err
}

// finish sends the last byte, or ends the response as the fault requires. It
// closes the connection of a response that is not complete.
func (h *responseWriter) finish(end string) {
	switch {
	case end == endComplete && len(h.withheld) > 0:
		if h.send(h.withheld) != nil {
			panic(http.ErrAbortHandler)
		}
	case end == endComplete:
	case h.fault == FaultError:
		http.Error(h.w, "simulated error", http.StatusInternalServerError)
	case h.fault == FaultReset:
		h.reset()
	default:
		_ = http.NewResponseController(h.w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// reset flushes the written part and then resets the connection.
func (h *responseWriter) reset() {
	control := http.NewResponseController(h.w)
	_ = control.Flush()
	conn, _, err := control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if l, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}

// countingListener counts connections and closes those above the limit.
type countingListener struct {
	net.Listener
	backend *Backend
}

func (l *countingListener) count(open bool) bool {
	ok, err := ask(context.Background(), l.backend.to, func(r backendReply[bool]) message[*backendState] { return connectionMsg{open, r} })
	return ok && err == nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.count(true) {
			counted := &countedConn{c, l, make(chan struct{}, 1)}
			counted.open <- struct{}{}
			return counted, nil
		}
		_ = c.Close()
	}
}

// countedConn is a counted connection. Close may be called more than once and
// by any goroutine; open contains one token until the first Close, so that the
// connection is counted down only once.
type countedConn struct {
	net.Conn
	listener *countingListener
	open     chan struct{}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	select {
	case <-c.open:
		c.listener.count(false)
	default:
	}
	return err
}

// SetLinger makes Close reset the connection if sec is 0.
func (c *countedConn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return t.SetLinger(sec)
	}
	return nil
}
