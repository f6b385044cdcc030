package controlhost

import (
	"fmt"
	"testing"
	"time"
)

// The number of entry hosts divides what they have in common, so a number that is too low
// is worse than none: a control host tells none until all hosts had time to find it.
func TestNumberOfHostsIsUnknownAfterAStart(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	w := newWatchers(start)
	for n := range 294 {
		at := start.Add(time.Duration(n) * 5 * time.Millisecond)
		if got := w.recordRequest(fmt.Sprint("e-", n), 0, at); got != 0 {
			t.Fatalf("%v after the start: %d hosts, want 0 for unknown", at.Sub(start), got)
		}
	}
	if got := w.recordRequest("e-0", 0, start.Add(watcherTTL)); got != 294 {
		t.Errorf("%d hosts after %v, want 294", got, watcherTTL)
	}
}
