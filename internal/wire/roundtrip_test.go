package wire

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// TestMain fixes rapid's seed unless the command line sets one; rapid prints
// the seed of a failure.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// generators holds a generator of values for each message type, by its name.
var generators = map[string]*rapid.Generator[any]{}

func register[M any](name string) { generators[name] = generatorOf[M]() }

func init() {
	register[msg.AgentHello]("AgentHello")
	register[msg.EntryHello]("EntryHello")
	register[msg.Heartbeat]("Heartbeat")
	register[msg.BackendState]("BackendState")
	register[msg.CreditGrant]("CreditGrant")
	register[msg.CreditRecall]("CreditRecall")
	register[msg.CreditReturn]("CreditReturn")
	register[msg.Demand]("Demand")
	register[msg.OutcomeQuery]("OutcomeQuery")
	register[msg.OutcomeReply]("OutcomeReply")
	register[msg.DrainBackend]("DrainBackend")
	register[msg.ConfigDelta]("ConfigDelta")
	register[msg.ConfigRequest]("ConfigRequest")
	register[msg.ConfigApplied]("ConfigApplied")
	register[msg.CellClaim]("CellClaim")
	register[msg.LeaseRenew]("LeaseRenew")
	register[msg.StartTask]("StartTask")
	register[msg.StopTask]("StopTask")
	register[msg.CheckpointTask]("CheckpointTask")
	register[msg.ThrottleTask]("ThrottleTask")
	register[msg.TaskAck]("TaskAck")
	register[msg.TaskReport]("TaskReport")
	register[msg.Inventory]("Inventory")
	register[msg.LeaseAck]("LeaseAck")
	register[msg.UsageReport]("UsageReport")
	register[msg.PeerHello]("PeerHello")
	register[msg.Members]("Members")
	register[msg.RunsReleased]("RunsReleased")
	register[msg.HostAnnounced]("HostAnnounced")
	register[msg.OwnerClaim]("OwnerClaim")
	register[msg.HostInventory]("HostInventory")
	register[msg.InventoryAccepted]("InventoryAccepted")
	register[msg.StartRuns]("StartRuns")
	register[msg.StopRuns]("StopRuns")
	register[msg.RunsChanged]("RunsChanged")
	register[msg.RunsProgress]("RunsProgress")
	register[msg.LeaseGrant]("LeaseGrant")
	register[msg.EndsAcknowledged]("EndsAcknowledged")
	register[msg.JobSubmitted]("JobSubmitted")
	register[msg.JobCancelled]("JobCancelled")
	register[msg.JobPhases]("JobPhases")
	register[msg.ConfigAnnounced]("ConfigAnnounced")
	register[msg.ConfigChunkRequest]("ConfigChunkRequest")
	register[msg.ConfigChunk]("ConfigChunk")
	register[msg.StoreCall]("StoreCall")
	register[msg.StoreResult]("StoreResult")
	register[msg.RequestHead]("RequestHead")
	register[msg.BodyChunk]("BodyChunk")
	register[msg.BodyEnd]("BodyEnd")
	register[msg.Cancel]("Cancel")
	register[msg.Started]("Started")
	register[msg.Refused]("Refused")
	register[msg.ResponseHead]("ResponseHead")
	register[msg.Failed]("Failed")
}

// generatorOf returns a generator of pointers to values of M. Strings hold
// arbitrary bytes; enum values are in the range that decoding accepts.
func generatorOf[M any]() *rapid.Generator[any] {
	text := rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 12), func(b []byte) string { return string(b) })
	reason := rapid.Uint8Range(uint8(msg.RefusedNoCredit), uint8(msg.RefusedCancelled))
	state := rapid.Uint8Range(uint8(msg.ExchangeUnknown), uint8(msg.ExchangeFinished))
	g := rapid.MakeCustom[M](rapid.MakeConfig{
		Kinds: map[reflect.Kind]*rapid.Generator[any]{reflect.String: text.AsAny()},
		Types: map[reflect.Type]*rapid.Generator[any]{
			reflect.TypeFor[msg.RefusedReason]():  reason.AsAny(),
			reflect.TypeFor[msg.ExchangeState]():  state.AsAny(),
			reflect.TypeFor[workload.HostState](): rapid.Uint8Range(0, uint8(workload.HostDraining)).AsAny(),
			reflect.TypeFor[workload.EndReason](): rapid.Uint8Range(0, uint8(workload.EndLost)).AsAny(),
			reflect.TypeFor[workload.Phase]():     rapid.Uint8Range(0, uint8(workload.Cancelled)).AsAny(),
			reflect.TypeFor[table.Outcome]():      rapid.Uint8Range(0, uint8(table.Refused)).AsAny(),
		},
	})
	return rapid.Map(g, func(m M) any {
		replaceEmptyByNil(reflect.ValueOf(&m).Elem())
		return &m
	})
}

