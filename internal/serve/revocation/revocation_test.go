package revocation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const bound = 5 * time.Second

func TestDecisions(t *testing.T) {
	strict, open := Policy{Within: bound}, Policy{}
	known, unknown := Request{Known: true}, Request{}
	confirmed := func(age time.Duration, newest uint64) State { return State{Confirmed: true, Age: age, Newest: newest} }
	tests := []struct {
		name   string
		policy Policy
		r      Request
		s      State
		want   Verdict
	}{
		{"in touch", strict, known, confirmed(time.Second, 4), Serve},
		{"3 s after the loss of all control hosts", strict, known, confirmed(3900*time.Millisecond, 4), Serve},
		{"short of the bound", strict, known, confirmed(4600*time.Millisecond, 4), RejectForATime},
		{"just started", strict, known, State{}, RejectForATime},
		{"without a bound", open, known, State{}, Serve},
		{"unknown key", strict, unknown, confirmed(time.Second, 4), RejectKey},
		{"unknown key, without a bound", open, unknown, confirmed(time.Second, 4), RejectKey},
		{"unknown key, perhaps of a configuration that has not arrived", strict, unknown, confirmed(2500*time.Millisecond, 4), RejectForATime},
		{"unknown key, perhaps of a configuration that is being fetched", strict, unknown, confirmed(time.Second, 5), RejectForATime},
		{"unknown key, just started", open, unknown, State{}, RejectForATime},
		{"public", strict, Request{Public: true}, State{}, ServeNobody},
		{"public, with a key", strict, Request{Public: true, Known: true}, confirmed(0, 4), Serve},
		{"public, with a key that may have been taken away", strict, Request{Public: true, Known: true}, confirmed(bound, 4), ServeNobody},
	}
	for _, tt := range tests {
		if got := tt.policy.Decide(tt.r, 4, tt.s); got != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, got, tt.want)
		}
	}
}

// A confirmation of version 5 says nothing about version 4, which is still in force here while
// version 5 is fetched; earlier confirmations of version 4 still hold.
func TestNewerVersionDoesNotEndEarlierConfirmations(t *testing.T) {
	var c Confirmations
	c.Confirm(4, 10*time.Second)
	c.Confirm(5, 12*time.Second)
	if s := c.State(4, 13*time.Second); s.Age != 3*time.Second || !s.Confirmed || s.Newest != 5 {
		t.Errorf("version 4: %+v", s)
	}
	if s := c.State(5, 13*time.Second); s.Age != time.Second {
		t.Errorf("version 5: %+v", s)
	}
	if s := c.State(3, 13*time.Second); s.Confirmed {
		t.Errorf("version 3: %+v, want none", s)
	}
}

// Whatever answers arrive, in any order and however late, a key works nowhere once the bound has
// passed since the version without it. Versions grow, and confirmations are true.
func TestNoKeyWorksBeyondTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(0, 20000), 1, 6).Draw(t, "moments of new versions in ms")
		inForce := func(ms int) (version uint64) {
			for _, at := range times {
				if at <= ms {
					version++
				}
			}
			return version
		}
		var c Confirmations
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 20000), 0, 30).Draw(t, "moments that are confirmed, as answers arrive") {
			c.Confirm(inForce(ms), time.Duration(ms)*time.Millisecond)
		}
		now := rapid.IntRange(0, 30000).Draw(t, "now in ms")
		own := rapid.Uint64Range(0, uint64(len(times))).Draw(t, "version in force here")
		s := c.State(own, time.Duration(now)*time.Millisecond)
		if (Policy{Within: bound}).Decide(Request{Known: true}, own, s) == Serve && inForce(now-int(bound.Milliseconds())) > own {
			t.Fatalf("a key of version %d works at %d ms, new versions at %v", own, now, times)
		}
	})
}
