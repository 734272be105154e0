package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ends of leases that a successor reads as earlier, against a row that
// grows with the number of hosts, and against a malformed row that ends the owner.
func TestEndingLeasesAreReadAsTheyWereWritten(t *testing.T) {
	list := []EndingLease{{Host: "a"}, {Host: "b:1", Remaining: 6420 * time.Millisecond}, {Host: "c", Remaining: 1500*time.Millisecond + 1}}
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
	require.Equal(t, []EndingLease{{Host: "b", Remaining: time.Millisecond}}, ParseEndingLeases("a :5 b:1 c:-1 d:1x e:99999999999 f:"))
}

// Guards against a list of runs that a successor takes for complete although it was cut
// off, was not written, or belongs to another host, and against one that displaces a host.
func TestRunsOfEndingLeasesAreReadAsTheyWereWritten(t *testing.T) {
	run := RunID{TaskID{Job: "00000000000000a1", Step: 1, Index: 20}, 5<<20 + 7}
	list := []EndingLease{
		{Host: "a", Listed: true, Runs: []RunID{run, {TaskID{Job: "b"}, 1}}},
		{Host: "b", Remaining: time.Second, Listed: true},
		{Host: "c", Remaining: 2 * time.Second},
	}
	row := FormatEndingLeases(list, 100)
	require.Equal(t, "a:0 =00000000000000a1.0.1.20#5242887,b.0.0.0#1 b:1000 = c:2000", row)
	require.Equal(t, list, ParseEndingLeases(row))
	require.Equal(t, "a:0 =00000000000000a1.0.1.20#5242887,b.0.0.0#1 b:1000 c:2000", FormatEndingLeases(list, len(row)-1))
	require.Equal(t, "a:0 b:1000 = c:2000", FormatEndingLeases(list, len(row)-3), "a list is omitted as a whole")
	require.Equal(t, "a:0 b:1000 c:2000", FormatEndingLeases(list, len("a:0 b:1000 c:2000")+1))
	require.Equal(t, "a:0 b:1000 =", FormatEndingLeases(list, len("a:0 b:1000 c:2000")-1), "hosts come before lists")

	for _, malformed := range []string{"a:0 =x", "a:0 =b.0.0.0#1,", "a:0 =b.0.0.0", "a:0 =b.0.0.0#-1", "a:0 b =", "a:0 b:x =b.0.0.0#1", "= a:0"} {
		require.Equal(t, []EndingLease{{Host: "a"}}, ParseEndingLeases(malformed), malformed)
	}
}
