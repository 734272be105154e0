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

// shortHistory is a table service that has forgotten how its only row came
// about, and answers after a while as a real one does.
type shortHistory struct {
	Store
	newest table.Revision
	calls  int
}

const (
	answerTime = 4 * time.Millisecond
	oldRow     = table.Revision(3)
)

func (s *shortHistory) Scan(ctx context.Context, prefix string, _ table.Revision) ([]table.Row, table.Revision, error) {
	s.calls++
	time.Sleep(answerTime)
	return []table.Row{{Key: "op//config", Version: oldRow}}, s.newest, nil
}

func (s *shortHistory) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	s.calls++
	if after < s.newest {
		time.Sleep(answerTime)
		return nil, 0, storage.ErrCompacted
	}
	actor.Sleep(ctx, wait)
	return nil, s.newest, nil
}

// Guards against an entry that asks the table service without a pause because
// the configuration is older than the service's history.
func TestAnOldConfigurationIsWatchedWithoutABusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &shortHistory{newest: 900}
		ctx, cancel := context.WithCancel(t.Context())
		g := actor.NewGroup(ctx, nil)
		c := &controller{
			config:  &configState{source: ConfigSource{Key: "op//config", Prefix: "op//"}},
			gateway: &gateway{store: store},
			address: actor.Spawn(g, actor.Spec[any]{Name: "sink", Mailbox: 1, Run: func(ctx context.Context, in <-chan any) error {
				for {
					select {
					case <-in:
					case <-ctx.Done():
						return nil
					}
				}
			}}),
		}
		done := make(chan error, 1)
		go func() { done <- c.watchConfig(ctx) }()
		const played = 20 * time.Second
		time.Sleep(played)
		cancel()
		require.NoError(t, <-done)
		g.Stop()
		// A watch ends after configWait at least, a row is read again after
		// configReread at least.
		require.LessOrEqual(t, store.calls, int(played/configWait+played/configReread)+4)
	})
}
