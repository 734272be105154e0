package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/place"
)

// Guards against a selector between services and jobs that has no effect because
// the controller does not track which service runs on a worker.
func TestSelectorsMatchServicesOfWorker(t *testing.T) {
	c := NewCore(Options{Cell: "c", Entry: "e", Planner: place.New(place.Options{})})
	c.configure(Configuration{Services: map[model.Service]model.Labels{"permit-desk": {"tier": "front"}}})
	c.Step(0, PeerUp{Worker: model.Worker{ID: "w"}})
	services := func() []model.Labels {
		w, ok := c.ledger.Worker("w")
		require.True(t, ok)
		return w.Services
	}
	require.Empty(t, services())
	c.receive("w", &msg.BackendState{Service: "permit-desk", State: "ready"})
	require.Equal(t, []model.Labels{{"tier": "front", "service": "permit-desk"}}, services())
	c.receive("w", &msg.BackendState{Service: "permit-desk", State: "down"})
	require.Len(t, services(), 1)
	c.receive("w", &msg.BackendState{Service: "permit-desk", State: "left"})
	require.Empty(t, services())
}
