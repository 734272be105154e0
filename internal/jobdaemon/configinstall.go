package jobdaemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/configchunk"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// maxConfigBytes is the size that the table service returns in one call. Larger
// configurations are reported and used.
const maxConfigBytes = 1_000_000

// installerMailbox is small: what waits in it is replaced by a newer version.
const installerMailbox = 4

// Origins of an encoded configuration.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// encodedConfig is a configuration in the operators' encoding.
type encodedConfig struct {
	raw        []byte   // nil once it is divided into chunks
	chunks     [][]byte // see package configchunk; nil: not divided yet
	version    uint64   // 0: not decoded yet
	from       string
	receivedAt time.Time
}

// bytes returns the configuration in the operators' encoding.
func (e *encodedConfig) bytes() ([]byte, error) {
	if e.chunks == nil {
		return e.raw, nil
	}
	return configchunk.Join(e.chunks)
}

// divide replaces the configuration by its chunks, which take about a tenth of
// its memory.
func (e *encodedConfig) divide() error {
	if e.chunks != nil {
		return nil
	}
	chunks, err := configchunk.Split(e.raw)
	if err == nil {
		e.chunks, e.raw = chunks, nil
	}
	return err
}

func newEncodedConfig(raw []byte, version uint64, from string) *encodedConfig {
	return &encodedConfig{raw: raw, version: version, from: from, receivedAt: time.Now()}
}

// configInstaller is the actor that decodes configurations and brings the
// highest version into use. A large configuration takes tens of milliseconds of
// a small entry's processor, so neither the controller nor the watcher decodes.
type configInstaller struct {
	state   *configState
	log     log.Interface
	metrics *entryMetrics
	version uint64 // in use
}

func (i *configInstaller) run(ctx context.Context, in <-chan *encodedConfig) error {
	for {
		select {
		case m := <-in:
			queued := []*encodedConfig{m}
			for len(in) > 0 {
				queued = append(queued, <-in)
			}
			for _, e := range newestConfigs(queued) {
				i.install(e)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// newestConfigs returns those of the received configurations that may be the
// newest: the last one that was read, whose version is not known, and the
// highest version that a peer sent.
func newestConfigs(received []*encodedConfig) []*encodedConfig {
	var read, sent *encodedConfig
	for _, e := range received {
		switch {
		case e.version == 0:
			read = e
		case sent == nil || e.version > sent.version:
			sent = e
		}
	}
	var newest []*encodedConfig
	for _, e := range []*encodedConfig{read, sent} {
		if e != nil {
			newest = append(newest, e)
		}
	}
	return newest
}

// decode returns a configuration and the number of its encoded bytes.
func (i *configInstaller) decode(e *encodedConfig) (*workload.Config, int, error) {
	raw, err := e.bytes()
	if err != nil {
		return nil, 0, err
	}
	config, err := i.state.source.Decode(raw)
	return config, len(raw), err
}

// install decodes a configuration and brings it into use if its version is
// higher than the present one.
func (i *configInstaller) install(e *encodedConfig) {
	if e.version != 0 && e.version <= i.version {
		return
	}
	config, size, err := i.decode(e)
	if err != nil {
		event.Log(i.log, event.ConfigUnreadable, log.Fields{"error": err.Error(), "from": e.from})
		if e.from == fromPeer {
			i.state.undecodable.Set(&e.version)
		}
		return
	}
	if config.Version <= i.version {
		return
	}
	i.version, e.version = config.Version, config.Version
	i.state.inUse.Set(config)
	if err := e.divide(); err != nil {
		event.Log(i.log, event.ConfigUnreadable, log.Fields{"error": err.Error(), "from": e.from})
		return // the entry uses the version and does not send it to peers
	}
	i.state.installed.Set(e)
	if size > maxConfigBytes {
		event.Log(i.log, event.ConfigOversized, log.Fields{"version": config.Version, "bytes": size, "limit": maxConfigBytes})
	}
	delay := time.Since(e.receivedAt)
	i.metrics.recordConfig(e.from, delay)
	event.Log(i.log, event.ConfigInForce, log.Fields{
		"version": config.Version, "from": e.from, "queues": len(config.Queues), "bytes": size, "install-ms": delay.Milliseconds(),
	})
}
