package configsync

import "github.com/bambooscale/bambooscale/internal/configchunk"

// Chunk is one of the chunks of a version of the configuration.
type Chunk struct {
	Version      uint64
	Index, Count int
	Data         []byte
}

// transfer is a configuration of which some chunks have arrived.
type transfer struct {
	version uint64 // 0: none has arrived
	count   int
	chunks  [][]byte
}

// add adds a chunk and reports whether it was the next one. The first chunk of a
// higher version replaces the transfer: the peer no longer has the other version.
func (t *transfer) add(c Chunk) bool {
	if c.Count < 1 || c.Count > configchunk.MaxCount {
		return false
	}
	if c.Version > t.version && c.Index == 0 {
		*t = transfer{version: c.Version, count: c.Count}
	}
	if c.Version != t.version || c.Count != t.count || c.Index != len(t.chunks) {
		return false
	}
	t.chunks = append(t.chunks, c.Data)
	return true
}

func (t *transfer) complete() bool { return t.version != 0 && len(t.chunks) == t.count }

// drop ends the transfer of a version that is not needed.
func (t *transfer) drop(upTo uint64) {
	if t.version <= upTo {
		*t = transfer{}
	}
}
