package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ends of leases that a successor reads as earlier, against a row that
// grows with the number of hosts, and against a malformed row that ends the owner.
func TestEndingLeasesAreReadAsTheyWereWritten(t *testing.T) {
	list := []EndingLease{{"a", 0}, {"b:1", 6420 * time.Millisecond}, {"c", 1500*time.Millisecond + 1}}
	row := FormatEndingLeases(list, 100)
	require.Equal(t, "a:0 b:1:6420 c:1501", row)
	got := ParseEndingLeases(row)
	require.Len(t, got, len(list))
	for i, l := range got {
		require.Equal(t, list[i].Host, l.Host)
		require.GreaterOrEqual(t, l.Remaining, list[i].Remaining)
	}
	require.Empty(t, FormatEndingLeases(list, 2))
	require.Equal(t, "a:0", FormatEndingLeases(list, 3))
	require.Equal(t, "a:0 b:1:6420", FormatEndingLeases(list, 18))
	require.Empty(t, ParseEndingLeases(""))
	require.Equal(t, []EndingLease{{"b", time.Millisecond}}, ParseEndingLeases("a :5 b:1 c:-1 d:1x e:99999999999 f:"))
}
