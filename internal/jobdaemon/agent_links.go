package jobdaemon

import (
	"context"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/msg"
)

func (a *agent) startLinks(g *actor.Group) {
	cfg := a.cfg
	l := &links{group: g, base: linkID(a.life) << lifeShift, send: a.address.Send, follow: true, hello: func() *msg.PeerHello {
		h := &msg.PeerHello{
			Member: msg.Member{Name: string(cfg.Core.Name)}, Agent: true, Boot: cfg.Boot, DataCentre: cfg.Core.DataCentre, FollowsHeartbeat: true, JoinsParts: true,
		}
		if epoch := a.published.epoch.Get(); epoch != nil {
			h.Epoch = *epoch
		}
		return h
	}}
	d := &dialers{links: l, dial: a.dial, started: map[string]bool{}}
	d.linked = func(address string) bool {
		linked := a.published.linked.Get()
		return linked != nil && (*linked)[address]
	}
	d.start(cfg.Seeds)
	actor.Go(g, "dialer starter", func(ctx context.Context) error { return d.followMembers(ctx, a.published) })
}

func (a *agent) linkUp(m *linkUp) {
	a.links[m.id], a.hellos[m.id] = m.out, m.hello
	event.Log(a.log, event.PeerLinked, log.Fields{"peer": m.hello.Member.Name, "epoch": m.hello.Epoch})
	a.core.Linked(hostagent.LinkID(m.id), m.hello.Member.Name)
	a.core.EpochObserved(m.hello.Epoch)
	a.addMembers([]msg.Member{m.hello.Member})
	a.publishLinked()
	m.out.TrySend(&msg.HostAnnounced{Host: a.core.Host()})
}

func (a *agent) linkDown(m *linkDown) {
	hello := a.hellos[m.id]
	if hello == nil {
		return
	}
	delete(a.links, m.id)
	delete(a.hellos, m.id)
	delete(a.heldClaims, m.id)
	logLinkDown(a.log, hello.Member.Name, m.err)
	a.core.Unlinked(hostagent.LinkID(m.id))
	a.publishLinked()
}

// publishLinked publishes the addresses of the linked entries for the dialers.
func (a *agent) publishLinked() {
	linked := map[string]bool{}
	for _, h := range a.hellos {
		linked[h.Member.Address] = true
	}
	a.published.linked.Set(&linked)
}

func (a *agent) received(m *linkMessage) {
	if _, up := a.links[m.id]; !up {
		return
	}
	id := m.id
	switch m := m.message.(type) {
	case *msg.Members:
		a.addMembers(m.Entries)
		return
	case *msg.Heartbeat:
		a.core.EpochObserved(m.Epoch)
		return
	case *msg.OwnerClaim:
		if !a.epochKnown && m.Owner == "" {
			a.heldClaims[id] = m
			return
		}
	}
	a.core.Received(hostagent.LinkID(m.id), m.message)
}

// addMembers records the addresses of entries and publishes them for the dialers.
func (a *agent) addMembers(entries []msg.Member) {
	for _, e := range entries {
		if e.Address != "" {
			a.members[e.Name] = e
		}
	}
	list := make([]msg.Member, 0, len(a.members))
	for _, e := range a.members {
		list = append(list, e)
	}
	a.published.members.Set(&list)
}
