package workload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a job that exceeds the memory of the owner by the sum of its steps.
func TestJobWithTooManyTasksIsRefused(t *testing.T) {
	for last, valid := range map[int]bool{1: true, 2: true, 3: false} {
		j := Job{ID: "00000000000000a1", Steps: []Step{{Count: MaxTasks - 2}, {Count: last}}}
		require.Equal(t, MaxTasks-2+last, j.TaskCount())
		require.Equal(t, valid, j.Validate() == nil, "%d tasks", j.TaskCount())
	}
}
