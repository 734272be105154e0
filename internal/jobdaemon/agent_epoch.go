package jobdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// epochRetry is the pause before the stored epoch is read again after a failure.
const epochRetry = 300 * time.Millisecond

// readEpoch reads the stored epoch once. Until then the agent obeys no owner.
func (a *agent) readEpoch(ctx context.Context, cfg AgentConfig) error {
	p := &storeProxy{store: cfg.Store, log: cfg.Log}
	for {
		if epoch, err := readEpoch(ctx, p); err == nil {
			_ = a.address.Send(ctx, &epochRead{epoch}) // an error means that the process ends
			return nil
		}
		if !actor.Sleep(ctx, epochRetry) {
			return nil
		}
	}
}

// readEpoch reads the epoch of the newest owner: 0 if there was none.
func readEpoch(ctx context.Context, p *storeProxy) (uint64, error) {
	row, err := p.read(ctx, ownerKey)
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	owner, err := wire.DecodeOwner(row.Value)
	return owner.Epoch, err
}

// applyStoredEpoch applies the stored epoch, and the claims that were held until it was
// read.
func (a *agent) applyStoredEpoch(epoch uint64) {
	a.epochKnown = true
	a.core.EpochObserved(epoch)
	for id, claim := range a.heldClaims {
		if _, up := a.links[id]; up {
			a.core.Received(hostagent.LinkID(id), claim)
		}
	}
	clear(a.heldClaims)
}
