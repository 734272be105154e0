package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/agent"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/model"
)

// faultDeployment is small, so that faults affect requests in every state.
var faultDeployment = deployment{
	service: "permit-desk", dataCentres: nilegate.dataCentres, dataCentreDelay: 1500 * time.Microsecond,
	clientDelay: 3 * time.Millisecond, instances: 3, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{{Name: "all", PathPrefixes: []string{"/"}, Deadline: 10 * time.Second}},
}

// trial is a cluster with faults, a load and a recorded history.
type trial struct {
	*cluster
	recorder recorder
	rand     *rand.Rand
	callers  *actor.Group
	sent     int
}

func newTrial(t *testing.T, seed uint64) *trial {
	x := &trial{rand: rand.New(rand.NewPCG(seed, 7))}
	x.recorder = newRecorder(actor.NewGroup(t.Context(), nil), faultDeployment.slots)
	x.cluster = newClusterWith(t, faultDeployment, seed, func(i int) http.RoundTripper {
		return &recordingBackend{instance: i, recorder: x.recorder}
	})
	x.callers = actor.NewGroup(t.Context(), nil)
	return x
}

// call describes a request; fault is the fault of the backend server for it.
type call struct {
	method, fault string
	service       time.Duration
	leaveAfter    time.Duration // the caller closes the connection after this time; 0: never
}

// startCall sends a request to an entry in a goroutine of its own and records
// the result.
func (x *trial) startCall(entry int, c call) {
	x.sent++
	key := fmt.Sprintf("%s-%d", c.method, x.sent)
	frontend := x.entries[entry].Get()
	actor.Go(x.callers, "caller", func(ctx context.Context) error {
		if c.leaveAfter > 0 {
			cancellable, cancel := context.WithTimeout(ctx, c.leaveAfter)
			defer cancel()
			ctx = cancellable
		}
		result := sendRequest(ctx, frontend, key, c)
		if result.cancelled = ctx.Err() != nil; result.cancelled { // the caller receives no answer
			result.status, result.body, result.outcome = 0, "", ""
		}
		x.recorder.add(func(h *history) { h.results = append(h.results, result) })
		return nil
	})
}

func sendRequest(ctx context.Context, frontend *entry.Frontend, key string, c call) (result callerResult) {
	result = callerResult{key: key, idempotent: model.Idempotent(c.method)}
	var body *strings.Reader
	if body = strings.NewReader(""); c.method == http.MethodPost {
		body = strings.NewReader(key)
	}
	r := httptest.NewRequestWithContext(ctx, c.method, "http://permit-desk.example/", body)
	r.Header.Set(keyHeader, key)
	r.Header.Set(serviceHeader, c.service.String())
	r.Header.Set(faultHeader, c.fault)
	w := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		} else if v != nil {
			return // the entry aborted the connection
		}
		result.status, result.body, result.outcome = w.Code, w.Body.String(), w.Header().Get(model.OutcomeHeader)
	}()
	frontend.ServeHTTP(w, r)
	return result
}

// loadWithFaults sends requests that need about 60% of the slots. Some of them
// fail at the backend server, are cancelled by the caller, or take long.
func (x *trial) loadWithFaults(length time.Duration) {
	begin := time.Now()
	for time.Since(begin) < length {
		time.Sleep(time.Duration(x.rand.ExpFloat64() * float64(1400*time.Microsecond)))
		c := call{method: []string{"GET", "POST", "POST"}[x.rand.IntN(3)],
			service: time.Duration((0.2 + x.rand.ExpFloat64()) * float64(16*time.Millisecond))}
		switch x.rand.IntN(50) {
		case 0:
			c.fault = "reset"
		case 1:
			c.fault = "cut"
		case 2:
			c.leaveAfter = time.Duration(1 + x.rand.IntN(int(30*time.Millisecond)))
		case 3:
			c.service = time.Second
		}
		x.startCall(x.rand.IntN(len(x.entries)), c)
	}
}

// finish waits for the callers, stops the cluster and returns the history.
func (x *trial) finish(t *testing.T) history {
	x.callers.Wait()
	time.Sleep(disconnectDelay + time.Second)
	h := x.recorder.get()
	x.stop()
	require.Len(t, h.results, x.sent, "each call ends with an answer or an aborted connection")
	return h
}

