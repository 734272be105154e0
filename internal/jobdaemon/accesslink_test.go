package jobdaemon

import (
	"context"
	"time"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/wire"
)

// accessLink is the network connection of a process. It transfers one message at
// a time in each direction, and counts the bytes of peers.
type accessLink struct {
	bytesPerSecond float64
	in, out        chan struct{} // held during a transfer
	peerBytes      int           // received from peers; owned by the holder of in
	tableBytes     int           // received from the table service; owned by the holder of in
}

func newAccessLink(bytesPerSecond float64) *accessLink {
	return &accessLink{bytesPerSecond: bytesPerSecond, in: make(chan struct{}, 1), out: make(chan struct{}, 1)}
}

func (a *accessLink) transfer(ctx context.Context, direction chan struct{}, size int) error {
	select {
	case direction <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-direction }()
	if !actor.Sleep(ctx, time.Duration(float64(size)/a.bytesPerSecond*float64(time.Second))) {
		return ctx.Err()
	}
	return nil
}

// downloadPart is the number of bytes after which a download reports progress.
const downloadPart = 16 << 10

// download transfers an answer of the table service, which keeps the connection
// until its end, as one that was sent at once does. It makes progress that
// storage.ReportProgress reports.
func (a *accessLink) download(ctx context.Context, size int) error {
	select {
	case a.in <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-a.in }()
	for ; size > 0; size -= downloadPart {
		if !actor.Sleep(ctx, time.Duration(float64(min(size, downloadPart))/a.bytesPerSecond*float64(time.Second))) {
			return ctx.Err()
		}
		storage.ReportProgress(ctx)
	}
	return nil
}

// limitedConn is a link of a process with an access link.
type limitedConn struct {
	link.Conn
	ctx    context.Context
	access *accessLink
}

func (c *limitedConn) Send(m msg.Control) error {
	if err := c.access.transfer(c.ctx, c.access.out, encodedSize(m)); err != nil {
		return err
	}
	return c.Conn.Send(m)
}

func (c *limitedConn) Receive() (msg.Control, error) {
	m, err := c.Conn.Receive()
	if err != nil {
		return nil, err
	}
	size := encodedSize(m)
	err = c.access.transfer(c.ctx, c.access.in, size)
	c.access.in <- struct{}{}
	c.access.peerBytes += size
	<-c.access.in
	return m, err
}

func encodedSize(m msg.Control) int {
	b, err := wire.AppendControl(nil, m)
	if err != nil {
		panic(err)
	}
	return len(b)
}
