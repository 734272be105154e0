package configchunk

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a configuration that a peer receives other than it was sent, and
// against chunks that differ between entries, of which a transfer that continues
// at another peer would be made.
func TestJoinedChunksAreTheConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, 1000, Size - 1, Size, Size + 1, 3*Size + 17}).Draw(t, "size")
		raw := bytes.Repeat([]byte(rapid.StringN(1, 40, -1).Draw(t, "text")), size)[:size]
		chunks, err := Split(raw)
		require.NoError(t, err)
		again, err := Split(raw)
		require.NoError(t, err)
		require.Equal(t, chunks, again)
		joined, err := Join(chunks)
		require.NoError(t, err)
		require.True(t, bytes.Equal(raw, joined))
	})
}

// Guards against a peer whose small message expands until the entry has no memory
// left, and against damaged chunks that are taken for a configuration.
func TestDamagedChunksAreRefused(t *testing.T) {
	bomb, err := compress(make([]byte, Size+1))
	require.NoError(t, err)
	_, err = Join([][]byte{bomb})
	require.ErrorContains(t, err, "more than")
	chunks, err := Split([]byte("configuration"))
	require.NoError(t, err)
	_, err = Join([][]byte{chunks[0][:len(chunks[0])-2]})
	require.ErrorContains(t, err, "chunk 1 of 1")
}
