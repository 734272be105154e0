package workload

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an invalid job that is accepted and then blocks or crashes
// the scheduler, and against an error that omits a violation.
func TestValidateReportsEveryViolation(t *testing.T) {
	j := Job{ID: "xyz", Specification: strings.Repeat("s", MaxSpecificationBytes+1), Steps: []Step{
		{Count: 0}, {Count: 1, After: []int{1}}, {Count: 1, After: []int{2}, Need: Resources{MilliCPU: -1}},
	}}
	err := j.Validate()
	for _, text := range []string{"16 hexadecimal", "4001 bytes", "step 0: count", "step 1: after", "step 2: after", "negative"} {
		require.ErrorContains(t, err, text)
	}
	require.ErrorContains(t, (&Job{ID: "0123456789abcdef"}).Validate(), "no steps")
	for _, steps := range [][]Step{{{Count: 1 << 62}}, {{Count: 1 << 62}, {Count: 1 << 62}}, {{Count: MaxTasks}, {Count: 1}}} {
		require.ErrorContains(t, (&Job{ID: "0123456789abcdef", Steps: steps}).Validate(), "tasks")
	}
	require.NoError(t, (&Job{ID: "0123456789abcdef", Steps: []Step{{Count: MaxTasks}}}).Validate())
	gang := Job{ID: "0123456789abcdef", Steps: []Step{{Count: 1, Gang: true}}}
	require.ErrorIs(t, gang.Validate(), ErrUnsupported)
}

// Guards against a task name that parses as the id of another task, or that is
// malformed and accepted.
func TestParseTaskIDInvertsString(t *testing.T) {
	id := TaskID{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 30}
	got, err := ParseTaskID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, got)
	for _, bad := range []string{"", "a.0.0", "a.0.0.x", "a.0.0.-1", "a.0.0.0.0"} {
		_, err := ParseTaskID(bad)
		require.Error(t, err, bad)
	}
}

// Guards against a request that is routed to the wrong queue: of the queues
// for its host, the one with the longest matching prefix is used.
func TestLongestPrefixSelectsTheQueue(t *testing.T) {
	c := Config{Queues: []Queue{{Name: "a", Host: "h", PathPrefix: "/x/"}, {Name: "b", Host: "h", PathPrefix: "/x/y/"}, {Name: "c", Host: "g", PathPrefix: "/x/y/"}}}
	q, ok := c.Match("h", "/x/y/1")
	require.True(t, ok)
	require.Equal(t, QueueName("b"), q.Name)
	_, ok = c.Match("h", "/z")
	require.False(t, ok)
}
