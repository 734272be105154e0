package link

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// ErrRefused is returned by Dial on a Memory to a name on which no process
// listens.
var ErrRefused = errors.New("connection refused")

// Any matches every process name in the methods of a Memory.
const Any = "*"

// Memory is an in-memory network for tests in virtual time. Processes are
// identified by name; the address of a listener is the name of its process.
// Each direction between two processes is a path with its own delay. As over
// TCP, messages arrive in order and without loss. Messages sent on a path that
// is cut wait in bounded buffers, which neither side notices, and arrive after
// the path is healed, unless the link was closed in between. In a synctest
// bubble, Close has to be called before the test ends.
type Memory struct {
	group *actor.Group
	net   actor.Address[netMessage]
}

// NewMemory returns a network without delays. It ends with ctx or Close. The
// seed determines the jitter.
func NewMemory(ctx context.Context, seed uint64) *Memory {
	g := actor.NewGroup(ctx, nil)
	n := &network{
		group: g, seed: seed, listeners: map[string]*memListener{}, delays: map[path]delay{}, cuts: map[path]bool{},
		dialCounts: map[path]uint64{},
	}
	return &Memory{group: g, net: actor.Spawn(g, actor.Spec[netMessage]{Name: "memory-network", Mailbox: 16, Run: n.run})}
}

// Close ends all links and listeners and waits for the actors to return.
func (m *Memory) Close() { m.group.Stop() }

// Listen returns a listener for the process with this name.
func (m *Memory) Listen(name string) (Listener, error) {
	l := &memListener{name: name, accepted: make(chan *memConn, memBacklog)}
	l.ctx, l.cancel = context.WithCancel(m.group.Context())
	if err := m.ask(setListener{l}); err != nil {
		return nil, err
	}
	return l, nil
}

// Dialer returns a dialer for the process with this name.
func (m *Memory) Dialer(name string) Dialer { return memDialer{net: m, name: name} }

// SetDelay sets the one-way delay from one process to another; either name, or
// both, may be Any. Each message is delayed by fixed plus a uniformly
// distributed time from 0 to jitter, and never overtakes another on its link.
func (m *Memory) SetDelay(from, to string, fixed, jitter time.Duration) {
	_ = m.ask(setDelay{path{from, to}, delay{fixed, jitter}})
}

// Cut stops delivery from one process to another. When it returns, nothing
// more arrives.
func (m *Memory) Cut(from, to string) { _ = m.ask(setCut{path{from, to}, true}) }

// CutBoth stops delivery in both directions.
func (m *Memory) CutBoth(a, b string) {
	m.Cut(a, b)
	m.Cut(b, a)
}

// Heal undoes the Cut with the same arguments.
func (m *Memory) Heal(from, to string) { _ = m.ask(setCut{path{from, to}, false}) }

// HealBoth undoes CutBoth.
func (m *Memory) HealBoth(a, b string) {
	m.Heal(a, b)
	m.Heal(b, a)
}

// Reset ends all links between two processes at once, on both sides. With Any
// as the second name, the peers observe what they would after a crash of the
// first process.
func (m *Memory) Reset(a, b string) { _ = m.ask(resetLinks{a, b}) }

// ask sends a change to the network's actor and waits until it is applied.
func (m *Memory) ask(c change) error {
	err, stopped := actor.Ask(m.group.Context(), m.net, func(r actor.Reply[error]) netMessage {
		return netMessage{change: c, done: r}
	})
	if stopped != nil {
		return stopped
	}
	return err
}

// netMessage requests a change of the state of the network's actor.
type netMessage struct {
	change change
	done   actor.Reply[error]
}

// change is a request to the network's actor. apply runs in that actor.
type change interface{ apply(*network) error }

type (
	setListener struct{ listener *memListener }
	setDelay    struct {
		path  path
		delay delay
	}
	setCut struct {
		path path
		cut  bool
	}
	resetLinks struct{ a, b string }
	dialLink   struct {
		path  path
		reply actor.Reply[*memConn]
	}
)

func (c setListener) apply(n *network) error { return n.listen(c.listener) }
func (c setDelay) apply(n *network) error    { n.delays[c.path] = c.delay; return n.update() }
func (c setCut) apply(n *network) error      { n.cuts[c.path] = c.cut; return n.update() }
func (c resetLinks) apply(n *network) error  { return n.reset(c.a, c.b) }
func (c dialLink) apply(n *network) error    { return n.connect(c.path, c.reply) }

