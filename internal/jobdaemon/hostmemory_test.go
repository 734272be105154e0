package jobdaemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a memory that is read in other units, or from another line.
func TestTotalMemoryIsRead(t *testing.T) {
	for text, want := range map[string]int64{
		"MemTotal:         290816 kB\nMemFree:  1 kB\n": 284 << 20,
		"MemFree: 5 kB\nMemTotal: 1 kB\n":               1 << 10,
		"MemTotal: many kB\n":                           0,
		"MemTotal: 5\n":                                 0,
		"":                                              0,
	} {
		require.Equal(t, want, totalMemory(text), text)
	}
}
