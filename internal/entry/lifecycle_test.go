package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/chart"
)

// Guards against a second run of a non-idempotent request that may have run
// already, and against the outcome "not run" for a request that may have run.
func TestOutcomeAfterALostLink(t *testing.T) {
	cases := []struct {
		name   string
		l      lifecycle
		events []chart.Event
		want   effect
		state  chart.State
	}{
		{"tombstone allows a second offer", lifecycle{replayable: true},
			[]chart.Event{evAdmit, evOffer, evLinkLost, evNotStarted}, effRequeue, stQueued},
		{"tombstone without a buffered body", lifecycle{},
			[]chart.Event{evAdmit, evOffer, evLinkLost, evNotStarted}, effAnswerNotRun, stRefused},
		{"ended, not idempotent", lifecycle{replayable: true},
			[]chart.Event{evAdmit, evOffer, evStarted, evLinkLost, evEnded}, effAnswerRun, stFailed},
		{"ended, idempotent", lifecycle{replayable: true, idempotent: true},
			[]chart.Event{evAdmit, evOffer, evStarted, evLinkLost, evEnded}, effRequeue, stQueued},
		{"still running, idempotent: no second run", lifecycle{replayable: true, idempotent: true},
			[]chart.Event{evAdmit, evOffer, evStarted, evLinkLost, evRunning}, effQueryLater, stQuerying},
		{"refused after an idempotent request ran once", lifecycle{replayable: true, idempotent: true},
			[]chart.Event{evAdmit, evOffer, evStarted, evFailed, evRefuse}, effAnswerRun, stRefused},
		{"refused at the deadline", lifecycle{replayable: true},
			[]chart.Event{evAdmit, evOffer, evExpire, evNotStarted}, effAnswerNotRun, stRefused},
		{"no record", lifecycle{replayable: true, idempotent: true},
			[]chart.Event{evAdmit, evOffer, evLinkLost, evNoRecord}, effAnswerUnknown, stUnknown},
		{"no reply by the deadline", lifecycle{replayable: true},
			[]chart.Event{evAdmit, evOffer, evLinkLost, evExpire}, effAnswerUnknown, stUnknown},
		{"failure after the start of the response", lifecycle{replayable: true, idempotent: true},
			[]chart.Event{evAdmit, evOffer, evStarted, evResponse, evFailed}, effAbort, stAborted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := c.l
			var last []effect
			for _, e := range c.events {
				effects, ok := l.step(e)
				require.True(t, ok, "event %s in state %s", requestChart.EventName(e), requestChart.StateName(l.state))
				last = effects
			}
			require.Equal(t, []effect{c.want}, last)
			require.Equal(t, requestChart.StateName(c.state), requestChart.StateName(l.state))
		})
	}
}
