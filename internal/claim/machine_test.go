package claim

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func testLimits() Limits {
	return Limits{
		MaxClaims:       4,
		MaxAnswerBytes:  16,
		MaxStoredBytes:  24,
		MaxHoldMillis:   1000,
		RetentionMillis: 10_000,
		WithdrawnMillis: 500,
		MaxStepMillis:   2000,
	}
}

func key(k string) Key { return Key{Team: "t", Endpoint: "booking", Idempotency: k} }

func claimBy(attempt, k string) Command {
	return Command{Kind: KindClaim, Key: key(k), Attempt: attempt, Entry: "e1", BodyHash: "h", HoldMillis: 500}
}

func completeBy(attempt, k, body string) Command {
	return Command{Kind: KindComplete, Key: key(k), Attempt: attempt, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}}
}

func releaseBy(attempt, k string) Command {
	return Command{Kind: KindRelease, Key: key(k), Attempt: attempt}
}

func expireAt(now int64) Command { return Command{Kind: KindExpire, NowMillis: now} }

func lookup(k string) Command { return Command{Kind: KindLookup, Key: key(k)} }

func TestMachine(t *testing.T) {
	other := claimBy("b", "k")
	other.BodyHash = "other"
	noHold := claimBy("a", "k")
	noHold.HoldMillis = 0
	start := expireAt(1000)
	tests := []struct {
		name string
		cmds []Command
		want Status // of the last command
	}{
		{"first claim", []Command{claimBy("a", "k")}, Granted},
		{"same attempt proposes again", []Command{claimBy("a", "k"), claimBy("a", "k")}, Granted},
		{"resend while running", []Command{claimBy("a", "k"), claimBy("b", "k")}, InProgress},
		{"resend after the answer", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), claimBy("b", "k")}, Stored},
		{"own late proposal after the answer", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), claimBy("a", "k")}, Stored},
		{"other body", []Command{claimBy("a", "k"), other}, KeyReused},
		{"other body after the answer", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), other}, KeyReused},
		{"resend after release", []Command{claimBy("a", "k"), releaseBy("a", "k"), claimBy("b", "k")}, Granted},
		{"release by a stranger", []Command{claimBy("a", "k"), releaseBy("b", "k")}, NotHeld},
		{"stranger's release frees nothing", []Command{claimBy("a", "k"), releaseBy("b", "k"), claimBy("c", "k")}, InProgress},
		{"claim that arrives after its release", []Command{releaseBy("a", "k"), claimBy("a", "k")}, Withdrawn},
		{"release after the answer", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), releaseBy("a", "k")}, NotHeld},
		{"complete by a stranger", []Command{claimBy("a", "k"), completeBy("b", "k", "x")}, NotHeld},
		{"complete after release", []Command{claimBy("a", "k"), releaseBy("a", "k"), completeBy("a", "k", "x")}, NotHeld},
		{"complete twice", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), completeBy("a", "k", "y")}, Done},
		{"overdue claim", []Command{start, claimBy("a", "k"), expireAt(1500), claimBy("b", "k")}, Unknown},
		{"holder proposes again when overdue", []Command{start, claimBy("a", "k"), expireAt(1500), claimBy("a", "k")}, Unknown},
		{"late answer of an overdue claim", []Command{start, claimBy("a", "k"), expireAt(1500), completeBy("a", "k", "x"), claimBy("b", "k")}, Stored},
		{"late release of an overdue claim", []Command{start, claimBy("a", "k"), expireAt(1500), releaseBy("a", "k"), claimBy("b", "k")}, Granted},
		{"claim before the clock is set", []Command{claimBy("a", "k"), expireAt(1_000_000), claimBy("b", "k")}, InProgress},
		{"clock does not go back", []Command{start, claimBy("a", "k"), expireAt(1400), expireAt(1), expireAt(1500), claimBy("b", "k")}, Unknown},
		{"within retention", []Command{start, claimBy("a", "k"), expireAt(3000), expireAt(5000), claimBy("b", "k")}, Unknown},
		{"a jump of the clock does not end retention", []Command{start, claimBy("a", "k"), expireAt(1 << 40), claimBy("b", "k")}, Unknown},
		{"after retention", []Command{start, claimBy("a", "k"), expireAt(3000), expireAt(5000), expireAt(7000), expireAt(9000), expireAt(11000), claimBy("b", "k")}, Granted},
		{"withdrawal is forgotten in time", []Command{start, releaseBy("a", "k"), expireAt(1500), claimBy("a", "k")}, Granted},
		{"limit of claims", []Command{claimBy("a", "1"), claimBy("b", "2"), claimBy("c", "3"), claimBy("d", "4"), claimBy("e", "5")}, Full},
		{"resend at the limit", []Command{claimBy("a", "1"), claimBy("b", "2"), claimBy("c", "3"), claimBy("d", "4"), claimBy("e", "1")}, InProgress},
		{"lookup of nothing", []Command{lookup("k")}, NotFound},
		{"lookup while running", []Command{claimBy("a", "k"), lookup("k")}, InProgress},
		{"lookup of an answer", []Command{claimBy("a", "k"), completeBy("a", "k", "x"), lookup("k")}, Stored},
		{"claim without hold", []Command{noHold}, Invalid},
		{"expire without time", []Command{expireAt(-1)}, Invalid},
		{"unknown kind", []Command{{Kind: "burn"}}, Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			results := NewMachine(testLimits()).ApplyAll(tt.cmds)
			if got := results[len(results)-1].Status; got != tt.want {
				t.Errorf("status %q, want %q", got, tt.want)
			}
		})
	}
}

