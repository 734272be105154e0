package link

import (
	"context"
	"fmt"
	"net"
	"regexp"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// heldConn is a socket whose Close, and whose Read after an error, can be made
// to block until release, as they can in a process that shares one processor.
// Its writes can be made to fail.
type heldConn struct {
	net.Conn
	holdClose, holdRead atomic.Bool
	failWrites          atomic.Bool
	held                chan struct{} // receives a value when a call is held
	released            chan struct{}
	releaseOnce         sync.Once
	written             atomic.Int64 // bytes
}

func (c *heldConn) hold() {
	select {
	case c.held <- struct{}{}:
	default:
	}
	<-c.released
}

func (c *heldConn) release() { c.releaseOnce.Do(func() { close(c.released) }) }

func (c *heldConn) Close() error {
	if c.holdClose.Load() {
		c.hold()
	}
	return c.Conn.Close()
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.holdRead.Load() {
		c.hold()
	}
	return n, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, errors.New("broken pipe")
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// heldLink is a link over a heldConn. The peer accepts streams and reads
// nothing from them.
type heldLink struct {
	conn     *muxConn
	sock     *heldConn
	peerSock net.Conn
}

func newHeldLink(t *testing.T) heldLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	sock := &heldConn{Conn: rawDial(t, l.Addr().String()), held: make(chan struct{}, 1), released: make(chan struct{})}
	peerSock, err := l.Accept()
	require.NoError(t, err)
	accepted := make(chan error, 1)
	go func() {
		mux, _, err := acceptHandshake(context.WithoutCancel(t.Context()), peerSock)
		if err == nil {
			t.Cleanup(func() { _ = closeSession(peerSock, mux) })
			_, err = mux.AcceptStream()
		}
		accepted <- err
	}()
	mux, control, err := dialHandshake(t.Context(), sock)
	require.NoError(t, err)
	g := actor.NewGroup(context.WithoutCancel(t.Context()), nil)
	t.Cleanup(g.Stop)
	t.Cleanup(sock.release)
	_, err = mux.Ping() // the control stream has been opened
	require.NoError(t, err)
	c := newMuxConn(g, sock, mux, control)
	t.Cleanup(func() { require.NoError(t, <-accepted) })
	return heldLink{c, sock, peerSock}
}

// waiter is a goroutine that waits in a call of a link.
type waiter struct {
	name   string
	header *regexp.Regexp // of its stack in a dump of all stacks; captures its state
	result chan error
}

func startWaiter(name string, call func() error) waiter {
	id := make(chan string)
	result := make(chan error, 1)
	go func() {
		var stack [64]byte
		var n int
		_, _ = fmt.Sscanf(string(stack[:runtime.Stack(stack[:], false)]), "goroutine %d", &n)
		id <- fmt.Sprint(n)
		result <- call()
	}()
	return waiter{name, regexp.MustCompile(`(?m)^goroutine ` + <-id + ` \[([a-zA-Z. ]+)`), result}
}

const (
	idleSamples = 100   // consecutive samples that show that goroutines wait
	maxSamples  = 2_000 // samples after which a goroutine is taken to busy-wait
)

// requireIdle samples the states of all goroutines until each of the waiters has
// been blocked, or has ended, in idleSamples consecutive samples.
func requireIdle(t *testing.T, waiters []waiter) {
	t.Helper()
	stacks := make([]byte, 1<<18)
	active := make(map[string]int) // samples by name of the waiter
	idle := 0
	for range maxSamples {
		runtime.Gosched()
		dump := stacks[:runtime.Stack(stacks, true)]
		idle++
		for _, w := range waiters {
			state := w.header.FindSubmatch(dump)
			if state != nil && (string(state[1]) == "running" || string(state[1]) == "runnable") {
				active[w.name]++
				idle = 0
			}
		}
		if idle == idleSamples {
			return
		}
	}
	require.Fail(t, "busy-wait", "running or runnable in %v of %d samples", active, maxSamples)
}

// startWaiters starts a goroutine in each call of c that can wait: a Receive of
// the control stream, a Receive of a stream, and a Send for which the peer has
// granted no window.
func (l heldLink) startWaiters(t *testing.T) []waiter {
	t.Helper()
	const window = 256 << 10 // bytes that a peer accepts and does not read
	s, err := l.conn.OpenStream(t.Context())
	require.NoError(t, err)
	waiters := []waiter{
		startWaiter("Receive of the link", func() error { _, err := l.conn.Receive(); return err }),
		startWaiter("Receive of a stream", func() error { _, err := s.Receive(); return err }),
		startWaiter("Send of a stream", func() error { return s.Send(&msg.BodyChunk{Data: make([]byte, 2*window)}) }),
	}
	for l.sock.written.Load() < window {
		runtime.Gosched()
	}
	requireIdle(t, waiters)
	return waiters
}

// Guards against a goroutine that waits for a link and busy-waits while the
// session of the link ends. In the incident LOST an entry used one processor
// without end in Stream.Read and answered nobody. Each case ends the session in
// one way and holds the call of the socket that the end of the session waits
// for.
func TestWaitsDoNotSpinWhileASessionEnds(t *testing.T) {
	holdClose := func(l heldLink) { l.sock.holdClose.Store(true) }
	holdRead := func(l heldLink) { l.sock.holdRead.Store(true) }
	peerCloses := func(l heldLink) { _ = l.peerSock.Close() }
	peerViolatesProtocol := func(l heldLink) { _, _ = l.peerSock.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")) }
	writeFails := func(l heldLink) {
		l.sock.failWrites.Store(true)
		_ = l.conn.Send(&msg.Heartbeat{})
	}
	closes := func(l heldLink) { _ = l.conn.Close() }
	stops := func(l heldLink) { l.conn.group.Stop() }
	for name, c := range map[string]struct {
		hold, end func(heldLink)
		want      error
	}{
		"peer closes, Close is held":            {holdClose, peerCloses, ErrClosed},
		"peer violates protocol, Close is held": {holdClose, peerViolatesProtocol, ErrMalformed},
		"write fails, Close is held":            {holdClose, writeFails, ErrClosed},
		"write fails, Read is held":             {holdRead, writeFails, ErrClosed},
		"link is closed, Close is held":         {holdClose, closes, ErrClosed},
		"link is closed, Read is held":          {holdRead, closes, ErrClosed},
		"group is stopped, Close is held":       {holdClose, stops, ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			l := newHeldLink(t)
			waiters := l.startWaiters(t)
			c.hold(l)
			ended := make(chan struct{})
			go func() {
				c.end(l)
				close(ended)
			}()
			<-l.sock.held
			requireIdle(t, waiters)
			l.sock.release()
			<-ended
			for _, w := range waiters {
				require.ErrorIs(t, <-w.result, c.want, w.name)
			}
		})
	}
}

// Guards against a session that is shut down while goroutines wait on its
// streams. They busy-wait until its streams are closed, and the locks of the
// streams, for which they compete, delay that.
func TestWaitsEndBeforeTheSessionIsShutDown(t *testing.T) {
	for name, end := range map[string]func(heldLink){
		"link is closed":   func(l heldLink) { _ = l.conn.Close() },
		"group is stopped": func(l heldLink) { l.conn.group.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newHeldLink(t)
			waiters := l.startWaiters(t)
			l.sock.holdClose.Store(true)
			ended := make(chan struct{})
			go func() {
				end(l)
				close(ended)
			}()
			<-l.sock.held
			requireIdle(t, waiters)
			require.False(t, l.conn.mux.IsClosed())
			for _, w := range waiters {
				select {
				case err := <-w.result:
					require.ErrorIs(t, err, ErrClosed, w.name)
				default:
					require.Fail(t, "still waits", w.name)
				}
			}
			l.sock.release()
			<-ended
		})
	}
}
