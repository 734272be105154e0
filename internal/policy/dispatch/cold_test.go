package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that has just started, or whose credits were lent
// to others, refusing every request but the first of a tenant although
// agents lend it slots once they hear of its demand.
func TestAdmitWithoutCreditsYet(t *testing.T) {
	q, now := NewQueue(Options{}, NewClasses()), time.Now()
	for n := range 40 {
		r := Request{Key: Key(n), Tenant: "tenant", Arrived: now, Deadline: now.Add(30 * time.Second)}
		require.Equal(t, Accepted, q.Admit(now, r, Load{}, false), "request %d", n)
	}
}