func TestAnswersAreReplayedOrOnlyTheirFactIsKept(t *testing.T) {
	m := NewMachine(testLimits())
	m.ApplyAll([]Command{
		claimBy("a", "1"), completeBy("a", "1", "0123456789abcdef"),
		claimBy("b", "2"), completeBy("b", "2", "longer than sixteen bytes"),
		claimBy("c", "3"), completeBy("c", "3", "beyond total"),
	})
	want := []*StoredAnswer{
		{Status: 200, Body: []byte("0123456789abcdef")},
		{Status: 200, Dropped: true},
		{Status: 200, Dropped: true},
	}
	for i, k := range []string{"1", "2", "3"} {
		if diff := cmp.Diff(want[i], m.Apply(lookup(k)).Answer); diff != "" {
			t.Errorf("answer of key %s (-want +got):\n%s", k, diff)
		}
	}
	if m.StoredBytes() != 16 {
		t.Errorf("%d bytes charged, want 16", m.StoredBytes())
	}
}

func TestRestoreRefusesBadSnapshots(t *testing.T) {
	m := NewMachine(testLimits())
	m.Apply(claimBy("a", "k"))
	for _, bad := range []string{"", "{", `{"claims":[null]}`, `{"claims":[{"key":{"key":"k"}},{"key":{"key":"k"}}]}`} {
		if err := m.Restore([]byte(bad)); err == nil {
			t.Errorf("snapshot %q was accepted", bad)
		}
	}
	if m.Len() != 1 {
		t.Error("a refused snapshot changed the state")
	}
}

// drawCommand draws one command over few keys and attempts, so that they meet.
func drawCommand(t *rapid.T, now *int64) Command {
	k := rapid.SampledFrom([]string{"1", "2", "3", "4", "5"}).Draw(t, "key")
	attempt := fmt.Sprintf("%s-%d", k, rapid.IntRange(0, 3).Draw(t, "attempt"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		return claimBy(attempt, k)
	case 2:
		return completeBy(attempt, k, rapid.SampledFrom([]string{"x", "0123456789", "much longer than the limit"}).Draw(t, "body"))
	case 3, 4:
		return releaseBy(attempt, k)
	case 5:
		return lookup(k)
	default:
		*now += rapid.Int64Range(-100, 3000).Draw(t, "step")
		return expireAt(*now)
	}
}

// TestRandomCommands checks, for random commands in any order, that a replica
// restored at any point agrees with one that was not, that memory stays within
// the limits, and that a key has at most one attempt that could have run.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		limits.RetentionMillis = 1 << 40
		first, second := NewMachine(limits), NewMachine(limits)
		now := int64(1)
		granted := map[Key]map[string]bool{} // attempts granted and not released since
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			cmd := drawCommand(t, &now)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				second = restored(t, second, limits)
			}
			got, other := first.Apply(cmd), second.Apply(cmd)
			if diff := cmp.Diff(got, other); diff != "" {
				t.Fatalf("replicas differ after %+v:\n%s", cmd, diff)
			}
			checkBounds(t, first, limits)
			checkOneHolder(t, granted, cmd, got)
		}
	})
}

func restored(t *rapid.T, m *Machine, limits Limits) *Machine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := NewMachine(limits)
	if err := fresh.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := fresh.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatal("the snapshot of a restored machine differs")
	}
	return fresh
}

func checkBounds(t *rapid.T, m *Machine, limits Limits) {
	if m.Len() > limits.MaxClaims || m.StoredBytes() > limits.MaxStoredBytes {
		t.Fatalf("%d claims and %d bytes exceed the limits", m.Len(), m.StoredBytes())
	}
	if want := m.Len() + len(m.withdrawn); len(m.timers) != want {
		t.Fatalf("%d timers, want %d", len(m.timers), want)
	}
}

func checkOneHolder(t *rapid.T, granted map[Key]map[string]bool, cmd Command, res Result) {
	if cmd.Kind == KindRelease && res.Status == Done {
		delete(granted[cmd.Key], cmd.Attempt)
	}
	if cmd.Kind != KindClaim || res.Status != Granted {
		return
	}
	if granted[cmd.Key] == nil {
		granted[cmd.Key] = map[string]bool{}
	}
	granted[cmd.Key][cmd.Attempt] = true
	if len(granted[cmd.Key]) > 1 {
		t.Fatalf("key %s granted to %v", cmd.Key, granted[cmd.Key])
	}
}
