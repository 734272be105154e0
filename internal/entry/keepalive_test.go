package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// deadlineRecorder records the write deadline that a handler leaves behind.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against a write deadline of an earlier response on a connection that
// is kept alive: an answer after a pause would be cut off.
func TestEveryAnswerSetsItsWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &actor.Value[RoutingTable]{}
		table.Set(&RoutingTable{})
		f := &Frontend{Table: table.Get, Semaphore: make(chan struct{}, 1)}
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		time.Sleep(time.Minute)
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://nosuch.example/", nil))
		require.Equal(t, http.StatusNotFound, w.Code)
		require.Equal(t, time.Now().Add(writeTimeout), w.deadline)
	})
}
