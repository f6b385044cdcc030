package document

import "testing"

// Whatever a host sends, unpacking ends with an error or a document within the limit.
func FuzzUnpack(f *testing.F) {
	whole, err := Pack(Document{Version: 7, Body: []byte(`{"version":7}`)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Deflate)
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		d, err := Packed{Version: 1, Deflate: packed}.Unpack()
		if err == nil && len(d.Body) > MaxBytes {
			t.Errorf("%d bytes", len(d.Body))
		}
	})
}
