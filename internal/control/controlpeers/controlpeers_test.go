package controlpeers

import (
	"testing"

	"filberthook/internal/network/peer"

	"github.com/google/go-cmp/cmp"
)

func TestUpdate(t *testing.T) {
	cases := []struct {
		name      string
		addresses []string
		want      []string
	}{
		{"the same in another order", []string{"c", "a", "b"}, []string{"a", "b", "c"}},
		{"one replaced", []string{"a", "x", "c"}, []string{"a", "x", "c"}},
		{"all replaced", []string{"x", "y", "z"}, []string{"x", "y", "z"}},
		{"one more than slots", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}},
		{"one fewer", []string{"b", "c"}, []string{"a", "b", "c"}},
		{"no addresses", nil, []string{"a", "b", "c"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := New([]string{"a", "b", "c"}, peer.Options{})
			defer s.Close()
			s.Update(tc.addresses)
			var got []string
			for _, slot := range s.Slots() {
				got = append(got, slot.Address())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("addresses (-want +got):\n%s", diff)
			}
		})
	}
}
