package measure

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

const (
	keyHeader   = "X-Key"
	faultHeader = "X-Fault"
	// disconnectDelay is the time after which a backend server detects that its
	// client closed the connection and ends the run.
	disconnectDelay = 10 * time.Millisecond
)

var errReset = errors.New("connection reset")

// recordingBackend is a backend server that records each run. Half of the
// service time passes before the response begins, the other half between its
// first and second half.
type recordingBackend struct {
	instance int
	recorder recorder
}

func (b *recordingBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	key := r.Header.Get(keyHeader)
	n := b.recorder.recordStart(key, b.instance)
	fail := func(err error) (*http.Response, error) {
		b.recorder.recordEnd(n, false, disconnectDelay)
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fail(err)
	}
	if r.Method == http.MethodPost && string(body) != key {
		return fail(errors.Newf("the body of %s is %q", key, body))
	}
	d, err := time.ParseDuration(r.Header.Get(serviceHeader))
	if err != nil {
		return fail(err)
	}
	if !actor.Sleep(r.Context(), d/2) {
		return fail(r.Context().Err())
	}
	if r.Header.Get(faultHeader) == "reset" {
		return fail(errReset)
	}
	text := responseBody(key)
	resp := &recordedBody{ctx: r.Context(), remaining: text, firstHalf: len(text) / 2, pause: d / 2, backend: b, run: n,
		truncated: r.Header.Get(faultHeader) == "cut"}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(text)), Body: resp}, nil
}

// recordedBody is a response body that pauses after its first half or, if
// truncated is set, ends there with an error.
type recordedBody struct {
	ctx       context.Context
	remaining string // not yet read
	firstHalf int    // bytes of the first half that are not yet read
	pause     time.Duration
	backend   *recordingBackend
	run       int
	truncated bool
	ended     bool
}

func (r *recordedBody) recordEnd(complete bool, lag time.Duration) {
	if !r.ended {
		r.ended = true
		r.backend.recorder.recordEnd(r.run, complete, lag)
	}
}

func (r *recordedBody) Read(p []byte) (int, error) {
	switch {
	case r.firstHalf > 0:
		n := copy(p, r.remaining[:r.firstHalf])
		r.remaining, r.firstHalf = r.remaining[n:], r.firstHalf-n
		return n, nil
	case r.truncated:
		r.recordEnd(false, 0)
		return 0, io.ErrUnexpectedEOF
	case r.pause > 0:
		if !actor.Sleep(r.ctx, r.pause) {
			r.recordEnd(false, disconnectDelay)
			return 0, r.ctx.Err()
		}
		r.pause = 0
	}
	if r.remaining == "" {
		r.recordEnd(true, 0)
		return 0, io.EOF
	}
	n, _ := strings.NewReader(r.remaining).Read(p)
	r.remaining = r.remaining[n:]
	return n, nil
}

func (r *recordedBody) Close() error {
	r.recordEnd(false, disconnectDelay)
	return nil
}
