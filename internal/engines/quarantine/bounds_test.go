package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Guards against the many requests that wait at an engine, which leave no room for its blocks in what is kept
// of its end, and against evidence without a bound.
func TestRequestsOfAnEndLeaveRoomForBlocksAndAreBounded(t *testing.T) {
	l := New(func() float64 { return 0 })
	in := Instance{"i", 1}
	var last *Request
	for n := range 4 * maxSuspectsPerEnd {
		block := BlockOf("m", "shared")
		if n == 4*maxSuspectsPerEnd-1 {
			block = BlockOf("m", "bad")
		}
		last = l.Request([]Suspect{block, named(fmt.Sprint(n))})
		l.Lost(last, in, "", start)
	}
	l.Ended(last, in, start)
	other := New(func() float64 { return 0 })
	other.Learn(l.Report(start), start)
	for _, ledger := range []*Ledger{l, other} {
		e := ledger.ends[in]
		if !e.suspects[BlockOf("m", "bad")] || e.count[KindRequest] != maxSuspectsPerEnd || len(e.suspects) != e.count[KindRequest]+e.count[KindBlock] {
			t.Errorf("%d requests and %d blocks, bad one kept: %v", e.count[KindRequest], e.count[KindBlock], e.suspects[BlockOf("m", "bad")])
		}
	}
	data, err := json.Marshal(l.Report(start))
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 64*2*maxSuspectsPerEnd {
		t.Errorf("%d bytes to report of one end", len(data))
	}
	t.Logf("%d bytes to report of one end with %d requests", len(data), maxSuspectsPerEnd)
}
