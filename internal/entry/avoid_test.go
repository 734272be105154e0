package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// Guards against a request that is refused although another instance has
// credits: it would use up its offers on a link that has just been lost.
func TestUnreachableInstanceIsAvoided(t *testing.T) {
	table := &actor.Value[RoutingTable]{}
	d := newDispatcher(Self{Entry: "e"}, &RoutingTable{}, table)
	d.now = time.Now()
	for i, w := range []model.WorkerID{"lost", "other"} {
		d.handle(AgentUp{Hello: msg.AgentHello{Worker: model.Worker{ID: w}}, Generation: uint64(i)})
		d.handle(FromAgent{Worker: w, Generation: uint64(i), Msg: &msg.BackendState{Backend: model.BackendID(w), Service: "s", State: "ready", Slots: 8}})
		d.handle(FromAgent{Worker: w, Generation: uint64(i), Msg: &msg.CreditGrant{Backend: model.BackendID(w), Generation: uint64(i), Count: 4}})
	}
	s := d.service("s")
	for range 50 { // makes the other instance cost more than the penalty of a failure
		s.classes.AddSample("c", 10*time.Second)
	}
	for _, i := range s.instances {
		i.slowness = map[model.BackendID]float64{"lost": 0.1, "other": 1}[i.Backend]
	}
	inbox := make(chan callMessage, 4)
	r := dispatch.Request{Key: 1, Class: "c", Deadline: d.now.Add(time.Minute)}
	d.handle(admit{service: "s", request: r, inbox: inbox})
	first := (<-inbox).assignment
	require.Equal(t, model.BackendID("lost"), first.backend)
	d.handle(creditUnused{assignment: *first, openFailed: true})
	d.handle(admit{service: "s", request: r, inbox: inbox, retry: true})
	require.Equal(t, model.BackendID("other"), (<-inbox).assignment.backend)
	for _, i := range s.instances {
		require.Equal(t, map[model.BackendID]int{"lost": 4, "other": 3}[i.Backend], i.Credits, "the unspent credit is returned")
	}
}