// path is one direction between two processes. In rules, a name may be Any.
type path struct{ from, to string }

// delay is the one-way delay of a message: fixed, plus up to jitter.
type delay struct{ fixed, jitter time.Duration }

// pathState holds the settings of a path that a pipe applies.
type pathState struct {
	delay
	cut bool
}

// network is the state of the network's actor.
type network struct {
	group      *actor.Group
	seed       uint64
	listeners  map[string]*memListener
	delays     map[path]delay
	cuts       map[path]bool
	dialCounts map[path]uint64 // number of dials on each path, part of the seed of a pipe
	links      []memLink
}

// memLink is the network's record of a link: the dialling and the accepting
// end, each with the pipe that delivers its packets to the other.
type memLink struct{ ends [2]*memConn }

func (n *network) run(ctx context.Context, in <-chan netMessage) error {
	for {
		select {
		case m := <-in:
			m.done.Put(m.change.apply(n))
		case <-ctx.Done():
			return nil
		}
	}
}

// listen registers l. A name may be used again after its listener is closed.
func (n *network) listen(l *memListener) error {
	if old := n.listeners[l.name]; old != nil && old.ctx.Err() == nil {
		return fmt.Errorf("listen on %s: name is in use", l.name)
	}
	n.listeners[l.name] = l
	return nil
}

// connect creates a link and replies with its dialling end. That end is
// established when the answer to its first packet has arrived.
func (n *network) connect(p path, reply actor.Reply[*memConn]) error {
	l := n.listeners[p.to]
	if l == nil || l.ctx.Err() != nil {
		return fmt.Errorf("dial %s: %w", p.to, ErrRefused)
	}
	n.dialCounts[p]++
	dialled, accepted := newMemPair(n.group.Context(), p.from, p.to)
	dialled.pipe = n.pipe(p, accepted)
	accepted.pipe = n.pipe(path{p.to, p.from}, dialled)
	n.prune()
	n.links = append(n.links, memLink{ends: [2]*memConn{dialled, accepted}})
	reply.Put(dialled)
	return dialled.enqueue(packet{kind: packetConnect, listener: l})
}

// pipe starts the actor that delivers packets on path p to dst.
func (n *network) pipe(p path, dst *memConn) actor.Address[pipeMessage] {
	pathHash := fnv.New64a()
	_, _ = fmt.Fprintf(pathHash, "%s\x00%s\x00%d", p.from, p.to, n.dialCounts[p])
	newPipe := &pipe{dst: dst, state: n.pathState(p), rand: rand.New(rand.NewPCG(n.seed, pathHash.Sum64()))}
	return actor.Spawn(n.group, actor.Spec[pipeMessage]{Name: "memory-pipe", Mailbox: 16, Run: newPipe.run})
}

// pathState returns the delay of the most specific rule for p, and whether any
// rule cuts p.
func (n *network) pathState(p path) pathState {
	var state pathState
	rules := []path{p, {p.from, Any}, {Any, p.to}, {Any, Any}}
	for i := len(rules) - 1; i >= 0; i-- {
		if d, ok := n.delays[rules[i]]; ok {
			state.delay = d
		}
		state.cut = state.cut || n.cuts[rules[i]]
	}
	return state
}

// update sends each pipe the state of its path and waits until the pipe
// applies it.
func (n *network) update() error {
	n.prune()
	for _, l := range n.links {
		for _, end := range l.ends {
			state := n.pathState(path{end.local, end.remote})
			_, _ = actor.Ask(n.group.Context(), end.pipe, func(r actor.Reply[struct{}]) pipeMessage {
				return pipeMessage{state: &state, applied: r}
			})
		}
	}
	return nil
}

// reset ends the links between two processes without delivering packets.
func (n *network) reset(a, b string) error {
	for _, l := range n.links {
		first, second := l.ends[0], l.ends[1]
		if matches(first.local, a) && matches(second.local, b) || matches(first.local, b) && matches(second.local, a) {
			first.end("connection reset")
			second.end("connection reset")
		}
	}
	n.prune()
	return nil
}

func matches(name, pattern string) bool { return pattern == Any || name == pattern }

// prune removes the links of which both ends have ended.
func (n *network) prune() {
	kept := n.links[:0]
	for _, l := range n.links {
		if l.ends[0].ctx.Err() == nil || l.ends[1].ctx.Err() == nil {
			kept = append(kept, l)
		}
	}
	clear(n.links[len(kept):])
	n.links = kept
}
