package entry

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/link"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/dispatch"
)

// testDispatcher returns a dispatcher with n linked instances, each with the
// given numbers of credits and of permits for long requests, and their service.
func testDispatcher(n, credits, long int) (*dispatcher, *service) {
	d := newDispatcher(Self{Entry: "a"}, &RoutingTable{Services: map[model.Service]ServiceRule{}}, &actor.Value[RoutingTable]{})
	d.now = time.Now()
	for i := range n {
		worker := model.Worker{ID: model.WorkerID(fmt.Sprint(i)), DataCentre: model.DataCentre(fmt.Sprint(i % 3))}
		d.handle(AgentUp{Hello: msg.AgentHello{Worker: worker}, Generation: 1})
		fromAgent(d, worker.ID, &msg.BackendState{Backend: model.BackendID(worker.ID), Service: "svc", State: "ready", Slots: 8})
		fromAgent(d, worker.ID, &msg.CreditGrant{Backend: model.BackendID(worker.ID), Generation: 1, Count: credits, MaxLong: long})
	}
	return d, d.service("svc")
}

func fromAgent(d *dispatcher, worker model.WorkerID, m msg.Control) {
	d.handle(FromAgent{Worker: worker, Generation: 1, Msg: m})
}

func newAdmit(key int, class model.Class) (admit, chan callMessage) {
	inbox := make(chan callMessage, 4)
	now := time.Now()
	return admit{service: "svc", inbox: inbox, request: dispatch.Request{Key: dispatch.Key(key), Class: class, Tenant: "t",
		Arrived: now, Deadline: now.Add(time.Hour)}}, inbox
}

// Guards against lost permits for long requests: a caller that disconnects
// between assignment and offer must return its permit, or in the end no long
// request starts.
func TestUnusedCreditReturnsItsLongPermit(t *testing.T) {
	d, s := testDispatcher(1, 8, 4)
	s.classes.SetLong("watch", true)
	for i := range 20 {
		m, inbox := newAdmit(i, "watch")
		d.handle(m)
		require.Len(t, inbox, 1, "request %d", i)
		d.handle(creditUnused{assignment: *(<-inbox).assignment})
	}
	assert.Equal(t, 8, s.instances[0].Credits)
	assert.Zero(t, s.instances[0].Running)
}

// Guards against data centres in which long requests occupy every instance.
func TestOneInstanceOfEachDataCentreIsReserved(t *testing.T) {
	d, s := testDispatcher(11, 8, 4)
	count := func() (n int) {
		for _, i := range s.instances {
			if !s.longAllowed(i) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, 3, count())
	for _, w := range []model.WorkerID{"0", "1", "2", "3"} {
		d.handle(AgentDown{Worker: w, Generation: 1})
		assert.Equal(t, 3, count())
	}
}

// flakyConn fails to open a stream the given number of times. Later streams
// answer each request with an empty response.
type flakyConn struct{ failures *int }

func (c flakyConn) OpenStream(context.Context) (link.Stream, error) {
	if *c.failures > 0 {
		*c.failures--
		return nil, errors.New("no room for a stream")
	}
	return &okStream{frames: make(chan msg.Frame, 4), closed: make(chan struct{})}, nil
}
func (flakyConn) Send(msg.Control) error                            { return nil }
func (flakyConn) Receive() (msg.Control, error)                     { return nil, io.EOF }
func (flakyConn) AcceptStream(context.Context) (link.Stream, error) { return nil, io.EOF }
func (flakyConn) Close() error                                      { return nil }
func (flakyConn) Shutdown(context.Context) error                    { return nil }
func (flakyConn) RemoteAddr() string                                { return "" }

type okStream struct {
	frames chan msg.Frame
	closed chan struct{}
}

func (s *okStream) Send(f msg.Frame) error {
	if _, ok := f.(*msg.RequestHead); ok {
		s.frames <- &msg.Started{}
		s.frames <- &msg.ResponseHead{Status: 200, ContentLength: 0}
		s.frames <- &msg.BodyEnd{}
	}
	return nil
}

func (s *okStream) Receive() (msg.Frame, error) {
	select {
	case f := <-s.frames:
		return f, nil
	case <-s.closed:
		return nil, io.EOF
	}
}

func (s *okStream) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

// Guards against lost credits when no stream can be opened: the agent counts
// them as granted until the link ends.
func TestFailedOpenReturnsItsCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		table := &actor.Value[RoutingTable]{}
		to := SpawnDispatcher(g, Self{Entry: "a"}, &RoutingTable{DefaultService: "svc",
			Services: map[model.Service]ServiceRule{"svc": {Name: "svc"}}}, table)
		failures := 3
		for _, m := range []Message{
			AgentUp{Hello: msg.AgentHello{Worker: model.Worker{ID: "w"}}, Generation: 1, Conn: flakyConn{&failures}},
			FromAgent{Worker: "w", Generation: 1, Msg: &msg.BackendState{Backend: "b", Service: "svc", State: "ready", Slots: 8}},
			FromAgent{Worker: "w", Generation: 1, Msg: &msg.CreditGrant{Backend: "b", Generation: 1, Count: 1}},
		} {
			require.NoError(t, to.Send(t.Context(), m))
		}
		f := &Frontend{Dispatcher: to, Table: table.Get, MaxBody: 1 << 20, Semaphore: make(chan struct{}, 8)}
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "http://svc/", strings.NewReader("x")))
		assert.Equal(t, 200, w.Code, w.Body.String())
	})
}

// BenchmarkAssign measures the dispatcher's work for one request, from its
// admission to the return of its credit.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{11, 69, 690} {
		for _, long := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/long=%t", n, long), func(b *testing.B) {
				d, s := testDispatcher(n, 8, 4)
				s.classes.SetLong("watch", true)
				if long { // a long request stays queued because no permit is free
					for _, i := range s.instances {
						i.longPermits = 0
					}
					m, _ := newAdmit(1<<40, "watch")
					d.handle(m)
				}
				b.ReportAllocs()
				for key := 0; b.Loop(); key++ {
					m, inbox := newAdmit(key, "read")
					d.handle(m)
					a := (<-inbox).assignment
					d.handle(creditUnused{assignment: *a})
				}
			})
		}
	}
}
