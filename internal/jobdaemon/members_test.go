package jobdaemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/msg"
)

// memberLink is the far end of a link of an entry. It collects the lists of
// members that it receives.
type memberLink struct {
	id    linkID
	name  string
	lists chan []msg.Member
}

// link tells an entry that a link with another process is up.
func (e *phaseEntry) link(t *testing.T, id linkID, name string, agent bool) *memberLink {
	l := &memberLink{id: id, name: name, lists: make(chan []msg.Member, 256)}
	out := actor.Spawn(e.group, actor.Spec[msg.Control]{Name: name, Mailbox: 256, Run: func(ctx context.Context, in <-chan msg.Control) error {
		for {
			select {
			case m := <-in:
				if members, ok := m.(*msg.Members); ok {
					l.lists <- members.Entries
				}
			case <-ctx.Done():
				return nil
			}
		}
	}})
	hello := &msg.PeerHello{Member: msg.Member{Name: name}, Agent: agent}
	if !agent {
		hello.Member.Address = name
	}
	require.NoError(t, e.c.address.Send(t.Context(), &linkUp{id, hello, out}))
	synctest.Wait()
	return l
}

// received returns the number of lists, the number of members in them, and the
// names that they contain.
func (l *memberLink) received() (lists, members int, names map[string]bool) {
	names = map[string]bool{}
	for len(l.lists) > 0 {
		list := <-l.lists
		lists, members = lists+1, members+len(list)
		for _, m := range list {
			names[m.Name] = true
		}
	}
	return lists, members, names
}

// Guards against whole lists of members on each link at each change, which every
// entry sent to all entries and agents, and against a link that lacks a member: a
// link that comes up gets the list, and later what has changed.
func TestOnlyChangedMembersAreSentOnLinksThatHaveTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, agents = 15, 72
		s := newPhaseSite(t, 0, 0)
		defer s.stop()
		e := s.start(1, 1)
		defer e.group.Stop()
		var links []*memberLink
		for i := range agents {
			links = append(links, e.link(t, linkID(100+i), fmt.Sprintf("host-%02d", i), true))
		}
		for i := range entries {
			links = append(links, e.link(t, linkID(200+i), fmt.Sprintf("peer-%02d", i), false))
		}
		first := links[0]
		// An entry that is not linked itself.
		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{first.id, &msg.Members{Entries: []msg.Member{{Name: "distant", Address: "distant"}}}}))
		// A list that contains nothing new is not passed on.
		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{first.id, &msg.Members{Entries: []msg.Member{{Name: "peer-00", Address: "peer-00"}}}}))
		late := e.link(t, 300, "peer-00", false) // a second link of a known entry
		synctest.Wait()
		for _, l := range append(links, late) {
			_, members, names := l.received()
			want := entries + 2 // with itself and the distant one
			if l == first {
				want-- // which announced the distant one
			}
			require.LessOrEqual(t, members, want, l.name)
			require.Equal(t, l != first, names["distant"], l.name)
			for i := range entries {
				if peer := fmt.Sprintf("peer-%02d", i); peer != l.name {
					require.True(t, names[peer], "%s lacks %s", l.name, peer)
				}
			}
			require.True(t, names[e.name], l.name)
		}
		// A changed address reaches every other link, alone.
		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{links[agents].id, &msg.Members{Entries: []msg.Member{
			{Name: "peer-00", Address: "peer-00"}, {Name: "distant", Address: "elsewhere"},
		}}}))
		synctest.Wait()
		for i, l := range links {
			lists, members, _ := l.received()
			want := 1
			if i == agents {
				want = 0
			}
			require.Equal(t, want, lists, l.name)
			require.Equal(t, want, members, l.name)
		}
	})
}

// Guards against addresses that replace each other at all entries without end, or a
// former address that prevails: an entry has started again at another address, and
// what others still have of it, or have read from the table service, is relayed.
func TestRelayedAddressDoesNotReplaceTheOneOfALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPhaseSite(t, 0, 0)
		defer s.stop()
		e := s.start(1, 1)
		defer e.group.Stop()
		a, b := e.link(t, 100, "peer-00", false), e.link(t, 101, "peer-01", false)
		synctest.Wait()
		a.received()
		b.received()
		former := []msg.Member{{Name: "peer-01", Address: "former"}}
		require.NoError(t, e.c.address.Send(t.Context(), &linkMessage{a.id, &msg.Members{Entries: former}}))
		require.NoError(t, e.c.address.Send(t.Context(), &membersRead{former}))
		synctest.Wait()
		require.Equal(t, "peer-01", ask(e, func(c *controller) string { return c.members["peer-01"].Address }))
		for _, l := range []*memberLink{a, b} {
			lists, _, _ := l.received()
			require.Zero(t, lists, l.name)
		}
		// Once the link has ended, what others say counts.
		require.NoError(t, e.c.address.Send(t.Context(), &linkDown{id: b.id}))
		require.NoError(t, e.c.address.Send(t.Context(), &membersRead{former}))
		synctest.Wait()
		require.Equal(t, "former", ask(e, func(c *controller) string { return c.members["peer-01"].Address }))
	})
}
