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

// faultDeployment is small, so that faults meet requests in every state.
var faultDeployment = deployment{
	service: "permit-desk", dataCentres: nilegate.dataCentres, between: 1500 * time.Microsecond,
	client: 3 * time.Millisecond, instances: 3, slots: 8, connections: 64, entries: 2,
	classes: []entry.ClassRule{{Name: "all", PathPrefixes: []string{"/"}, Deadline: 10 * time.Second}},
}

// trial is a cluster under faults with the history of what happened.
type trial struct {
	*cluster
	rec     recorder
	rand    *rand.Rand
	callers *actor.Group
	sent    int
}

func newTrial(t *testing.T, seed uint64) *trial {
	x := &trial{rand: rand.New(rand.NewPCG(seed, 7))}
	x.rec = newRecorder(actor.NewGroup(t.Context(), nil), faultDeployment.slots)
	x.cluster = newClusterWith(t, faultDeployment, seed, func(i int) http.RoundTripper {
		return &recordingBackend{instance: i, rec: x.rec}
	})
	x.callers = actor.NewGroup(t.Context(), nil)
	return x
}

// call is one request of a caller.
type call struct {
	method, fault string
	service       time.Duration
	leave         time.Duration // 0: stays
}

func (x *trial) call(entry int, c call) {
	x.sent++
	key := fmt.Sprintf("%s-%d", c.method, x.sent)
	front := x.entries[entry].Get()
	actor.Go(x.callers, "caller", func(ctx context.Context) error {
		if c.leave > 0 {
			left, cancel := context.WithTimeout(ctx, c.leave)
			defer cancel()
			ctx = left
		}
		s := perform(ctx, front, key, c)
		if s.left = ctx.Err() != nil; s.left { // it sees no answer
			s.status, s.body, s.outcome = 0, "", ""
		}
		x.rec.add(func(h *history) { h.seen = append(h.seen, s) })
		return nil
	})
}

func perform(ctx context.Context, front *entry.Frontend, key string, c call) (s seen) {
	s = seen{key: key, idempotent: model.Idempotent(c.method)}
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
			return // the caller sees a broken connection
		}
		s.status, s.body, s.outcome = w.Code, w.Body.String(), w.Header().Get(model.OutcomeHeader)
	}()
	front.ServeHTTP(w, r)
	return s
}

// load sends requests at about 60% of the slots for some time.
func (x *trial) load(length time.Duration) {
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
			c.leave = time.Duration(1 + x.rand.IntN(int(30*time.Millisecond)))
		case 3:
			c.service = time.Second
		}
		x.call(x.rand.IntN(len(x.entries)), c)
	}
}

// finish waits for the callers and returns the history.
func (x *trial) finish(t *testing.T) history {
	x.callers.Wait()
	time.Sleep(noticeLag + time.Second)
	h := x.rec.get()
	x.stop()
	require.Len(t, h.seen, x.sent, "each caller gets an answer or a broken connection")
	return h
}

// fault does one fault at random and undoes it.
func (x *trial) fault(ctx context.Context, r *rand.Rand) string {
	e, a := r.IntN(len(x.entries)), r.IntN(x.d.instances)
	en, an := entryName(e), agentName(a)
	length := time.Duration(50+r.IntN(6000)) * time.Millisecond
	switch kind := r.IntN(7); kind {
	case 0:
		x.net.Cut(en, an)
		actor.Sleep(ctx, length)
		x.net.Heal(en, an)
		return fmt.Sprint("cut ", en, " to ", an, " for ", length)
	case 1:
		x.net.Cut(an, en)
		actor.Sleep(ctx, length)
		x.net.Heal(an, en)
		return fmt.Sprint("cut ", an, " to ", en, " for ", length)
	case 2: // to the others a frozen entry looks like this
		for i := range x.d.instances {
			x.net.CutBoth(en, agentName(i))
		}
		actor.Sleep(ctx, length)
		for i := range x.d.instances {
			x.net.HealBoth(en, agentName(i))
		}
		return fmt.Sprint("isolate ", en, " for ", length)
	case 3, 4:
		x.net.Reset(en, an)
		return fmt.Sprint("reset ", en, " ", an)
	case 5:
		x.kill(en)
		actor.Sleep(ctx, 300*time.Millisecond)
		x.startEntry(e)
		return fmt.Sprint("restart ", en)
	default:
		x.kill(an)
		actor.Sleep(ctx, 300*time.Millisecond)
		x.startAgent(a)
		return fmt.Sprint("restart ", an)
	}
}

// randomFaults runs a load while one fault follows the other.
func randomFaults(t *testing.T, seed uint64, length time.Duration) (h history, log []string) {
	synctest.Test(t, func(t *testing.T) {
		x := newTrial(t, seed)
		faults := actor.NewGroup(t.Context(), nil)
		r := rand.New(rand.NewPCG(seed, 8))
		actor.Go(faults, "faults", func(ctx context.Context) error {
			for ctx.Err() == nil {
				log = append(log, fmt.Sprint(time.Since(x.rec.start), " ", x.fault(ctx, r)))
				actor.Sleep(ctx, time.Duration(r.IntN(800))*time.Millisecond)
			}
			return nil
		})
		x.load(length)
		faults.Stop()
		for _, e := range []string{entryName(0), entryName(1)} {
			for i := range x.d.instances {
				x.net.HealBoth(e, agentName(i))
			}
		}
		h = x.finish(t)
	})
	return h, log
}

