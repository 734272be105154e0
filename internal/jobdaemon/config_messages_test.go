package jobdaemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/ownership"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// configPeer records what the entry under test sends to a peer.
type configPeer struct {
	link *peerLink
	sent chan msg.Control
}

// take returns the messages about the configuration since the last call.
func (p *configPeer) take() []msg.Control {
	synctest.Wait()
	var list []msg.Control
	for len(p.sent) > 0 {
		switch m := (<-p.sent).(type) {
		case *msg.ConfigAnnounced, *msg.ConfigRequest, *msg.ConfigChunk, *msg.ConfigChunkRequest:
			list = append(list, m)
		}
	}
	return list
}

// configEntryUnderTest is an entry whose messages a test applies itself.
type configEntryUnderTest struct {
	*controller
	decoded int // number of decoded configurations
}

func newConfigEntryUnderTest(g *actor.Group) *configEntryUnderTest {
	e := &configEntryUnderTest{}
	l := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	c := &controller{
		self: msg.Member{Name: "self", Address: "self"}, log: l, group: g, startedAt: time.Now(), metrics: newEntryMetrics(metrics.Start(g)),
		links: map[linkID]*peerLink{}, agents: map[workload.HostName]*agentView{}, members: map[string]msg.Member{},
		phases: newPhaseCache(), owner: ownership.New("self", 1, 0, 0), published: &published{},
	}
	c.owner.Retire(0)
	c.config = newConfigState(g, c, ConfigSource{Decode: func(raw []byte) (*workload.Config, error) {
		e.decoded++
		if len(raw) == 0 {
			return nil, errors.New("empty configuration")
		}
		return &workload.Config{Version: uint64(raw[0])}, nil
	}}, &actor.Value[workload.Config]{}, 0)
	e.controller = c
	return e
}

func (e *configEntryUnderTest) addPeer(g *actor.Group, name string, requestsConfig bool) *configPeer {
	p := &configPeer{sent: make(chan msg.Control, 100)}
	out := actor.Spawn(g, actor.Spec[msg.Control]{Name: "peer", Mailbox: 100, Run: func(ctx context.Context, in <-chan msg.Control) error {
		for {
			select {
			case m := <-in:
				p.sent <- m
			case <-ctx.Done():
				return nil
			}
		}
	}})
	id := linkID(len(e.links) + 1)
	e.linkUp(&linkUp{id, &msg.PeerHello{Member: msg.Member{Name: name, Address: name}, RequestsConfig: requestsConfig}, out})
	p.link = e.links[id]
	return p
}

// Guards against an entry of the previous version that receives no configuration
// during a restart of the entries one after another, and against configurations
// that are sent whole to entries that can request them.
func TestConfigurationIsSentWholeOnlyToPeersThatCannotRequestIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		e := newConfigEntryUnderTest(g)
		present, previous := e.addPeer(g, "present", true), e.addPeer(g, "previous", false)
		// The previous version sends each configuration whole.
		e.received(previous.link, &msg.ConfigAnnounced{Version: 7, Raw: []byte{7}})
		synctest.Wait()
		e.flush()
		require.EqualValues(t, 7, e.config.inUse.Get().Version)
		require.Equal(t, []msg.Control{&msg.ConfigAnnounced{Version: 7}}, present.take())
		require.Equal(t, []msg.Control{&msg.ConfigAnnounced{Version: 7, Raw: []byte{7}}}, previous.take())
		e.flush()
		require.Empty(t, present.take())
		// A request is answered only with a higher version.
		e.received(present.link, &msg.ConfigRequest{Have: 7})
		require.Empty(t, present.take())
		e.received(present.link, &msg.ConfigRequest{Have: 6})
		require.Equal(t, []msg.Control{&msg.ConfigAnnounced{Version: 7, Raw: []byte{7}}}, present.take())
		// New links learn the version in use.
		require.Equal(t, []msg.Control{&msg.ConfigAnnounced{Version: 7}}, e.addPeer(g, "later", true).take())
		require.Equal(t, []msg.Control{&msg.ConfigAnnounced{Version: 7, Raw: []byte{7}}}, e.addPeer(g, "older", false).take())
	})
}