// replaceEmptyByNil replaces empty lists and maps by nil, because protobuf does
// not distinguish empty from absent and decoding returns nil.
func replaceEmptyByNil(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			replaceEmptyByNil(v.Field(i))
		}
	case reflect.Pointer:
		if !v.IsNil() {
			replaceEmptyByNil(v.Elem())
		}
	case reflect.Map:
		if v.Len() == 0 {
			v.SetZero()
		}
	case reflect.Slice:
		for i := range v.Len() {
			replaceEmptyByNil(v.Index(i))
		}
		if v.Len() == 0 {
			v.SetZero()
		}
	}
}

// Guards against a field that is not encoded, or that is decoded to another
// value.
func TestEveryMessageSurvivesTheRoundTrip(t *testing.T) {
	for name, g := range generators {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := g.Draw(t, "message")
				require.Equal(t, m, roundTrip(t, m))
			})
		})
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(t require.TestingT, m any) any {
	if f, ok := m.(msg.Frame); ok {
		head, body, err := AppendFrame([]byte("before"), f)
		require.NoError(t, err)
		got, err := DecodeFrame(payloadOf(t, append(head, body...)[len("before"):], MaxFrame))
		require.NoError(t, err)
		if c, ok := got.(*msg.BodyChunk); ok && len(c.Data) == 0 {
			c.Data = nil
		}
		return got
	}
	b, err := AppendControl([]byte("before"), m.(msg.Control))
	require.NoError(t, err)
	got, err := DecodeControl(payloadOf(t, b[len("before"):], MaxControl))
	require.NoError(t, err)
	return got
}

// payloadOf checks the size in the header of an envelope and returns its
// payload.
func payloadOf(t require.TestingT, b []byte, limit int) []byte {
	n, err := PayloadSize(b[:HeaderSize], limit)
	require.NoError(t, err)
	require.Equal(t, len(b)-HeaderSize, n)
	return b[HeaderSize:]
}

// Guards against a message type of internal/msg that the round-trip test does
// not cover and that may therefore lack an encoding.
func TestEveryMessageHasAGenerator(t *testing.T) {
	files, err := filepath.Glob("../msg/*.go")
	require.NoError(t, err)
	var declared, tested []string
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		f, err := parser.ParseFile(token.NewFileSet(), file, raw, 0)
		require.NoError(t, err)
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && (fn.Name.Name == "isControl" || fn.Name.Name == "isFrame") {
				receiver := fn.Recv.List[0].Type.(*ast.StarExpr).X.(*ast.Ident)
				declared = append(declared, receiver.Name)
			}
		}
	}
	for name := range generators {
		tested = append(tested, name)
	}
	sort.Strings(declared)
	sort.Strings(tested)
	require.Equal(t, strings.Join(declared, " "), strings.Join(tested, " "))
}

// Guards against fields of the rows of jobs and of their owner that are not stored.
func TestRowsOfJobsAndOfTheirOwnerKeepEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := generatorOf[workload.Job]().Draw(t, "job").(*workload.Job)
		raw, err := EncodeJob(job)
		require.NoError(t, err)
		gotJob, err := DecodeJob(raw)
		require.NoError(t, err)
		require.Equal(t, *job, gotJob)

		owner := generatorOf[workload.Owner]().Draw(t, "owner").(*workload.Owner)
		raw, err = EncodeOwner(*owner)
		require.NoError(t, err)
		gotOwner, err := DecodeOwner(raw)
		require.NoError(t, err)
		require.Equal(t, *owner, gotOwner)
	})
}

// Guards against an owner's row of a former program, which has no such field, that
// is read as one of an owner that looks at the epochs of jobs.
func TestOwnersRowOfAFormerProgramIsNotFenced(t *testing.T) {
	row := []byte("\x0a\x01a\x11\x09\x00\x00\x00\x00\x00\x00\x00\x18\x04\x20\x02\x28\x01")
	got, err := DecodeOwner(row)
	require.NoError(t, err)
	require.Equal(t, workload.Owner{Name: "a", Boot: 9, Epoch: 4, Sequence: 2, Unsettled: true}, got)
}
