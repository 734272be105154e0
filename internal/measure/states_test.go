package measure

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a second run, a false "not run" or a mixed-up answer when a
// fault meets a POST while it is queued, offered, started or answering: the
// fault comes at each millisecond of the life of 28 POSTs in turn.
func TestFaultInEveryState(t *testing.T) {
	t.Parallel()
	const service, step = 20 * time.Millisecond, time.Millisecond
	en, an := entryName(0), agentName(0)
	faults := map[string]func(*trial){
		"reset": func(x *trial) { x.net.Reset(en, an) },
		"cut to the agent": func(x *trial) {
			x.net.Cut(en, an)
			time.Sleep(5 * time.Second)
			x.net.Heal(en, an)
		},
		"cut to the entry": func(x *trial) {
			x.net.Cut(an, en)
			time.Sleep(5 * time.Second)
			x.net.Heal(an, en)
		},
		"cut": func(x *trial) {
			x.net.CutBoth(en, an)
			time.Sleep(5 * time.Second)
			x.net.HealBoth(en, an)
		},
		"agent restarts": func(x *trial) {
			x.kill(an)
			time.Sleep(300 * time.Millisecond)
			x.startAgent(0)
		},
		"entry restarts": func(x *trial) {
			x.kill(en)
			time.Sleep(300 * time.Millisecond)
			x.startEntry(0)
		},
	}
	for name, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			x := newTrial(t, 5)
			for at := time.Duration(0); at < service+10*time.Millisecond; at += step {
				for range 28 { // more than the 24 slots, so that some are queued
					x.call(0, call{method: http.MethodPost, service: service})
				}
				time.Sleep(at)
				fault(x)
				time.Sleep(6 * time.Second)
			}
			h := x.finish(t)
			t.Log(name, h.summary())
			assert.Empty(t, h.check(), name)
		})
	}
}
