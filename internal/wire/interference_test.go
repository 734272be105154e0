package wire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// Guards against interference coefficients that are stored with another value
// or another pair of images, and against an unreadable row that is accepted.
func TestInterferenceRoundTrip(t *testing.T) {
	coefficients := []msg.Interference{{ServingImage: "a", BestEffortImage: "b", Coefficient: 0.25}, {ServingImage: "a", BestEffortImage: "c", Coefficient: 3}}
	raw, err := EncodeInterference(coefficients)
	require.NoError(t, err)
	decoded, err := DecodeInterference(raw)
	require.NoError(t, err)
	require.Equal(t, coefficients, decoded)
	_, err = DecodeInterference([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformed)
}
