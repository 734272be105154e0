package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// silentBackend is a backend server whose open connections may go silent together.
type silentBackend struct{ silence actor.Value[time.Time] }

func (b *silentBackend) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go b.serve(server, time.Now())
	return client, nil
}

func (b *silentBackend) serve(conn net.Conn, openedAt time.Time) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(10 * time.Millisecond)
		if at := b.silence.Get(); at != nil && openedAt.Before(*at) {
			continue
		}
		if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// silentSite is an agent beside a silentBackend with a link to one entry.
type silentSite struct {
	t         *testing.T
	group     *actor.Group
	backend   silentBackend
	slots     Address
	transport *http.Transport
	requests  uint64
}

func newSilentSite(t *testing.T) *silentSite {
	s := &silentSite{t: t, group: actor.NewGroup(t.Context(), nil)}
	s.transport = NewTransport(testSlots)
	s.transport.DialContext = s.backend.dial
	s.slots = SpawnSlots(s.group, model.Worker{DataCentre: "east"})
	out := actor.Spawn(s.group, actor.Spec[msg.Control]{Name: "out", Mailbox: 4096,
		Run: func(ctx context.Context, _ <-chan msg.Control) error { <-ctx.Done(); return nil }})
	for _, m := range []Message{
		Announce{Backend: "svc@1", Address: "192.0.2.1:80", Slots: testSlots}, EntryUp{Hello: msg.EntryHello{Entry: "a", Generation: 1}, Out: out},
	} {
		require.NoError(t, s.slots.Send(t.Context(), m))
	}
	return s
}

func (s *silentSite) stop() {
	s.transport.CloseIdleConnections()
	s.group.Stop()
	time.Sleep(time.Second)
}

// request sends a request with a deadline of a second. The channel receives whether it was
// answered.
func (s *silentSite) request() <-chan bool {
	s.requests++
	demand := FromEntry{Entry: "a", Generation: 1, Msg: &msg.Demand{Queued: 1, Short: 1}}
	require.NoError(s.t, s.slots.Send(s.t.Context(), demand))
	stream := &headStream{head: make(chan msg.Frame, 2), closed: make(chan struct{}), sent: make(chan msg.Frame, 9)}
	stream.head <- &msg.RequestHead{ID: model.RequestID{Entry: "a", Seq: s.requests}, Generation: 1, Method: http.MethodPost, URI: "/", Deadline: time.Second}
	stream.head <- &msg.BodyEnd{}
	x := &exchange{stream: stream, slots: s.slots, entry: "a", transport: s.transport}
	answered := make(chan bool, 1)
	go func() {
		_ = x.run(s.t.Context())
		close(stream.sent)
		ok := false
		for f := range stream.sent {
			_, end := f.(*msg.BodyEnd)
			ok = ok || end
		}
		answered <- ok
	}()
	return answered
}

// Guards against requests that wait for one silent connection after another: each was
// held until its deadline, though new connections to the backend server worked.
func TestSilentConnectionsToABackendServerCostOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSilentSite(t)
		defer s.stop()
		var first []<-chan bool
		for range testSlots {
			first = append(first, s.request())
		}
		for _, answered := range first {
			require.True(t, <-answered)
		}
		time.Sleep(time.Millisecond)
		s.backend.silence.Set(new(time.Now()))
		require.False(t, <-s.request())
		for range testSlots {
			require.True(t, <-s.request())
		}
	})
}
