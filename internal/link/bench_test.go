package link

import (
	"io"
	"testing"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// newBenchLink returns the ends of a TCP link on loopback.
func newBenchLink(b *testing.B) (agent, entry Conn) {
	b.Helper()
	g := actor.NewGroup(b.Context(), nil)
	l, err := Listen(g, "127.0.0.1:0", Config{})
	if err != nil {
		b.Fatal(err)
	}
	if agent, err = NewDialer(g, Config{}).Dial(b.Context(), l.Addr()); err != nil {
		b.Fatal(err)
	}
	if entry, err = l.Accept(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = agent.Close()
		_ = entry.Close()
		_ = l.Close()
	})
	return agent, entry
}

// benchmarkBody measures the transfer of body chunks of size bytes on one stream.
func benchmarkBody(b *testing.B, size int) {
	agent, entry := newBenchLink(b)
	out, err := entry.OpenStream(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	in, err := agent.AcceptStream(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		chunk := &msg.BodyChunk{Data: make([]byte, size)}
		for out.Send(chunk) == nil {
		}
	}()
	b.SetBytes(int64(size))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := in.Receive(); err != nil {
			b.Fatal(err)
		}
	}
}

// Guard against an increase of the time and the allocations per body chunk.
func BenchmarkBodyChunk1K(b *testing.B)   { benchmarkBody(b, 1<<10) }
func BenchmarkBodyChunk32K(b *testing.B)  { benchmarkBody(b, 32<<10) }
func BenchmarkBodyChunk256K(b *testing.B) { benchmarkBody(b, 256<<10) }

// Guards against an increase of the time and the allocations per exchange of a
// short request and its response.
func BenchmarkExchange(b *testing.B) {
	agent, entry := newBenchLink(b)
	go func() {
		for {
			s, err := agent.AcceptStream(b.Context())
			if err != nil {
				return
			}
			go answer(s)
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		s, err := entry.OpenStream(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		_ = s.Send(&msg.RequestHead{Service: "permit-desk", Method: "GET", URI: "/slips"})
		_ = s.Send(&msg.BodyEnd{})
		for err == nil {
			_, err = s.Receive()
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		_ = s.Close()
	}
}

// answer receives a request without a body and sends a response of 512 bytes.
func answer(s Stream) {
	for range 2 {
		_, _ = s.Receive()
	}
	for _, f := range []msg.Frame{
		&msg.Started{}, &msg.ResponseHead{Status: 200}, &msg.BodyChunk{Data: make([]byte, 512)}, &msg.BodyEnd{Total: 512},
	} {
		_ = s.Send(f)
	}
	_ = s.Close()
}

// Guards against an increase of the time and the allocations per control
// message.
func BenchmarkControl(b *testing.B) {
	agent, entry := newBenchLink(b)
	go func() {
		m := &msg.CreditGrant{Backend: "permit-desk-1", Generation: 7, Count: 1}
		for agent.Send(m) == nil {
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := entry.Receive(); err != nil {
			b.Fatal(err)
		}
	}
}
