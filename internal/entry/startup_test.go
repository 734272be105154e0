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

// Guards against status 404 from an entry that has just started, while the
// agents of the service are still connecting.
func TestUnknownServiceAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &actor.Value[RoutingTable]{}
		table.Set(&RoutingTable{})
		f := &Frontend{Table: table.Get, Semaphore: make(chan struct{}, 1), StartedAt: time.Now()}
		status := func() int {
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://permit-desk.example/", nil))
			require.Equal(t, "not-run", w.Header().Get("Bambooscale-Outcome"))
			return w.Code
		}
		require.Equal(t, http.StatusServiceUnavailable, status())
		time.Sleep(startupGrace)
		require.Equal(t, http.StatusNotFound, status())
	})
}