// Guards against an entry that is not told the configuration by its own watch and
// does not request it, that requests it from a peer that does not answer, and
// that replaces a version by a lower one.
func TestEntryRequestsAnnouncedConfigurationOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		e := newConfigEntryUnderTest(g)
		peer, previous := e.addPeer(g, "peer", true), e.addPeer(g, "previous", false)
		e.received(peer.link, &msg.ConfigAnnounced{Version: 9})
		var requests []msg.Control
		// Well before the 3 s within which a version has to be in force, so that
		// the answer may take as long as the request.
		for range 20 {
			time.Sleep(controllerTick)
			e.tick()
			e.flush()
			requests = append(requests, peer.take()...)
		}
		require.Equal(t, []msg.Control{&msg.ConfigRequest{}}, requests)
		require.Empty(t, previous.take())
		e.received(peer.link, &msg.ConfigAnnounced{Version: 9, Raw: []byte{9}})
		synctest.Wait()
		e.flush()
		e.received(previous.link, &msg.ConfigAnnounced{Version: 8, Raw: []byte{8}})
		synctest.Wait()
		require.EqualValues(t, 9, e.config.inUse.Get().Version)
		require.Equal(t, 1, e.decoded)
	})
}

// Guards against decoding each version of a storm: of those that wait, only the
// newest is decoded.
func TestOnlyTheNewestReceivedConfigurationsAreInstalled(t *testing.T) {
	read := func(n byte) *encodedConfig { return &encodedConfig{raw: []byte{n}, from: fromStore} }
	sent := func(n byte) *encodedConfig { return &encodedConfig{raw: []byte{n}, version: uint64(n), from: fromPeer} }
	require.Equal(t, []*encodedConfig{read(4), sent(5)}, newestConfigs([]*encodedConfig{read(1), sent(5), read(4), sent(3)}))
	require.Equal(t, []*encodedConfig{sent(3)}, newestConfigs([]*encodedConfig{sent(2), sent(3)}))
}

// Guards against a request that is answered with a chunk of another version than
// the receiver assumes, and against versions that replace each other before a peer
// has all their chunks.
func TestEntryServesChunksOfItsRecentVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		e := newConfigEntryUnderTest(g)
		peer := e.addPeer(g, "peer", true)
		for v := byte(1); v <= maxServedConfigs+1; v++ {
			e.config.installer.TrySend(newEncodedConfig([]byte{v}, 0, fromStore))
			synctest.Wait()
			e.flush()
		}
		peer.take()
		answer := func(have, version uint64) uint64 {
			e.received(peer.link, &msg.ConfigChunkRequest{Have: have, Version: version})
			sent := peer.take()
			if len(sent) == 0 {
				return 0
			}
			return sent[0].(*msg.ConfigChunk).Version
		}
		newest := uint64(maxServedConfigs + 1)
		require.EqualValues(t, 2, answer(0, 2), "the oldest that is kept")
		require.Equal(t, newest, answer(0, 1), "no longer kept")
		require.Equal(t, newest, answer(0, 0))
		require.Zero(t, answer(newest, 0))
		e.received(peer.link, &msg.ConfigChunkRequest{Version: newest, Index: 9})
		require.Equal(t, 0, peer.take()[0].(*msg.ConfigChunk).Index, "an index that does not exist")
	})
}

// Guards against a configuration that outgrows the table service without a word to
// the operators, and against one that is refused although it can be used.
func TestOversizedConfigurationIsReportedAndUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := actor.NewGroup(t.Context(), nil)
		defer g.Stop()
		e := newConfigEntryUnderTest(g)
		reported := 0
		e.log.(*log.Logger).Level = log.WarnLevel
		e.log.(*log.Logger).Handler = log.HandlerFunc(func(entry *log.Entry) error {
			if entry.Fields["event"] == event.ConfigOversized.ID {
				reported++
			}
			return nil
		})
		for version, size := range []int{1: maxConfigBytes, 2: maxConfigBytes + 1} {
			if size == 0 {
				continue
			}
			raw := make([]byte, size)
			raw[0] = byte(version)
			e.config.installer.TrySend(newEncodedConfig(raw, 0, fromStore))
			synctest.Wait()
			require.EqualValues(t, version, e.config.inUse.Get().Version)
			require.Equal(t, version-1, reported)
		}
	})
}

// Guards against a configuration that goes back to an older version, with queues that
// were removed since: a read of the table service that was delayed, or one by a new
// process, arrives after a newer version from a peer.
func TestOlderConfigurationNeverReplacesANewerOne(t *testing.T) {
	for _, from := range []string{fromStore, fromPeer} {
		e := newConfigEntryUnderTest(actor.NewGroup(t.Context(), nil))
		i := &configInstaller{state: e.config, log: e.log, metrics: e.metrics}
		inUse := []uint64{}
		for _, version := range []byte{7, 5, 7, 9, 8} {
			i.install(&encodedConfig{raw: []byte{version}, from: from, receivedAt: time.Now()})
			inUse = append(inUse, e.config.inUse.Get().Version)
		}
		require.Equal(t, []uint64{7, 7, 7, 9, 9}, inUse)
	}
}
