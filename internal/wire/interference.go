package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/wire/pb"
)

// Numbers of the fields of HarmsRow in proto/fleet.proto.
const (
	interferenceImagesField = 2
	interferencePairsField  = 3
)

// interferenceRow collects interference coefficients for a row. Each image is named once.
type interferenceRow struct {
	row     pb.HarmsRow
	indexes map[string]uint32 // of the images in the row
	size    int               // of the encoded row, bytes
}

// add adds a coefficient if the row is not larger than maxBytes with it. It reports
// whether it did.
func (r *interferenceRow) add(i msg.Interference, maxBytes int) bool {
	images, size := len(r.row.Images), r.size
	pair := &pb.HarmPair{Serving: r.index(i.ServingImage), Filler: r.index(i.BestEffortImage), Value: i.Coefficient}
	r.size += protowire.SizeTag(interferencePairsField) + protowire.SizeBytes(proto.Size(pair))
	if r.size > maxBytes {
		for _, image := range r.row.Images[images:] {
			delete(r.indexes, image)
		}
		r.row.Images, r.size = r.row.Images[:images], size
		return false
	}
	r.row.Pairs = append(r.row.Pairs, pair)
	return true
}

// index returns the index of an image, which it adds to the row if it is not there.
func (r *interferenceRow) index(image string) uint32 {
	index, known := r.indexes[image]
	if !known {
		index = uint32(len(r.row.Images))
		r.indexes[image] = index
		r.row.Images = append(r.row.Images, image)
		r.size += protowire.SizeTag(interferenceImagesField) + protowire.SizeBytes(len(image))
	}
	return index
}

// EncodeInterference encodes interference coefficients of an owner for the store, in at
// most maxBytes. It leaves out those that do not fit, the first ones of the list have
// precedence, and returns the number of those that it has encoded.
func EncodeInterference(coefficients []msg.Interference, maxBytes int) (raw []byte, encoded int, err error) {
	r := interferenceRow{indexes: map[string]uint32{}}
	for _, i := range coefficients {
		if r.add(i, maxBytes) {
			encoded++
		}
	}
	raw, err = proto.Marshal(&r.row)
	return raw, encoded, err
}

// DecodeInterference is the inverse of EncodeInterference. It reads rows of former
// programs too, which name both images in each coefficient. Its error is ErrMalformed.
func DecodeInterference(raw []byte) ([]msg.Interference, error) {
	var p pb.HarmsRow
	if err := proto.Unmarshal(raw, &p); err != nil {
		return nil, malformed("interference coefficients: %v", err)
	}
	list := mapSlice(p.GetHarms(), interferenceFromProto)
	images := p.GetImages()
	for _, pair := range p.GetPairs() {
		if max(pair.GetServing(), pair.GetFiller()) >= uint32(len(images)) {
			return nil, malformed("interference coefficients: pair of images %d and %d of %d", pair.GetServing(), pair.GetFiller(), len(images))
		}
		list = append(list, msg.Interference{
			ServingImage: images[pair.GetServing()], BestEffortImage: images[pair.GetFiller()], Coefficient: pair.GetValue(),
		})
	}
	return list, nil
}