// applyRandomFault applies a random fault, reverts it and returns a description.
func (x *trial) applyRandomFault(ctx context.Context, r *rand.Rand) string {
	entryIndex, agentIndex := r.IntN(len(x.entries)), r.IntN(x.deployment.instances)
	entryProcess, agentProcess := entryName(entryIndex), agentName(agentIndex)
	length := time.Duration(50+r.IntN(6000)) * time.Millisecond
	switch kind := r.IntN(7); kind {
	case 0:
		x.network.Cut(entryProcess, agentProcess)
		actor.Sleep(ctx, length)
		x.network.Heal(entryProcess, agentProcess)
		return fmt.Sprint("cut ", entryProcess, " to ", agentProcess, " for ", length)
	case 1:
		x.network.Cut(agentProcess, entryProcess)
		actor.Sleep(ctx, length)
		x.network.Heal(agentProcess, entryProcess)
		return fmt.Sprint("cut ", agentProcess, " to ", entryProcess, " for ", length)
	case 2: // looks to the other processes like a frozen entry
		for i := range x.deployment.instances {
			x.network.CutBoth(entryProcess, agentName(i))
		}
		actor.Sleep(ctx, length)
		for i := range x.deployment.instances {
			x.network.HealBoth(entryProcess, agentName(i))
		}
		return fmt.Sprint("isolate ", entryProcess, " for ", length)
	case 3, 4:
		x.network.Reset(entryProcess, agentProcess)
		return fmt.Sprint("reset ", entryProcess, " ", agentProcess)
	case 5:
		x.kill(entryProcess)
		actor.Sleep(ctx, 300*time.Millisecond)
		x.startEntry(entryIndex)
		return fmt.Sprint("restart ", entryProcess)
	default:
		x.kill(agentProcess)
		actor.Sleep(ctx, 300*time.Millisecond)
		x.startAgent(agentIndex)
		return fmt.Sprint("restart ", agentProcess)
	}
}

// randomFaults runs a load with a sequence of random faults. It returns the
// history and the descriptions of the faults.
func randomFaults(t *testing.T, seed uint64, length time.Duration) (h history, log []string) {
	synctest.Test(t, func(t *testing.T) {
		x := newTrial(t, seed)
		faults := actor.NewGroup(t.Context(), nil)
		r := rand.New(rand.NewPCG(seed, 8))
		actor.Go(faults, "faults", func(ctx context.Context) error {
			for ctx.Err() == nil {
				log = append(log, fmt.Sprint(time.Since(x.recorder.start), " ", x.applyRandomFault(ctx, r)))
				actor.Sleep(ctx, time.Duration(r.IntN(800))*time.Millisecond)
			}
			return nil
		})
		x.loadWithFaults(length)
		faults.Stop()
		for _, e := range []string{entryName(0), entryName(1)} {
			for i := range x.deployment.instances {
				x.network.HealBoth(e, agentName(i))
			}
		}
		h = x.finish(t)
	})
	return h, log
}

// summary counts the requests by outcome or status.
func (h history) summary() string {
	count := map[string]int{}
	for _, result := range h.results {
		switch {
		case result.status == 0 && result.cancelled:
			count["left"]++
		case result.status == 0:
			count["aborted"]++
		case result.outcome == "":
			count[strconv.Itoa(result.status)]++
		default:
			count[result.outcome]++
		}
	}
	return fmt.Sprintf("%d requests, %d runs, answers %v", len(h.results), len(h.runs), count)
}

const (
	seedCountVariable = "BAMBOOSCALE_FAULT_SEEDS" // number of seeds; default 2
	firstSeedVariable = "BAMBOOSCALE_FAULT_SEED"  // the first seed; default 1
)

// envInt returns the integer in an environment variable, or fallback.
func envInt(variable string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return fallback
}

