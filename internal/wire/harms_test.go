package wire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against harms that change or lose their pair in the store, and a row
// of another kind that is taken for them.
func TestHarmsRoundTrip(t *testing.T) {
	harms := []msg.Interference{{ServingImage: "a", BestEffortImage: "b", Coefficient: 0.25}, {ServingImage: "a", BestEffortImage: "c", Coefficient: 3}}
	raw, err := EncodeInterference(harms)
	require.NoError(t, err)
	back, err := DecodeInterference(raw)
	require.NoError(t, err)
	require.Equal(t, harms, back)
	_, err = DecodeInterference([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformed)
}