func (h history) summary() string {
	count := map[string]int{}
	for _, s := range h.seen {
		switch {
		case s.status == 0 && s.left:
			count["left"]++
		case s.status == 0:
			count["aborted"]++
		case s.outcome == "":
			count[strconv.Itoa(s.status)]++
		default:
			count[s.outcome]++
		}
	}
	return fmt.Sprintf("%d requests, %d runs, answers %v", len(h.seen), len(h.runs), count)
}

const (
	seedsVariable = "BAMBOOSCALE_FAULT_SEEDS" // number of seeds; default 2
	seedVariable  = "BAMBOOSCALE_FAULT_SEED"  // the first seed; default 1
)

func number(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

// Guards against violations of G2, G4, G5 and G6 under any mixture of lost,
// one-way and slow links, restarts, failing backend servers and leaving
// callers.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first := number(seedVariable, 1)
	for seed := first; seed < first+number(seedsVariable, 2); seed++ {
		h, faults := randomFaults(t, uint64(seed), 6*time.Second)
		t.Logf("seed %d: %s, %d faults", seed, h.summary(), len(faults))
		if found := h.check(); len(found) > 0 {
			t.Errorf("%s=%d %d violations, first %v\n%s", seedVariable, seed, len(found), found[:min(5, len(found))],
				strings.Join(faults, "\n"))
		}
	}
}

// Guards against starts later than 3 s after a drain, and against a drain that
// interrupts what runs.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		x := newTrial(t, 11)
		x.call(0, call{method: "POST", service: 9 * time.Second}) // runs across the drain
		x.call(1, call{method: "POST", service: 9 * time.Second})
		x.call(0, call{method: "POST", service: 9 * time.Second})
		x.loadSound(2 * time.Second)
		at := time.Since(x.rec.start)
		x.rec.add(func(h *history) { h.drains[0] = at })
		require.NoError(t, x.processes[agentName(0)].slots.Send(t.Context(), agent.Drain{}))
		x.loadSound(6 * time.Second)
		h := x.finish(t)
		t.Log(h.summary())
		assert.Empty(t, h.check())
		later := 0
		for _, s := range h.seen {
			assert.Equal(t, 200, s.status, s.key)
		}
		for _, r := range h.runs {
			assert.True(t, r.complete, "%s was cut", r.key)
			if r.instance == 0 && r.begin > at {
				later++
			}
		}
		t.Logf("%d starts on the instance after its drain", later)
	})
}

// loadSound is load at 30% of the slots without faults.
func (x *trial) loadSound(length time.Duration) {
	begin := time.Now()
	for time.Since(begin) < length {
		time.Sleep(time.Duration(x.rand.ExpFloat64() * float64(3*time.Millisecond)))
		x.call(x.rand.IntN(len(x.entries)), call{method: "POST", service: 20 * time.Millisecond})
	}
}

// Guards against a checker that overlooks a violation.
func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	ms := time.Millisecond
	sound := func() history {
		return history{slots: 1, drains: map[int]time.Duration{1: 0},
			runs: []run{{key: "a", begin: 0, end: 5 * ms, complete: true}, {key: "b", begin: 5 * ms, end: 9 * ms, complete: true},
				{key: "c", instance: 1, begin: 10 * ms, end: 12 * ms}},
			seen: []seen{{key: "a", status: 200, body: responseBody("a")}, {key: "b", status: 200, idempotent: true, body: responseBody("b")},
				{key: "c", status: 502, outcome: "run"}, {key: "d", status: 503, outcome: "not-run"}}}
	}
	require.Empty(t, sound().check())
	planted := map[string]func(*history){
		"G2":    func(h *history) { h.runs = append(h.runs, run{key: "b", instance: 2, begin: 8 * ms, end: 9 * ms}) },
		"G4":    func(h *history) { h.seen[0].body = responseBody("b") },
		"G4: a": func(h *history) { h.seen[0].body = h.seen[0].body[:5] },
		"G4: e": func(h *history) { h.seen = append(h.seen, seen{key: "e", status: 200, body: responseBody("e")}) },
		"G5":    func(h *history) { h.seen[2].outcome = "not-run" },
		"G5: d": func(h *history) { h.seen[3].outcome = "run" },
		"G6":    func(h *history) { h.runs = append(h.runs, run{key: "a", begin: 20 * ms, end: 21 * ms}) },
		"slots": func(h *history) { h.runs[1].begin = 4 * ms },
		"G7":    func(h *history) { h.runs[2].begin, h.runs[2].end = 3100*ms, 3200*ms },
	}
	for want, plant := range planted {
		h := sound()
		plant(&h)
		found := h.check()
		require.Len(t, found, 1, want)
		assert.True(t, strings.HasPrefix(found[0], want), "%v instead of %s", found, want)
	}
}
