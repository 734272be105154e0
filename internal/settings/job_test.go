package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that is killed in its drain because it does not know
// its grace period, and against settings without one that stop it from starting.
func TestGracePeriodOfAnEntry(t *testing.T) {
	const rest = "[node]\nname=e\nip=127.0.0.1\ndata-centre=d\nlink-port=1\n[store]\naddress=a:1\n[entry]\ncallers=a:2\nreadiness=a:3\n"
	for text, want := range map[string]time.Duration{
		"": 6 * time.Second, "grace-period-s = ": 6 * time.Second, "grace-period-s = 10": 10 * time.Second, "grace-period-s = 2.5": 2500 * time.Millisecond,
	} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		d, err := LoadJobDaemon(file, "entry")
		require.NoError(t, err)
		require.Equal(t, want, d.GracePeriod, text)
	}
	for _, text := range []string{"grace-period-s = 6s", "grace-period-s = 0", "grace-period-s = NaN", "grace-period-s = 1e300"} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		_, err := LoadJobDaemon(file, "entry")
		require.ErrorContains(t, err, "[entry] grace-period-s")
	}
}
