package wire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

const roomForAll = 1 << 20

// Guards against interference coefficients that are stored with another value
// or another pair of images, and against an unreadable row that is accepted.
func TestInterferenceRoundTrip(t *testing.T) {
	coefficients := []msg.Interference{
		{ServingImage: "a", BestEffortImage: "b", Coefficient: 0.25}, {ServingImage: "a", BestEffortImage: "c", Coefficient: 3},
		{ServingImage: "c", BestEffortImage: "c", Coefficient: 1},
	}
	raw, encoded, err := EncodeInterference(coefficients, roomForAll)
	require.NoError(t, err)
	require.Equal(t, 3, encoded)
	decoded, err := DecodeInterference(raw)
	require.NoError(t, err)
	require.Equal(t, coefficients, decoded)
	_, err = DecodeInterference([]byte{0xff})
	require.ErrorIs(t, err, ErrMalformed)
	outside, err := proto.Marshal(&pb.HarmsRow{Images: []string{"a"}, Pairs: []*pb.HarmPair{{Serving: 0, Filler: 1}}})
	require.NoError(t, err)
	_, err = DecodeInterference(outside)
	require.ErrorIs(t, err, ErrMalformed)
}

// Guards against coefficients that are lost when a new program takes over.
func TestInterferenceOfAFormerProgramIsRead(t *testing.T) {
	raw, err := proto.Marshal(&pb.HarmsRow{Harms: []*pb.Harm{{Serving: "a", Filler: "b", Value: 2}}})
	require.NoError(t, err)
	decoded, err := DecodeInterference(raw)
	require.NoError(t, err)
	require.Equal(t, []msg.Interference{{ServingImage: "a", BestEffortImage: "b", Coefficient: 2}}, decoded)
}

// longNames returns the coefficients of all pairs of images with names of some 115 letters.
func longNames(serving, bestEffort int) []msg.Interference {
	var list []msg.Interference
	for s := range serving {
		for b := range bestEffort {
			list = append(list, msg.Interference{
				ServingImage: fmt.Sprintf("serving-%02d@%s", s, strings.Repeat("5", 104)), BestEffortImage: fmt.Sprintf("batch-%02d@%s", b, strings.Repeat("b", 104)),
				Coefficient: float64(1+s) / float64(1+b),
			})
		}
	}
	return list
}

// Guards against a row of coefficients that exceeds its limit because the names of the
// images are long: the table service refuses it with the whole batch.
func TestInterferenceOfLongNamesIsBounded(t *testing.T) {
	all := longNames(16, 30)
	raw, encoded, err := EncodeInterference(all, 48<<10)
	require.NoError(t, err)
	require.Equal(t, len(all), encoded)
	require.LessOrEqual(t, len(raw), 48<<10)
	for _, room := range []int{len(raw) - 1, len(raw), len(raw) + 1} {
		bounded, encoded, err := EncodeInterference(all, room)
		require.NoError(t, err)
		require.LessOrEqual(t, len(bounded), room)
		decoded, err := DecodeInterference(bounded)
		require.NoError(t, err)
		require.Len(t, decoded, encoded)
		if room < len(raw) {
			require.Equal(t, all[:len(all)-1], decoded, "the first ones are kept")
		} else {
			require.Equal(t, all, decoded)
		}
	}
}

// Guards against one image with a name that does not fit, which keeps the coefficients of
// the others from being stored.
func TestInterferenceOfAnOversizedNameIsLeftOut(t *testing.T) {
	huge := msg.Interference{ServingImage: strings.Repeat("x", 1000), BestEffortImage: "b", Coefficient: 9}
	small := msg.Interference{ServingImage: "a", BestEffortImage: "b", Coefficient: 1}
	raw, encoded, err := EncodeInterference([]msg.Interference{huge, small}, 100)
	require.NoError(t, err)
	require.Equal(t, 1, encoded)
	decoded, err := DecodeInterference(raw)
	require.NoError(t, err)
	require.Equal(t, []msg.Interference{small}, decoded)
}
