package jobdaemon

import (
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configsync"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// ConfigSource locates and decodes the operators' configuration in the table
// service.
type ConfigSource struct {
	Key    string
	Prefix string // prefix of Key; a watch needs a prefix
	Decode func([]byte) (*workload.Config, error)
}

// maxServedConfigs is the number of versions that an entry sends to peers, so that
// a transfer ends although newer versions follow each other.
const maxServedConfigs = 4

// configState is the configuration of an entry. The watcher and the links pass
// encoded configurations to the installer, which decodes them; the controller
// announces the version in use and requests what the watch does not deliver.
type configState struct {
	source    ConfigSource
	installer actor.Address[*encodedConfig]
	// watcher is told whether the entry leaves the watch to others.
	watcher actor.Address[bool]
	// Set by the installer. Only a higher version replaces one.
	inUse     *actor.Value[workload.Config] // for callers
	installed actor.Value[encodedConfig]    // encoded form of the configuration in use
	// undecodable is the version that a peer sent and that could not be decoded.
	undecodable actor.Value[uint64]
	// Set by the watcher: whether its newest call to the table service succeeded;
	// nil: it has made none since it began to watch.
	tableAnswers actor.Value[bool]

	// The controller owns the rest.
	sync      *configsync.Core
	announced uint64           // version that the linked entries know to be in use here
	watches   bool             // the linked entries know that this entry watches the table service
	follows   bool             // the watcher knows that it leaves the watch to others
	served    []*encodedConfig // newest last
}

// watcherMailbox holds what the watcher is told during one call.
const watcherMailbox = 4

// newConfigState starts the installer of a controller. linkRate is the rate of
// the entry's connection in bits per second; 0: not known.
func newConfigState(g *actor.Group, c *controller, source ConfigSource, inUse *actor.Value[workload.Config], linkRate int64) *configState {
	s := &configState{source: source, inUse: inUse, sync: configsync.New(c.self.Name, linkRate)}
	i := &configInstaller{state: s, log: c.log, metrics: c.metrics}
	s.installer = actor.Spawn(g, actor.Spec[*encodedConfig]{Name: "config installer", Mailbox: installerMailbox, Run: i.run})
	return s
}

// startConfigWatch starts the watcher of the table service.
func (c *controller) startConfigWatch() {
	c.config.watcher = actor.Spawn(c.group, actor.Spec[bool]{Name: "config watcher", Mailbox: watcherMailbox, Run: c.watchConfig})
}

// syncConfig announces a version that came into use, and sends the requests that
// are due.
func (c *controller) syncConfig() {
	now := c.now()
	if ok := c.config.tableAnswers.Get(); ok != nil {
		c.config.sync.TableAnswered(*ok, now)
	}
	c.syncWatch()
	if installed := c.config.installed.Get(); installed != nil && installed.version > c.config.announced {
		c.config.announced = installed.version
		c.config.serve(installed)
		c.config.sync.Installed(installed.version, now)
		for _, l := range c.entryLinks() {
			c.announceConfig(l)
		}
	}
	if version := c.config.undecodable.Get(); version != nil {
		c.config.sync.Undecodable(*version, now)
	}
	c.config.sync.Tick(now)
	for _, r := range c.config.sync.Requests() {
		if l := c.entryLink(r.Peer); l != nil {
			c.requestConfig(l, r)
		}
	}
}

// syncWatch tells the watcher whether to watch the table service, and the linked
// entries whether it does. What a full mailbox refuses is sent with the next batch.
func (c *controller) syncWatch() {
	if follows := c.config.sync.Follows(); follows != c.config.follows && c.config.watcher.TrySend(follows) {
		c.config.follows = follows
	}
	if watches := c.config.sync.Watches(); watches != c.config.watches {
		c.config.watches = watches
		event.Log(c.log, event.ConfigWatchChanged, log.Fields{"watches": watches, "follows": c.config.follows})
		for _, l := range c.entryLinks() {
			if l.hello.RequestsConfig { // others would get the configuration again
				c.announceConfig(l)
			}
		}
	}
}

// requestConfig sends a request to a peer, for the whole configuration if its
// program does not send chunks.
func (c *controller) requestConfig(l *peerLink, r configsync.Request) {
	event.Log(c.log, event.ConfigRequested, log.Fields{"peer": r.Peer, "have": r.Have, "version": r.Version, "chunk": r.Index})
	if l.hello.ConfigChunks {
		c.send(l, &msg.ConfigChunkRequest{Have: r.Have, Version: r.Version, Index: r.Index})
		return
	}
	c.send(l, &msg.ConfigRequest{Have: model.ConfigVersion(r.Have)})
}

// serve adds a version to those that are sent to peers.
func (s *configState) serve(e *encodedConfig) {
	s.served = append(s.served, e)
	s.served = s.served[max(0, len(s.served)-maxServedConfigs):]
}

// announceConfig sends the version in use to an entry, and whether this entry
// watches the table service. An entry that cannot request the configuration gets
// it too.
func (c *controller) announceConfig(l *peerLink) {
	installed := c.config.installed.Get()
	m := &msg.ConfigAnnounced{Watches: c.config.watches}
	switch {
	case installed == nil && !m.Watches:
		return
	case installed != nil && !l.hello.RequestsConfig:
		c.sendWholeConfig(l, installed)
		return
	case installed != nil:
		m.Version = installed.version
	}
	c.send(l, m)
}

// sendWholeConfig sends a configuration to an entry of a former program.
func (c *controller) sendWholeConfig(l *peerLink, e *encodedConfig) {
	raw, err := e.bytes()
	if err != nil {
		event.Log(c.log, event.ConfigUnreadable, log.Fields{"error": err.Error(), "from": e.from})
		return
	}
	c.send(l, &msg.ConfigAnnounced{Version: e.version, Raw: raw})
}

// configAnnounced applies a version that a peer announces, or its answer to a
// request. Peers that do not set RequestsConfig send each version whole.
func (c *controller) configAnnounced(l *peerLink, m *msg.ConfigAnnounced) {
	if l.hello.RequestsConfig {
		c.config.sync.Announced(l.hello.Member.Name, m.Version, m.Watches, c.now())
	}
	if len(m.Raw) > 0 && m.Version > c.config.announced {
		// If the mailbox is full, the request is repeated.
		c.config.installer.TrySend(newEncodedConfig(m.Raw, m.Version, fromPeer))
	}
}

// configRequested sends the configuration in use to a peer that has a lower
// version.
func (c *controller) configRequested(l *peerLink, m *msg.ConfigRequest) {
	if installed := c.config.installed.Get(); installed != nil && installed.version > uint64(m.Have) {
		c.sendWholeConfig(l, installed)
	}
}

// configChunkRequested sends a chunk to a peer: of the version that it names, or
// the first one of the version in use if that is no longer available.
func (c *controller) configChunkRequested(l *peerLink, m *msg.ConfigChunkRequest) {
	if len(c.config.served) == 0 {
		return
	}
	served, index := c.config.served[len(c.config.served)-1], 0
	for _, e := range c.config.served {
		if e.version == m.Version && m.Index >= 0 && m.Index < len(e.chunks) {
			served, index = e, m.Index
		}
	}
	if served.version > m.Have {
		c.send(l, &msg.ConfigChunk{Version: served.version, Index: index, Count: len(served.chunks), Data: served.chunks[index]})
	}
}

// configChunkReceived applies a chunk, and passes a complete configuration to the
// installer.
func (c *controller) configChunkReceived(m *msg.ConfigChunk) {
	chunk := configsync.Chunk{Version: m.Version, Index: m.Index, Count: m.Count, Data: m.Data}
	if chunks := c.config.sync.Received(chunk, c.now()); chunks != nil {
		// If the mailbox is full, the configuration is requested again.
		c.config.installer.TrySend(&encodedConfig{chunks: chunks, version: m.Version, from: fromPeer, receivedAt: time.Now()})
	}
}
