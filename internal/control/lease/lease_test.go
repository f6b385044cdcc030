package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var (
	h1 = Holder{Host: "h1", Session: "s1"}
	h2 = Holder{Host: "h2", Session: "s2"}
)

func acquire(h Holder) Command {
	return Command{Kind: Acquire, Scope: "bio", Holder: h, TTL: time.Second}
}
func renew(h Holder, fence uint64) Command {
	return Command{Kind: Renew, Scope: "bio", Holder: h, Fence: fence, TTL: time.Second}
}
func release(h Holder, fence uint64) Command {
	return Command{Kind: Release, Scope: "bio", Holder: h, Fence: fence}
}

func TestLease(t *testing.T) {
	type step struct {
		at     time.Duration
		cmd    Command
		fence  uint64
		settle bool
		code   Code // empty when accepted
	}
	restarted := Holder{Host: "h1", Session: "other"}
	tests := []struct {
		name  string
		steps []step
	}{
		{"second holder waits for the end", []step{
			{0, acquire(h1), 1, false, ""},
			{999 * time.Millisecond, acquire(h2), 0, false, CodeHeld},
			{time.Second, acquire(h2), 2, true, ""},
		}},
		{"renewal keeps the fence and the others out", []step{
			{0, acquire(h1), 1, false, ""},
			{900 * time.Millisecond, renew(h1, 1), 1, false, ""},
			{1800 * time.Millisecond, acquire(h2), 0, false, CodeHeld},
		}},
		{"renewal after the end is refused", []step{
			{0, acquire(h1), 1, false, ""},
			{time.Second, renew(h1, 1), 0, false, CodeLost},
			{time.Second, acquire(h1), 2, true, ""},
		}},
		{"renewal of an old fence is refused", []step{
			{0, acquire(h1), 1, false, ""},
			{time.Second, acquire(h2), 2, true, ""},
			{time.Second, renew(h1, 1), 0, false, CodeLost},
			{time.Second, renew(h2, 1), 0, false, CodeLost},
		}},
		{"resent acquire gets the same fence", []step{
			{0, acquire(h1), 1, false, ""},
			{time.Millisecond, acquire(h1), 1, false, ""},
		}},
		{"resent acquire after an expired lease still settles", []step{
			{0, acquire(h1), 1, false, ""},
			{time.Second, acquire(h2), 2, true, ""},
			{time.Second, acquire(h2), 2, true, ""},
		}},
		{"released lease is free at once", []step{
			{0, acquire(h1), 1, false, ""},
			{1, release(h1, 1), 1, false, ""},
			{2, acquire(h2), 2, false, ""},
		}},
		{"restarted process waits for its former session", []step{
			{0, acquire(h1), 1, false, ""},
			{1, acquire(restarted), 0, false, CodeHeld},
			{1, release(restarted, 1), 0, false, CodeLost},
		}},
		{"duration out of range", []step{
			{0, Command{Kind: Acquire, Scope: "bio", Holder: h1, TTL: time.Hour}, 0, false, CodeInvalid},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			for i, s := range tt.steps {
				r := table.Apply(s.at, s.cmd)
				var code Code
				if r.Err != nil {
					code = r.Err.Code
				}
				if r.Fence != s.fence || r.Settle != s.settle || code != s.code {
					t.Fatalf("step %d gave %+v, want fence %d settle %t code %q", i, r, s.fence, s.settle, s.code)
				}
			}
		})
	}
}

// TestOneHolder applies random commands with restarts in between and checks that
// no two holders' grants overlap and that fencing numbers never decrease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		var now, until time.Duration
		var owner Holder
		var fence uint64
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			h := rapid.SampledFrom([]Holder{h1, h2}).Draw(t, "holder")
			f := rapid.Uint64Range(0, fence+1).Draw(t, "fence")
			cmd := rapid.SampledFrom([]Command{acquire(h), renew(h, f), release(h, f)}).Draw(t, "cmd")
			r := table.Apply(now, cmd)
			if r.Err == nil && h != owner && now < until {
				t.Fatalf("%v accepted at %s while %v holds until %s", cmd, now, owner, until)
			}
			if r.Err == nil && r.Fence < fence {
				t.Fatalf("fence went from %d to %d", fence, r.Fence)
			}
			if r.Err == nil {
				owner, fence, until = h, r.Fence, max(until, now+cmd.TTL)
			}
			if r.Err == nil && cmd.Kind == Release {
				until = now
			}
			table = reencode(t, table)
		}
	})
}

// reencode returns the table after a restart: encoded and decoded again.
func reencode(t *rapid.T, table *Table) *Table {
	data, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(table.leases, again.leases); diff != "" {
		t.Fatal(diff)
	}
	return again
}
