package jobdaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// compactedTable is a table service whose history no longer contains the change
// of its only row. It answers after answerDelay.
type compactedTable struct {
	Store
	newest table.Revision
	calls  int
}

const (
	answerDelay = 4 * time.Millisecond
	rowVersion  = table.Revision(3)
)

func (s *compactedTable) Scan(ctx context.Context, prefix string, _ table.Revision) ([]table.Row, table.Revision, error) {
	s.calls++
	time.Sleep(answerDelay)
	return []table.Row{{Key: "op//config", Version: rowVersion}}, s.newest, nil
}

func (s *compactedTable) Watch(ctx context.Context, prefix string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	s.calls++
	if after < s.newest {
		time.Sleep(answerDelay)
		return nil, 0, storage.ErrCompacted
	}
	actor.Sleep(ctx, wait)
	return nil, s.newest, nil
}

// Guards against requests to the table service in a busy loop: a watch from the
// version of a configuration that is older than the history fails at once.
func TestConfigurationOlderThanTheHistoryIsWatchedWithoutBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &compactedTable{newest: 900}
		ctx, cancel := context.WithCancel(t.Context())
		g := actor.NewGroup(ctx, nil)
		c := &controller{
			log:        &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			config:     &configState{source: ConfigSource{Key: "op//config", Prefix: "op//"}},
			storeProxy: &storeProxy{store: store},
			published:  &published{},
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
		go func() { done <- c.watchConfig(ctx, nil) }()
		const duration = 20 * time.Second
		time.Sleep(duration)
		cancel()
		require.NoError(t, <-done)
		g.Stop()
		// A watch takes at least configWait, and the row is read again after at
		// least configRereadInterval.
		require.LessOrEqual(t, store.calls, int(duration/configWait+duration/configRereadInterval)+4)
	})
}

// failingWatchTable is a table service that answers reads and no watches.
type failingWatchTable struct {
	Store
	scans, watches int
}

func (s *failingWatchTable) Scan(context.Context, string, table.Revision) ([]table.Row, table.Revision, error) {
	s.scans++
	time.Sleep(answerDelay)
	return []table.Row{{Key: "op//config", Version: rowVersion}}, rowVersion, nil
}

func (s *failingWatchTable) Watch(_ context.Context, _ string, after table.Revision, _ time.Duration) ([]table.Row, table.Revision, error) {
	s.watches++
	time.Sleep(answerDelay)
	return nil, 0, storage.ErrUnavailable
}

// Guards against reading the whole configuration after each failed watch: on a
// connection of 10 Mbit/s a large one takes 0.2 s, so that the reads themselves
// delay the next version.
func TestFailedWatchDoesNotReadTheConfigurationAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &failingWatchTable{}
		ctx, cancel := context.WithCancel(t.Context())
		c := &controller{
			log:        &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			config:     &configState{source: ConfigSource{Key: "op//config", Prefix: "op//"}},
			storeProxy: &storeProxy{store: store}, published: &published{},
		}
		done := make(chan error, 1)
		go func() { done <- c.watchConfig(ctx, nil) }()
		const duration = 20 * time.Second
		time.Sleep(duration)
		cancel()
		require.NoError(t, <-done)
		require.LessOrEqual(t, store.scans, int(duration/configRereadInterval)+1)
		require.Greater(t, store.watches, int(duration/configWait))
		require.False(t, *c.config.tableAnswers.Get())
	})
}
