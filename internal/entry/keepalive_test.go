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

// deadlineRecorder records the last write deadline that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against answers that are cut off after a pause because the write
// deadline of an earlier response is still set on a keep-alive connection.
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
