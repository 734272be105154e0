package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// bulkTable is a table service behind one small connection, which transfers one
// answer after the other.
type bulkTable struct {
	Store
	access *accessLink
	bytes  int // of each answer
}

func (s *bulkTable) Scan(ctx context.Context, _ string, _ table.Revision) ([]table.Row, table.Revision, error) {
	if err := s.access.download(ctx, s.bytes); err != nil {
		return nil, 0, storage.ErrUnavailable
	}
	return nil, 1, nil
}

// Guards against an owner that never finishes to read the stored jobs: ten scans
// of 400 KB share a connection of 10 Mbit/s, and each was given up after 1.8 s.
func TestStoredJobsAreReadOverASmallConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		c := &controller{ownerGroup: g, storeProxy: &storeProxy{store: &bulkTable{access: newAccessLink(slowRate), bytes: 400 << 10}}}
		began := time.Now()
		_, err := c.loadOnce(t.Context())
		require.NoError(t, err)
		require.Greater(t, time.Since(began), 3*time.Second)
	})
}
