package placement

import (
	"testing"
	"time"
)

func TestInstanceThatIsNeverReachedStaysEjected(t *testing.T) {
	f := fleetOf(0, 2)
	p := promptWithPrefix("s", 0, 100)
	for range 40 {
		f.BeginPrompt("d1", "", p, 100, start) // the other engine is busy
	}
	for n := range 100 {
		now := start.Add(time.Duration(n) * maxEjection)
		sent := f.BeginPrompt("d0", "", p, 100, now)
		f.EndPrompt(sent, NoContact, now)
		for range 20 {
			plan, err := f.Place(p, now.Add(zoneAvoidance+firstEjection))
			if n >= 4 && (err != nil || plan.Decode.ID != "d1") {
				t.Fatalf("after %d failures in a row: %q, error %v; want the other engine", n+1, plan.Decode.ID, err)
			}
		}
	}
}
