package snapshot

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzDecode decodes arbitrary files with a valid checksum. A decoded snapshot must
// survive a round trip.
func FuzzDecode(f *testing.F) {
	head, _ := frame(snap(7))
	f.Add(bytes.Join([][]byte{head, snap(7).Data}, nil))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, body []byte) {
		first, err := decode(binary.LittleEndian.AppendUint64(bytes.Clone(body), xxhash.Sum64(body)))
		if err != nil {
			return
		}
		head, tail := frame(first)
		second, err := decode(bytes.Join([][]byte{head, first.Data, tail}, nil))
		if err != nil {
			t.Fatalf("encoded snapshot does not decode: %v", err)
		}
		if diff := cmp.Diff(first, second, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("round trip (-want +got):\n%s", diff)
		}
	})
}
