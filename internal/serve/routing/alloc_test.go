//go:build !race

// Under the race detector sync.Pool drops entries at random, so this test counts
// allocations only without it.

package routing

import (
	"testing"
	"time"
)

func TestPickDoesNotAllocate(t *testing.T) {
	r := newRouter("z0", 1)
	cands := fleet(120)
	r.Prepare(cands)
	req := Request{Model: "m", PromptTokens: 8000, ExpectedOutput: 200, Prefixes: []uint64{1, 2, 3, 4}}
	r.Prefixes().Expect(0, "w0", req.Prefixes)
	allocs := testing.AllocsPerRun(200, func() {
		if _, err := r.Pick(time.Second, &req, cands); err != nil {
			t.Fatal(err)
		}
	})
	if allocs >= 1 {
		t.Errorf("%v allocations per decision, want none", allocs)
	}
}
