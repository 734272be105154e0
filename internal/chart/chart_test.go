package chart

import (
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"
)

const doorChart = `<scxml xmlns="http://www.w3.org/2005/07/scxml" xmlns:c="urn:bambooscale:chart" name="door" initial="closed">
  <state id="closed" c:rest="true">
    <transition event="open" cond="locked"><script>ring</script></transition>
    <transition event="open" target="opened"><script>count ring</script></transition>
  </state>
  <state id="opened">
    <onentry><send event="closeTimeout" delayexpr="closeDelay"/></onentry>
    <transition event="closeTimeout" target="closed"/>
    <transition event="remove" cond="!locked" target="gone"/>
  </state>
  <final id="gone"/>
</scxml>`

type door struct {
	locked       bool
	count, rings int
}

const (
	closed State = iota
	opened
	gone
)

const (
	evOpen Event = iota
	evCloseTimeout
	evRemove
)

func doorBinding() Binding[door] {
	return Binding[door]{
		Chart: "door", States: []string{"closed", "opened", "gone"}, Events: []string{"open", "closeTimeout", "remove"},
		Guards:  map[string]func(*door) bool{"locked": func(d *door) bool { return d.locked }},
		Actions: map[string]func(*door){"ring": func(d *door) { d.rings++ }, "count": func(d *door) { d.count++ }},
		Delays:  map[string]time.Duration{"closeDelay": time.Second},
	}
}

func doorFiles(text string) fstest.MapFS { return fstest.MapFS{"door.scxml": {Data: []byte(text)}} }

// Guards against transitions taken out of document order, ignored guards, and
// actions run in the wrong order.
func TestStepFollowsTheChart(t *testing.T) {
	m, err := Compile(doorFiles(doorChart), doorBinding())
	require.NoError(t, err)
	d, s := door{locked: true}, m.Initial()
	require.True(t, m.Step(&d, &s, evOpen))
	require.Equal(t, closed, s)
	require.Equal(t, door{locked: true, rings: 1}, d)
	d.locked = false
	require.True(t, m.Step(&d, &s, evOpen))
	require.Equal(t, opened, s)
	require.Equal(t, 1, d.count)
	require.False(t, m.Step(&d, &s, evOpen), "opened does not handle open")
	delay, e, ok := m.Timeout(opened)
	require.True(t, ok)
	require.Equal(t, time.Second, delay)
	require.Equal(t, evCloseTimeout, e)
	d.locked = true
	require.False(t, m.Step(&d, &s, evRemove))
	d.locked = false
	require.True(t, m.Step(&d, &s, evRemove))
	require.True(t, m.Final(s))
}

// Guards against a check that stops at the first defect or reports it without
// its line.
func TestCompileReportsEveryFinding(t *testing.T) {
	bad := strings.NewReplacer(`c:rest="true"`, ``, `target="opened"`, `target="ajar"`, `cond="!locked"`, `cond="!rusty"`).Replace(doorChart)
	b := doorBinding()
	b.Events = append(b.Events, "knock")
	b.Delays = nil
	_, err := Compile(doorFiles(bad), b)
	require.Error(t, err)
	for _, want := range []string{
		`door.scxml:2: closed: wait state has neither a timeout`,
		`door.scxml:4: closed: target "ajar"`,
		`door.scxml:6: opened: state is unreachable`,
		`door.scxml:11: gone: state is unreachable`,
		`delay "closeDelay" is not bound`,
		`door.scxml:9: opened: guard "rusty" is not bound`,
		`event "knock" is bound but the chart does not use it`,
	} {
		require.ErrorContains(t, err, want)
	}
}

// Guards against elements outside the subset being silently ignored.
func TestParseRejectsUnsupportedElements(t *testing.T) {
	_, err := ParseBytes("x.scxml", []byte("<scxml name=\"x\" initial=\"a\">\n<parallel/>\n<state id=\"a\" color=\"red\"/>\n</scxml>"))
	require.ErrorContains(t, err, "x.scxml:2: parallel: element <parallel> is not in the supported subset")
	require.ErrorContains(t, err, `x.scxml:3: state: attribute "color"`)
}

func BenchmarkStep(b *testing.B) {
	m, err := Compile(doorFiles(doorChart), doorBinding())
	require.NoError(b, err)
	d, s := door{}, m.Initial()
	b.ReportAllocs()
	for b.Loop() {
		m.Step(&d, &s, evOpen)
		m.Step(&d, &s, evCloseTimeout)
	}
}

// Guards against an allocation in Step, which runs several times per request.
func TestStepDoesNotAllocate(t *testing.T) {
	m, err := Compile(doorFiles(doorChart), doorBinding())
	require.NoError(t, err)
	d, s := door{}, m.Initial()
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		m.Step(&d, &s, evOpen)
		m.Step(&d, &s, evCloseTimeout)
	}))
}
