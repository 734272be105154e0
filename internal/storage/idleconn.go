package storage

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// silenceTime is how long a call must have waited for a byte before its timeout makes
// connections suspect. A connection that was heard within it is sound.
const silenceTime = 250 * time.Millisecond

// errSuspect is the error of a request that was not written, because its connection may
// have gone silent.
var errSuspect = errors.New("the idle connection may have gone silent")

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// idleConns decides which idle connections of a client may be used again. Open
// connections may go silent together, without a reset, while new ones work. So a timeout
// on one of them makes suspect all those that were not heard for silenceTime, and a
// suspect connection fails the next request before the first byte is written. net/http
// then sends the request on another connection. Any goroutine may use it.
type idleConns struct {
	suspectBefore actor.Value[time.Time] // connections that were not heard since are suspect; nil: none
}

// dial returns a function that opens connections with next.
func (i *idleConns) dial(next dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &idleConn{Conn: conn, conns: i}
		c.heard()
		return c, nil
	}
}

// timedOut records that the time of a call on conn is up. It shows nothing if conn was
// heard meanwhile or the call had little time.
func (i *idleConns) timedOut(conn net.Conn) {
	c, ok := conn.(*idleConn)
	if !ok {
		return
	}
	limit := time.Now().Add(-silenceTime)
	wroteAt := c.wroteAt.Get()
	if wroteAt != nil && !wroteAt.After(limit) && !c.heardAt.Get().After(limit) {
		i.suspectBefore.Set(&limit)
	}
}

// idleConn is a connection that is used for one request after another.
type idleConn struct {
	net.Conn
	conns   *idleConns
	heardAt actor.Value[time.Time] // when it was opened, or the newest byte was received
	wroteAt actor.Value[time.Time] // when the newest byte was sent
}

func (c *idleConn) heard() { c.heardAt.Set(new(time.Now())) }

// Read implements net.Conn.
func (c *idleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard()
	}
	return n, err
}

// Write implements net.Conn. It returns errSuspect, and writes nothing, at the beginning
// of a request on a suspect connection.
func (c *idleConn) Write(b []byte) (int, error) {
	if c.idle() && c.suspect() {
		return 0, errSuspect
	}
	c.wroteAt.Set(new(time.Now()))
	return c.Conn.Write(b)
}

// idle reports whether no request awaits its answer.
func (c *idleConn) idle() bool {
	wroteAt := c.wroteAt.Get()
	return wroteAt == nil || !wroteAt.After(*c.heardAt.Get())
}

func (c *idleConn) suspect() bool {
	before := c.conns.suspectBefore.Get()
	return before != nil && c.heardAt.Get().Before(*before)
}
