package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
)

// rest holds the keys that an entry must have. Further lines are in [entry].
const rest = "[node]\nname=e\nip=127.0.0.1\ndata-centre=d\nlink-port=1\n[store]\naddress=a:1\n[entry]\ncallers=a:2\nreadiness=a:3\n"

// Guards against an entry that is killed in its drain because it does not know
// its grace period, and against settings without one that stop it from starting.
func TestGracePeriodOfAnEntry(t *testing.T) {
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

// Guards against an owner of the jobs that is chosen by name because its entry
// does not know its processor share, against settings without a share that stop
// an entry from starting, and against an invalid one that is taken for unknown.
func TestProcessorShareOfAnEntry(t *testing.T) {
	for text, want := range map[string]model.MilliCPU{
		"": 0, "processor-share = \nprocessor-cores = 2": 0, "processor-share = 0": 0, "processor-share = 0.19": 190,
		"processor-share = 0.8\nprocessor-cores = ": 800, "processor-share = 0.4\nprocessor-cores = 1.5": 600,
	} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		d, err := LoadJobDaemon(file, "entry")
		require.NoError(t, err)
		require.Equal(t, want, d.ProcessorShare, text)
	}
	for _, text := range []string{"processor-share = 40%", "processor-share = -1", "processor-share = NaN", "processor-cores = 1e300", "processor-cores = many", "link-mbps = fast", "link-mbps = -10", "memory-mb = much", "memory-mb = -1"} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		_, err := LoadJobDaemon(file, "entry")
		require.ErrorContains(t, err, "[entry] "+strings.Fields(text)[0])
	}
}

// Guards against an entry with a small connection that reads each configuration
// for the others, because its own rate is not known or wrong.
func TestLinkRateOfAnEntry(t *testing.T) {
	for text, want := range map[string]int64{"": 0, "link-mbps = ": 0, "link-mbps = 10": 10_000_000, "link-mbps = 200.0": 200_000_000, "link-mbps = 0.5": 500_000} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		d, err := LoadJobDaemon(file, "entry")
		require.NoError(t, err)
		require.Equal(t, want, d.LinkRate, text)
	}
}

// Guards against a defect that the operator cannot find in the file, and against one
// that hides the others.
func TestFindingsOfAJobDaemonNameKeyAndLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.conf")
	text := strings.Replace(rest, "link-port=1", "link-port=one", 1) + "grace-period-s = soon\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := LoadJobDaemon(file, "entry")
	require.ErrorContains(t, err, "node.conf:5: [node] link-port: ")
	require.ErrorContains(t, err, "node.conf:11: [entry] grace-period-s: ")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(rest, "name=e\n", "", 1)), 0o600))
	_, err = LoadJobDaemon(file, "entry")
	require.ErrorContains(t, err, "node.conf: [node] name: is missing")
}

// Guards against a changed key that nobody is told of: it neither takes effect nor is
// named as one that needs a restart.
func TestEveryChangedKeyIsNamed(t *testing.T) {
	before := JobDaemon{}
	v := reflect.ValueOf(&before).Elem()
	for i := range v.NumField() {
		next := JobDaemon{}
		switch f := reflect.ValueOf(&next).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Slice:
			f.Set(reflect.ValueOf([]string{"x"}))
		default:
			f.SetInt(1)
		}
		atOnce, restart := before.Changes(&next)
		require.Len(t, append(atOnce, restart...), 1, v.Type().Field(i).Name)
	}
	atOnce, restart := before.Changes(&before)
	require.Empty(t, append(atOnce, restart...))
}

// Guards against an entry that bounds what it accepts by another memory than its host's.
func TestMemoryOfAnEntry(t *testing.T) {
	for text, want := range map[string]int64{"": 0, "memory-mb = ": 0, "memory-mb = 284": 284 << 20, "memory-mb = 0.5": 1 << 19} {
		file := filepath.Join(t.TempDir(), "node.conf")
		require.NoError(t, os.WriteFile(file, []byte(rest+text+"\n"), 0o600))
		d, err := LoadJobDaemon(file, "entry")
		require.NoError(t, err)
		require.Equal(t, want, d.Memory, text)
	}
}
