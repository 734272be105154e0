package capacity

import (
	"net"
	"sync/atomic"
)

// countingProxy forwards TCP connections and counts their bytes and segments. It
// counts each read as one segment, because yamux makes one write to the socket for
// each of its own.
type countingProxy struct {
	listener        net.Listener
	accepted        atomic.Int64
	bytes, segments [2]atomic.Int64 // to the entry (0) and to the agent (1)
}

func newCountingProxy(target string) *countingProxy {
	p := &countingProxy{listener: listenLoopback()}
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
			go p.forward(0, out, in)
			go p.forward(1, in, out)
		}
	}()
	return p
}

// forward copies the bytes of one direction until src or dst fails.
func (p *countingProxy) forward(direction int, dst, src net.Conn) {
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

// proxyCounts are the bytes and segments that passed through a proxy, to the entry
// and to the agent.
type proxyCounts struct{ bytes, segments [2]float64 }

func (p *countingProxy) count() (c proxyCounts) {
	for i := range 2 {
		c.bytes[i], c.segments[i] = float64(p.bytes[i].Load()), float64(p.segments[i].Load())
	}
	return c
}
