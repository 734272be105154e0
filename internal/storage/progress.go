package storage

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoProgress is the cause of a context that ended because nothing was received
// in time.
var ErrNoProgress = errors.New("no progress in time")

// minProgress is the number of bytes that counts as progress, so that a response
// that arrives byte by byte is not read without end.
const minProgress = 4 << 10

type progressKey struct{}

// progress is the timeout of a read. It belongs to one context.
type progress struct {
	parent *progress // of an enclosing context; nil: none
	timer  *time.Timer
	limit  time.Duration
}

// WithProgressTimeout returns a context that ends, with the cause ErrNoProgress,
// if no progress is reported for the duration first, and later for limit. A read
// that is bounded by it may take as long as its size needs, while a bound on the
// whole read fails from some size on. Reads that share the context share their
// progress. The caller must call the function that is returned.
func WithProgressTimeout(ctx context.Context, first, limit time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	p := &progress{limit: limit, timer: time.AfterFunc(first, func() { cancel(ErrNoProgress) })}
	p.parent, _ = ctx.Value(progressKey{}).(*progress)
	return context.WithValue(limited, progressKey{}, p), func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// ReportProgress extends the timeouts that WithProgressTimeout has set for ctx.
func ReportProgress(ctx context.Context) {
	p, _ := ctx.Value(progressKey{}).(*progress)
	for ; p != nil; p = p.parent {
		if p.timer.Stop() { // otherwise it has expired or the read has ended
			p.timer.Reset(p.limit)
		}
	}
}

// progressReader reports the progress of reading a response.
type progressReader struct {
	ctx context.Context
	io.Reader
	unreported int // bytes
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.unreported += n
	if r.unreported >= minProgress {
		r.unreported = 0
		ReportProgress(r.ctx)
	}
	return n, err
}
