package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a backend server that is never used again: the handshake of a
// killed agent arrives after that of its successor, and the end of that link
// leaves the worker without a link although the successor's link is up.
func TestReplacedLinkIsEnded(t *testing.T) {
	d := newDispatcher(Self{Entry: "e"}, &RoutingTable{}, &actor.Value[RoutingTable]{})
	up := func(generation uint64, end func()) {
		d.handle(AgentUp{Hello: msg.AgentHello{Worker: model.Worker{ID: "w"}}, Generation: generation, End: end})
	}
	ended := false
	up(1, func() { ended = true }) // the successor
	up(2, func() {})               // the late handshake of the killed agent
	require.True(t, ended, "the link of the successor has not been ended, so it does not connect again")
	d.handle(AgentDown{Worker: "w", Generation: 1})
	up(3, func() {}) // the successor connects again
	d.handle(AgentDown{Worker: "w", Generation: 2})
	require.Equal(t, uint64(3), d.agents["w"].generation)
}
