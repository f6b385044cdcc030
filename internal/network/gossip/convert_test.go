package gossip

import (
	"math"
	"testing"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
)

func TestPeersDoNotSeeAnotherLeaseThanWasAskedFor(t *testing.T) {
	const longest = math.MaxUint32 / 1000.0 // seconds
	for asked, want := range map[float64]float64{2: 2, 0: 0, -1: 0, -1e300: 0, 4_294_968: longest, 1e300: longest} {
		r := &directory.Record{Announcement: engineapi.Announcement{LeaseSeconds: asked}}
		if got := fromUpdate(fullUpdate(0, r)).LeaseSeconds; got != want {
			t.Errorf("a lease of %v s asked for, peers see %v s, want %v s", asked, got, want)
		}
	}
}
