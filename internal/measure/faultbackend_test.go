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
	// noticeLag is how long a backend server runs on after its client closed
	// the connection.
	noticeLag = 10 * time.Millisecond
)

var errReset = errors.New("connection reset")

// recordingBackend records each run. Half of a request's service time passes
// before the response begins, the other half in its middle.
type recordingBackend struct {
	instance int
	rec      recorder
}

func (b *recordingBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	key := r.Header.Get(keyHeader)
	n := b.rec.began(key, b.instance)
	fail := func(err error) (*http.Response, error) {
		b.rec.ended(n, false, noticeLag)
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
	resp := &recordedBody{ctx: r.Context(), rest: text, half: len(text) / 2, pause: d / 2, backend: b, run: n,
		cut: r.Header.Get(faultHeader) == "cut"}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(text)), Body: resp}, nil
}

// recordedBody is a response that pauses, or is cut, in its middle.
type recordedBody struct {
	ctx     context.Context
	rest    string
	half    int
	pause   time.Duration
	backend *recordingBackend
	run     int
	cut     bool
	done    bool
}

func (r *recordedBody) end(complete bool, lag time.Duration) {
	if !r.done {
		r.done = true
		r.backend.rec.ended(r.run, complete, lag)
	}
}

func (r *recordedBody) Read(p []byte) (int, error) {
	switch {
	case r.half > 0:
		n := copy(p, r.rest[:r.half])
		r.rest, r.half = r.rest[n:], r.half-n
		return n, nil
	case r.cut:
		r.end(false, 0)
		return 0, io.ErrUnexpectedEOF
	case r.pause > 0:
		if !actor.Sleep(r.ctx, r.pause) {
			r.end(false, noticeLag)
			return 0, r.ctx.Err()
		}
		r.pause = 0
	}
	if r.rest == "" {
		r.end(true, 0)
		return 0, io.EOF
	}
	n, _ := strings.NewReader(r.rest).Read(p)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *recordedBody) Close() error {
	r.end(false, noticeLag)
	return nil
}
