package wire

import (
	"reflect"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// messageLimits has, for each message on a link that is not divided, why it is below
// MaxControl.
var messageLimits = map[string]string{
	"AgentHello":         "one host",
	"EntryHello":         "one entry",
	"Heartbeat":          "numbers",
	"BackendState":       "one backend server",
	"CreditGrant":        "numbers and a name",
	"CreditRecall":       "numbers and a name",
	"CreditReturn":       "numbers and a name",
	"Demand":             "numbers and a name",
	"OutcomeQuery":       "a request's number",
	"OutcomeReply":       "a request's number",
	"DrainBackend":       "a name",
	"ConfigDelta":        "the configuration of 6,900 workers with 300 bytes each is 2 MB; larger ones are not divided",
	"ConfigRequest":      "numbers",
	"ConfigApplied":      "numbers and a name",
	"CellClaim":          "numbers and a name",
	"LeaseRenew":         "the attempts of a host, some 100 bytes each",
	"StartTask":          "one task",
	"StopTask":           "one task",
	"CheckpointTask":     "one task",
	"ThrottleTask":       "one task",
	"TaskAck":            "one task",
	"TaskReport":         "one task",
	"Inventory":          "the attempts of a host, some 100 bytes each; larger ones are not divided",
	"LeaseAck":           "the attempts of a host, some 100 bytes each",
	"UsageReport":        "the attempts of a host, some 100 bytes each",
	"PeerHello":          "one process",
	"HostAnnounced":      "one host, whose announcement has at most 4 MiB; a larger message is not sent",
	"OwnerClaim":         "a number and a name",
	"EndsAcknowledged":   "numbers and a name",
	"JobSubmitted":       "a submission has at most 1 MB",
	"JobCancelled":       "a job's id",
	"JobPhases":          "4 KB (internal/jobdaemon/phasefeed.go)",
	"ConfigAnnounced":    "a number; the configuration itself only for former programs, and above the limit it is not sent",
	"ConfigChunkRequest": "numbers",
	"ConfigChunk":        "256 KB (internal/configchunk)",
	"StoreCall":          "a transaction, of which the table service accepts 1 MB",
	"StoreResult":        "the rows of the checks of a transaction, 64 KB each",
}

// controlTypes returns the generators of the messages on a link by type.
func controlTypes() map[string]*rapid.Generator[any] {
	types := map[string]*rapid.Generator[any]{}
	for name, g := range generators {
		if _, ok := pointerTo(g.Example(0)).(msg.Control); ok {
			types[name] = g
		}
	}
	return types
}

// pointerTo returns a pointer to a copy of a value.
func pointerTo(v any) any {
	if reflect.TypeOf(v).Kind() == reflect.Pointer {
		return v
	}
	p := reflect.New(reflect.TypeOf(v))
	p.Elem().Set(reflect.ValueOf(v))
	return p.Interface()
}

// Guards against a message whose lists grow with the work above what a link sends: it ended
// the link each time. A new message has to be divisible, or needs an entry here.
func TestEveryMessageIsDivisibleOrBounded(t *testing.T) {
	var found, listed []string
	for name, g := range controlTypes() {
		if _, divisible := pointerTo(g.Example(0)).(msg.Divisible); !divisible {
			found = append(found, name)
		}
	}
	for name, reason := range messageLimits {
		require.NotEmpty(t, reason, name)
		listed = append(listed, name)
	}
	sort.Strings(found)
	sort.Strings(listed)
	require.Equal(t, listed, found)
}

// withoutItems returns a copy of a message whose lists are empty.
func withoutItems(m msg.Control) msg.Control {
	c := reflect.New(reflect.TypeOf(m).Elem())
	c.Elem().Set(reflect.ValueOf(m).Elem())
	for i := range c.Elem().NumField() {
		if f := c.Elem().Field(i); f.Kind() == reflect.Slice {
			f.SetZero()
		}
	}
	return c.Interface().(msg.Control)
}

// Guards against an estimate of a message that is below its encoding: parts would exceed
// their limit. The parts of a message have all of its items.
func TestSizeOfAMessageIsNotBelowItsEncoding(t *testing.T) {
	for name, g := range controlTypes() {
		if _, ok := pointerTo(g.Example(0)).(msg.Divisible); !ok {
			continue
		}
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			m := pointerTo(g.Draw(t, "message")).(msg.Divisible)
			whole, err := AppendControl(nil, m)
			require.NoError(t, err)
			empty, err := AppendControl(nil, withoutItems(m))
			require.NoError(t, err)
			const lengthBytes = 8 // of the length of the whole, which depends on the items
			require.LessOrEqual(t, len(whole)-len(empty), m.Size()+lengthBytes)
			if m.Items() < 2 {
				return
			}
			first, second := m.Divide()
			a, b := first.(msg.Divisible), second.(msg.Divisible)
			require.Equal(t, m.Items(), a.Items()+b.Items())
			require.Positive(t, a.Items())
			require.Positive(t, b.Items())
			if j, ok := first.(msg.Joinable); ok {
				require.True(t, j.Continued())
				joined, ok := j.Join(second)
				require.True(t, ok)
				require.Equal(t, encoded(t, m), encoded(t, joined))
			}
		}))
	}
}

func encoded(t *rapid.T, m msg.Control) string {
	raw, err := AppendControl(nil, m)
	require.NoError(t, err)
	return string(raw)
}
