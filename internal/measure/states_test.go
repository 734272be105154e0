package measure

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a second run, a false "not run" or the answer to another
// request when a fault occurs while a POST is queued, offered, started or
// answered. For each millisecond of their duration, 28 POSTs are sent and the
// fault occurs at that time.
func TestFaultInEveryState(t *testing.T) {
	t.Parallel()
	const service, step = 20 * time.Millisecond, time.Millisecond
	entryID, agentID := entryName(0), agentName(0)
	faults := map[string]func(*trial){
		"reset": func(x *trial) { x.network.Reset(entryID, agentID) },
		"cut to the agent": func(x *trial) {
			x.network.Cut(entryID, agentID)
			time.Sleep(5 * time.Second)
			x.network.Heal(entryID, agentID)
		},
		"cut to the entry": func(x *trial) {
			x.network.Cut(agentID, entryID)
			time.Sleep(5 * time.Second)
			x.network.Heal(agentID, entryID)
		},
		"cut": func(x *trial) {
			x.network.CutBoth(entryID, agentID)
			time.Sleep(5 * time.Second)
			x.network.HealBoth(entryID, agentID)
		},
		"agent restarts": func(x *trial) {
			x.kill(agentID)
			time.Sleep(300 * time.Millisecond)
			x.startAgent(0)
		},
		"entry restarts": func(x *trial) {
			x.kill(entryID)
			time.Sleep(300 * time.Millisecond)
			x.startEntry(0)
		},
	}
	for name, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			x := newTrial(t, 5)
			for at := time.Duration(0); at < service+10*time.Millisecond; at += step {
				for range 28 { // more than the 24 slots, so that some are queued
					x.startCall(0, call{method: http.MethodPost, service: service})
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
