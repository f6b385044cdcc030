package controlapi

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/instances"
)

// largest returns so many changes of the greatest size.
func largest(n int) Changes {
	out := make(Changes, n)
	for i := range out {
		out[i] = instances.Change{Instance: instances.Instance{
			ID: fmt.Sprint("i-", i), Born: 1, Endpoint: "lm", Address: "10.0.0.1:80", Slots: 1, Models: make([]instances.Model, instances.MaxModels),
		}}
		for m := range out[i].Models {
			out[i].Models[m] = instances.Model{Name: strings.Repeat("<", instances.MaxNameBytes), Version: math.MinInt64}
		}
	}
	return out
}

func TestPackedChangesAreReadAsTheyWere(t *testing.T) {
	full := instances.MaxPageBytes / largest(1)[0].EncodedBytes()
	for _, n := range []int{0, 1, full} {
		want := largest(n)
		r := WatchResponse{Changes: want}
		if err := r.Pack(); err != nil {
			t.Fatal(err)
		}
		if n > 0 && len(r.Packed) == 0 {
			t.Errorf("%d large changes are not compressed", n)
		}
		if err := r.Unpack(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, r.Changes); diff != "" {
			t.Errorf("%d changes (-want +got):\n%.500s", n, diff)
		}
	}
}

func TestPackedChangesOfAnyContentAreRefused(t *testing.T) {
	var endless bytes.Buffer
	w, err := flate.NewWriter(&endless, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		if _, err := w.Write(bytes.Repeat([]byte(" "), instances.MaxPageBytes)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{"no compression": []byte("text"), "more than a page": endless.Bytes()} {
		r := WatchResponse{Packed: packed}
		var refused *PackedError
		if err := r.Unpack(); !errors.As(err, &refused) {
			t.Errorf("%s: error %v, want a PackedError", name, err)
		}
	}
}
