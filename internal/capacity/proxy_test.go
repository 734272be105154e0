package capacity

import (
	"net"
	"sync/atomic"
)

// proxy forwards TCP connections and counts what passes. A read is taken for
// one segment: each write of yamux is one write to the socket.
type proxy struct {
	listener        net.Listener
	accepted        atomic.Int64
	bytes, segments [2]atomic.Int64 // to the entry, to the agent
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen()}
	go func() {
		for {
			in, err := p.listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			p.accepted.Add(1)
			go p.pump(0, out, in)
			go p.pump(1, in, out)
		}
	}()
	return p
}

func (p *proxy) pump(direction int, dst, src net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := src.Read(buf)
		p.bytes[direction].Add(int64(n))
		p.segments[direction].Add(1)
		if err == nil {
			_, err = dst.Write(buf[:n])
		}
		if err != nil {
			_, _ = dst.Close(), src.Close()
			return
		}
	}
}

// counted is what passed through a proxy.
type counted struct{ bytes, segments [2]float64 }

func (p *proxy) count() (c counted) {
	for i := range 2 {
		c.bytes[i], c.segments[i] = float64(p.bytes[i].Load()), float64(p.segments[i].Load())
	}
	return c
}
