package jobdaemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/drain"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/httpserve"
	"github.com/bambooscale/bambooscale/internal/httpserve/servetest"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// drainFixture is an entry with a caller's connection and a controller that
// releases the jobs after a delay.
type drainFixture struct {
	entry    *Entry
	listener *servetest.Listener
	events   *memoryLog
}

func newDrainFixture(t *testing.T, releaseDelay time.Duration, h http.Handler) *drainFixture {
	g := actor.NewGroup(t.Context(), nil)
	t.Cleanup(g.Stop)
	f := &drainFixture{listener: servetest.Listen(t.Context()), events: &memoryLog{Handler: discard.New()}}
	c := &controller{group: g, published: &published{}, log: f.events.logger()}
	c.address = actor.Spawn(g, actor.Spec[any]{Name: "controller", Mailbox: 1, Run: func(ctx context.Context, in <-chan any) error {
		for {
			select {
			case m := <-in:
				if request, ok := m.(*retireRequest); ok && actor.Sleep(ctx, releaseDelay) {
					request.done.Put(true)
				}
			case <-ctx.Done():
				return nil
			}
		}
	}})
	server := httpserve.Start(g, f.listener, httpserve.Config{Name: "callers", Handler: h, IdleTimeout: idleTimeout})
	f.entry = &Entry{controller: c, callers: server, links: g.Sub(), log: c.log}
	f.entry.gracePeriod.Set(new(siteGracePeriod))
	return f
}

// siteGracePeriod is the grace period of the sites on which the entry runs.
const siteGracePeriod = 6 * time.Second

// memoryLog keeps the log entries of a test.
type memoryLog struct {
	log.Handler
	entries []*log.Entry
}

func (l *memoryLog) HandleLog(e *log.Entry) error {
	l.entries = append(l.entries, e)
	return nil
}

func (l *memoryLog) logger() log.Interface { return &log.Logger{Handler: l, Level: log.DebugLevel} }

// last returns the newest entry of an event.
func (l *memoryLog) last(event int) log.Fields {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Fields["event"] == event {
			return l.entries[i].Fields
		}
	}
	return nil
}

func (f *drainFixture) dial() net.Conn { return f.listener.Dial(nil) }

// request sends a request and returns the status and the Connection field of
// the whole answer, or 0.
func request(c net.Conn) (status int, close bool) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// unknownAtTheEnd holds each request until its context ends, and answers that
// the outcome is unknown.
func unknownAtTheEnd(arrived chan<- struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	})
}

// Guards against an entry that is killed with requests in flight because its
// jobs are released slowly: the phases of the drain add up to more than the
// grace period.
func TestDrainEndsWithinTheGracePeriodWithoutARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrived := make(chan struct{})
		f := newDrainFixture(t, time.Hour, unknownAtTheEnd(arrived))
		status := actor.NewReply[int]()
		c := f.dial()
		go func() {
			code, _ := request(c)
			status.Put(code)
		}()
		<-arrived
		signal := time.Now()
		f.entry.Drain(t.Context())
		require.Less(t, time.Since(signal), siteGracePeriod)
		synctest.Wait()
		select {
		case code := <-status.C():
			require.Equal(t, http.StatusGatewayTimeout, code)
		default:
			t.Fatal("the drain ended before the request in flight was answered")
		}
		report := f.events.last(event.DrainEnded.ID)
		require.Equal(t, false, report["jobs-given"])
		require.EqualValues(t, 1, report["in-flight-at-signal"])
		require.EqualValues(t, 1, report["answered"])
		require.EqualValues(t, 0, report["cut"])
		require.EqualValues(t, 0, report["unanswered"])
	})
}

// Guards against a drain that answers on a kept-open connection without asking
// its caller to move, or that closes such a connection before its end.
func TestDrainServesOpenConnectionsUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDrainFixture(t, 100*time.Millisecond, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		plan := drain.NewPlan(siteGracePeriod)
		var sendAt []time.Duration
		for at := time.Duration(0); at < plan.LeaveBy; at += 100 * time.Millisecond {
			sendAt = append(sendAt, at)
		}
		sendAt = append(sendAt, plan.LeaveBy-time.Nanosecond)
		conns := make([]net.Conn, len(sendAt))
		for i := range conns {
			conns[i] = f.dial()
			status, closes := request(conns[i])
			require.Equal(t, http.StatusOK, status)
			require.False(t, closes)
		}
		idle := f.dial()
		synctest.Wait() // until the server has counted the answers before the signal
		go f.entry.Drain(t.Context())
		synctest.Wait()
		start := time.Now()
		for i, at := range sendAt {
			time.Sleep(at - time.Since(start))
			status, closes := request(conns[i])
			require.Equal(t, http.StatusOK, status, at)
			require.True(t, closes, at)
		}
		_, err := idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Less(t, time.Since(start), plan.LeaveBy+100*time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 0, f.events.last(event.DrainEnded.ID)["cut"])
		require.EqualValues(t, len(conns), f.events.last(event.DrainEnded.ID)["answered"])
	})
}

// Guards against the loss of the last messages of a stopping entry, such as the
// release of the jobs and the ends of runs that it has stored: the process ended
// while they waited for its network connection.
func TestDrainEndsAfterThePeersHaveTheLastMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDrainFixture(t, 0, http.NotFoundHandler())
		network := link.NewMemory(t.Context(), 1)
		defer network.Close()
		listener, err := network.Listen("peer")
		require.NoError(t, err)
		near, err := network.Dialer("entry").Dial(t.Context(), "peer")
		require.NoError(t, err)
		far, err := listener.Accept(t.Context())
		require.NoError(t, err)

		events, peerEvents := make(chan any, 16), make(chan any, 512)
		send := func(to chan any) func(context.Context, any) error {
			return func(_ context.Context, m any) error { to <- m; return nil }
		}
		hello := func() *msg.PeerHello { return &msg.PeerHello{} }
		actor.Go(f.entry.links, "dialer", func(ctx context.Context) error {
			served := &links{group: f.entry.links, hello: hello, send: send(events)}
			return served.run(ctx, &limitedConn{near, t.Context(), newAccessLink(slowRate)})
		})
		peerGroup := actor.NewGroup(t.Context(), nil)
		defer peerGroup.Stop()
		actor.Go(peerGroup, "peer", func(ctx context.Context) error {
			return (&links{group: peerGroup, hello: hello, send: send(peerEvents)}).run(ctx, far)
		})
		up := (<-events).(*linkUp)
		time.AfterFunc(drain.NewPlan(siteGracePeriod).LeaveBy-time.Millisecond, func() {
			for range lastMessages {
				up.out.TrySend(&msg.JobPhases{Jobs: []msg.JobPhase{{ID: workload.JobID(make([]byte, maxPhasesBytes))}}})
			}
		})
		signal := time.Now()
		f.entry.Drain(t.Context())
		require.Less(t, time.Since(signal), siteGracePeriod)
		network.Close() // the process has ended
		synctest.Wait()
		received := 0
		for len(peerEvents) > 0 {
			if m, ok := (<-peerEvents).(*linkMessage); ok {
				if _, ok := m.message.(*msg.JobPhases); ok {
					received++
				}
			}
		}
		require.Equal(t, lastMessages, received)
	})
}

// lastMessages take 130 ms of a connection with 10 Mbit/s.
const lastMessages = 40
