package jobdaemon

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
)

// configTable is a table service that holds the configuration. Its answers take
// the access link of the caller.
type configTable struct{ newest actor.Value[tableConfig] }

// tableConfig is one version of the configuration.
type tableConfig struct {
	version  uint64 // of the configuration, and of its row
	content  []byte
	replaced chan struct{} // closed when there is a higher version
}

func encodeTestConfig(version uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, version)
}

func (s *configTable) put(version uint64) { s.putContent(version, make([]byte, configBytes)) }

func (s *configTable) putContent(version uint64, content []byte) {
	old := s.newest.Get()
	s.newest.Set(&tableConfig{version, content, make(chan struct{})})
	close(old.replaced)
}

// queueList returns a text of the given size that compresses like the operators'
// configuration: names of random letters and digits in objects with equal fields.
func queueList(size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	random := rand.New(rand.NewPCG(1, 2))
	name := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = letters[random.IntN(len(letters))]
		}
		return string(b)
	}
	var list []byte
	for len(list) < size {
		list = fmt.Appendf(list, `{"name":"r-%s","host":"%s.example","path-prefix":"/%s/","service":"permit-desk","timeout-ms":%d,"target-latency-ms":%d,"priority":%d,"max-attempts":3,"stretch":1.5},`,
			name(7), name(4)+"2", name(8), 1000+random.IntN(9000), 250+random.IntN(2000), random.IntN(3))
	}
	return list[:size]
}

// tableClient is the Store of one entry. A call fails after its timeout while the
// entry is cut off.
type tableClient struct {
	Store
	table  *configTable
	access *accessLink
	cut    actor.Value[bool]
}

func (c *tableClient) isCut() bool {
	cut := c.cut.Get()
	return cut != nil && *cut
}

func (c *tableClient) rows(ctx context.Context, after uint64) ([]table.Row, table.Revision, error) {
	if c.isCut() {
		<-ctx.Done()
		return nil, 0, storage.ErrUnavailable
	}
	newest := c.table.newest.Get()
	version := newest.version
	if version <= after {
		return nil, table.Revision(version), nil
	}
	value := append(encodeTestConfig(version), newest.content...)
	if err := c.access.download(ctx, len(value)*4/3); err != nil {
		return nil, 0, storage.ErrUnavailable
	}
	c.access.in <- struct{}{}
	c.access.tableBytes += len(value) * 4 / 3
	<-c.access.in
	return []table.Row{{Key: "op//config", Version: table.Revision(version), Value: value}}, table.Revision(version), nil
}

func (c *tableClient) Scan(ctx context.Context, _ string, _ table.Revision) ([]table.Row, table.Revision, error) {
	return c.rows(ctx, 0)
}

func (c *tableClient) Watch(ctx context.Context, _ string, after table.Revision, wait time.Duration) ([]table.Row, table.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for !c.isCut() {
		newest := c.table.newest.Get()
		if newest.version > uint64(after) {
			break
		}
		select {
		case <-newest.replaced:
		case <-timeout.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, storage.ErrUnavailable
		}
	}
	return c.rows(ctx, uint64(after))
}