// Guards against violations of the guarantees G2, G4, G5 and G6 under random
// combinations of lost, one-way and slow links, restarts, failing backend
// servers and callers that close the connection.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first := envInt(firstSeedVariable, 1)
	for seed := first; seed < first+envInt(seedCountVariable, 2); seed++ {
		h, faults := randomFaults(t, uint64(seed), 6*time.Second)
		t.Logf("seed %d: %s, %d faults", seed, h.summary(), len(faults))
		if violations := h.check(); len(violations) > 0 {
			t.Errorf("%s=%d %d violations, first %v\n%s", firstSeedVariable, seed, len(violations), violations[:min(5, len(violations))],
				strings.Join(faults, "\n"))
		}
	}
}

// Guards against requests that start on an instance more than 3 s after its
// drain, and against a drain that interrupts running requests.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		x := newTrial(t, 11)
		x.startCall(0, call{method: "POST", service: 9 * time.Second}) // still runs when the drain begins
		x.startCall(1, call{method: "POST", service: 9 * time.Second})
		x.startCall(0, call{method: "POST", service: 9 * time.Second})
		x.loadWithoutFaults(2 * time.Second)
		drainedAt := time.Since(x.recorder.start)
		x.recorder.add(func(h *history) { h.drains[0] = drainedAt })
		require.NoError(t, x.processes[agentName(0)].slots.Send(t.Context(), agent.Drain{}))
		x.loadWithoutFaults(6 * time.Second)
		h := x.finish(t)
		t.Log(h.summary())
		assert.Empty(t, h.check())
		startsAfterDrain := 0
		for _, result := range h.results {
			assert.Equal(t, 200, result.status, result.key)
		}
		for _, r := range h.runs {
			assert.True(t, r.complete, "%s was interrupted", r.key)
			if r.instance == 0 && r.begin > drainedAt {
				startsAfterDrain++
			}
		}
		t.Logf("%d starts on the instance after its drain", startsAfterDrain)
	})
}

// loadWithoutFaults sends requests that need about 30% of the slots.
func (x *trial) loadWithoutFaults(length time.Duration) {
	begin := time.Now()
	for time.Since(begin) < length {
		time.Sleep(time.Duration(x.rand.ExpFloat64() * float64(3*time.Millisecond)))
		x.startCall(x.rand.IntN(len(x.entries)), call{method: "POST", service: 20 * time.Millisecond})
	}
}

// Guards against a history check that misses a violation.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	ms := time.Millisecond
	validHistory := func() history {
		return history{slots: 1, drains: map[int]time.Duration{1: 0},
			runs: []run{{key: "a", begin: 0, end: 5 * ms, complete: true}, {key: "b", begin: 5 * ms, end: 9 * ms, complete: true},
				{key: "c", instance: 1, begin: 10 * ms, end: 12 * ms}},
			results: []callerResult{{key: "a", status: 200, body: responseBody("a")}, {key: "b", status: 200, idempotent: true, body: responseBody("b")},
				{key: "c", status: 502, outcome: "run"}, {key: "d", status: 503, outcome: "not-run"}}}
	}
	require.Empty(t, validHistory().check())
	planted := map[string]func(*history){
		"G2":    func(h *history) { h.runs = append(h.runs, run{key: "b", instance: 2, begin: 8 * ms, end: 9 * ms}) },
		"G4":    func(h *history) { h.results[0].body = responseBody("b") },
		"G4: a": func(h *history) { h.results[0].body = h.results[0].body[:5] },
		"G4: e": func(h *history) {
			h.results = append(h.results, callerResult{key: "e", status: 200, body: responseBody("e")})
		},
		"G5":    func(h *history) { h.results[2].outcome = "not-run" },
		"G5: d": func(h *history) { h.results[3].outcome = "run" },
		"G6":    func(h *history) { h.runs = append(h.runs, run{key: "a", begin: 20 * ms, end: 21 * ms}) },
		"slots": func(h *history) { h.runs[1].begin = 4 * ms },
		"G7":    func(h *history) { h.runs[2].begin, h.runs[2].end = 3100*ms, 3200*ms },
	}
	for want, plant := range planted {
		h := validHistory()
		plant(&h)
		violations := h.check()
		require.Len(t, violations, 1, want)
		assert.True(t, strings.HasPrefix(violations[0], want), "%v instead of %s", violations, want)
	}
}
