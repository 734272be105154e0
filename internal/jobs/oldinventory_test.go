package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against a task that runs twice at a time because an inventory arrives after a newer
// one was accepted: an agent may have two links, whose messages overtake each other. The
// runs that were started since are not in the older one.
func TestInventoryThatArrivesAfterANewerOneLosesNoRun(t *testing.T) {
	h := newHarness(t, 1)
	info := readyHost("a", 4000)
	h.core.Linked(info)
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Number: 2, Host: info})
	h.storeHosts()
	h.core.Submit(lastingSpec("lasting", 1000))
	h.process()
	require.True(t, h.ordered("lasting"))
	h.startAll("lasting")
	h.core.Inventory(&msg.HostInventory{Epoch: 1, Number: 1, Host: info})
	h.process()
	require.Len(t, h.started, 1, "the first run goes on")
}
