package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func testLimits() Limits {
	return Limits{
		MaxClaims:          4,
		MaxAnswerBytes:     16,
		MaxStoredBytes:     24,
		MaxHold:            time.Second,
		Retention:          10 * time.Second,
		WithdrawnRetention: 500 * time.Millisecond,
	}
}

func key(k string) Key { return Key{Team: "t", Endpoint: "booking", Idempotency: k} }

func claimBy(attempt, k string) Command {
	return Command{Kind: KindClaim, Key: key(k), Attempt: attempt, Entry: "e1", BodyHash: "h", Hold: 500 * time.Millisecond}
}

func completeBy(attempt, k, body string) Command {
	return Command{Kind: KindComplete, Key: key(k), Attempt: attempt, Answer: &StoredAnswer{Status: 200, Body: []byte(body)}}
}

func releaseBy(attempt, k string) Command {
	return Command{Kind: KindRelease, Key: key(k), Attempt: attempt}
}

// step is a command and the log time at which it is applied.
type step struct {
	at  time.Duration
	cmd Command
}

// atStart returns steps that apply cmds at time zero.
func atStart(cmds ...Command) []step {
	steps := make([]step, len(cmds))
	for i, cmd := range cmds {
		steps[i].cmd = cmd
	}
	return steps
}

func applyAll(m *Machine, steps []step) (last Result) {
	for _, s := range steps {
		last = m.Apply(s.at, s.cmd)
	}
	return last
}

func abandonBy(attempt, k string) Command {
	return Command{Kind: KindAbandon, Key: key(k), Attempt: attempt}
}

func lookup(k string) Command { return Command{Kind: KindLookup, Key: key(k)} }

func TestMachine(t *testing.T) {
	other := claimBy("b", "k")
	other.BodyHash = "other"
	noHold := claimBy("a", "k")
	noHold.Hold = 0
	const ms = time.Millisecond
	tests := []struct {
		name  string
		steps []step
		want  Status // of the last command
	}{
		{"first claim", atStart(claimBy("a", "k")), Granted},
		{"same attempt proposes again", atStart(claimBy("a", "k"), claimBy("a", "k")), Granted},
		{"resend while running", atStart(claimBy("a", "k"), claimBy("b", "k")), InProgress},
		{"resend after the answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), claimBy("b", "k")), Stored},
		{"holder proposes again after the answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), claimBy("a", "k")), Stored},
		{"other body", atStart(claimBy("a", "k"), other), KeyReused},
		{"other body after the answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), other), KeyReused},
		{"resend after release", atStart(claimBy("a", "k"), releaseBy("a", "k"), claimBy("b", "k")), Granted},
		{"release by another attempt", atStart(claimBy("a", "k"), releaseBy("b", "k")), NotHeld},
		{"release by another attempt keeps the claim", atStart(claimBy("a", "k"), releaseBy("b", "k"), claimBy("c", "k")), InProgress},
		{"claim that arrives after its release", atStart(releaseBy("a", "k"), claimBy("a", "k")), Withdrawn},
		{"release after the answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), releaseBy("a", "k")), NotHeld},
		{"complete by another attempt", atStart(claimBy("a", "k"), completeBy("b", "k", "x")), NotHeld},
		{"complete after release", atStart(claimBy("a", "k"), releaseBy("a", "k"), completeBy("a", "k", "x")), NotHeld},
		{"complete twice", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), completeBy("a", "k", "y")), Done},
		{"resend after abandon", atStart(claimBy("a", "k"), abandonBy("a", "k"), claimBy("b", "k")), Unknown},
		{"answer after abandon", atStart(claimBy("a", "k"), abandonBy("a", "k"), completeBy("a", "k", "x"), claimBy("b", "k")), Stored},
		{"abandon by another attempt", atStart(claimBy("a", "k"), abandonBy("b", "k")), NotHeld},
		{"abandon after the answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), abandonBy("a", "k")), NotHeld},
		{"overdue claim", []step{{0, claimBy("a", "k")}, {500 * ms, claimBy("b", "k")}}, Unknown},
		{"1 ms before overdue", []step{{0, claimBy("a", "k")}, {499 * ms, claimBy("b", "k")}}, InProgress},
		{"holder proposes again when overdue", []step{{0, claimBy("a", "k")}, {500 * ms, claimBy("a", "k")}}, Unknown},
		{"late answer of an overdue claim", []step{{0, claimBy("a", "k")}, {500 * ms, completeBy("a", "k", "x")}, {500 * ms, claimBy("b", "k")}}, Stored},
		{"late release of an overdue claim", []step{{0, claimBy("a", "k")}, {500 * ms, releaseBy("a", "k")}, {500 * ms, claimBy("b", "k")}}, Granted},
		{"unknown within retention", []step{{0, claimBy("a", "k")}, {9999 * ms, claimBy("b", "k")}}, Unknown},
		{"stored within retention", []step{{0, claimBy("a", "k")}, {0, completeBy("a", "k", "x")}, {9999 * ms, claimBy("b", "k")}}, Stored},
		{"after retention", []step{{0, claimBy("a", "k")}, {10_000 * ms, claimBy("b", "k")}}, Granted},
		{"withdrawal expires", []step{{0, releaseBy("a", "k")}, {500 * ms, claimBy("a", "k")}}, Granted},
		{"limit of claims", atStart(claimBy("a", "1"), claimBy("b", "2"), claimBy("c", "3"), claimBy("d", "4"), claimBy("e", "5")), Full},
		{"resend at the limit", atStart(claimBy("a", "1"), claimBy("b", "2"), claimBy("c", "3"), claimBy("d", "4"), claimBy("e", "1")), InProgress},
		{"lookup of an unknown key", atStart(lookup("k")), NotFound},
		{"lookup while running", atStart(claimBy("a", "k"), lookup("k")), InProgress},
		{"lookup of an answer", atStart(claimBy("a", "k"), completeBy("a", "k", "x"), lookup("k")), Stored},
		{"claim without hold", atStart(noHold), Invalid},
		{"unknown kind", atStart(Command{Kind: "burn"}), Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := applyAll(NewMachine(testLimits()), tt.steps).Status; got != tt.want {
				t.Errorf("status %q, want %q", got, tt.want)
			}
		})
	}
}

func TestOversizedAnswersAreStoredWithoutBody(t *testing.T) {
	m := NewMachine(testLimits())
	applyAll(m, atStart(
		claimBy("a", "1"), completeBy("a", "1", "0123456789abcdef"),
		claimBy("b", "2"), completeBy("b", "2", "longer than sixteen bytes"),
		claimBy("c", "3"), completeBy("c", "3", "beyond total"),
	))
	want := []*StoredAnswer{
		{Status: 200, Body: []byte("0123456789abcdef")},
		{Status: 200, Dropped: true},
		{Status: 200, Dropped: true},
	}
	for i, k := range []string{"1", "2", "3"} {
		if diff := cmp.Diff(want[i], m.Apply(0, lookup(k)).Answer); diff != "" {
			t.Errorf("answer of key %s (-want +got):\n%s", k, diff)
		}
	}
	if m.StoredBytes() != 16 {
		t.Errorf("%d bytes stored, want 16", m.StoredBytes())
	}
}

func TestRestoreRefusesBadSnapshots(t *testing.T) {
	m := NewMachine(testLimits())
	m.Apply(0, claimBy("a", "k"))
	for _, bad := range []string{"", "{", `{"claims":[null]}`, `{"claims":[{"key":{"key":"k"}},{"key":{"key":"k"}}]}`} {
		if err := m.Restore([]byte(bad)); err == nil {
			t.Errorf("snapshot %q was accepted", bad)
		}
	}
	if m.Len() != 1 {
		t.Error("a refused snapshot changed the state")
	}
}

// drawCommand draws one command from few keys and attempts, so that they conflict often.
func drawCommand(t *rapid.T) Command {
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
		return abandonBy(attempt, k)
	default:
		return lookup(k)
	}
}

// TestRandomCommands applies random commands to two replicas, one of which is
// restored from a snapshot at random points. It checks that both return the same
// results, that memory stays within the limits, and that at most one attempt per
// key could have been dispatched.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		limits.Retention = 1000 * time.Hour
		first, second := NewMachine(limits), NewMachine(limits)
		var now time.Duration
		granted := map[Key]map[string]bool{} // attempts granted and not released since
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			cmd := drawCommand(t)
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 100, 600}).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				second = snapshotAndRestore(t, second, limits)
			}
			got, other := first.Apply(now, cmd), second.Apply(now, cmd)
			if diff := cmp.Diff(got, other); diff != "" {
				t.Fatalf("replicas disagree on %+v:\n%s", cmd, diff)
			}
			checkLimits(t, first, limits)
			checkOneHolder(t, granted, cmd, got)
		}
	})
}

func snapshotAndRestore(t *rapid.T, m *Machine, limits Limits) *Machine {
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

func checkLimits(t *rapid.T, m *Machine, limits Limits) {
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

func FuzzReplica(f *testing.F) {
	f.Add([]byte(`{"commands":[{"kind":"claim","key":{"team":"t","key":"k"},"attempt":"a","body_hash":"h","hold":5}]}`))
	f.Add([]byte(`{"commands":[{"kind":"complete","answer":{"status":200,"body":"eA=="}},{"kind":"release"}]}`))
	f.Add([]byte(`{"commands":null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := NewReplica(testLimits()), NewReplica(testLimits())
		if got, other := a.Apply(0, data), b.Apply(0, data); string(got) != string(other) {
			t.Fatalf("replicas differ: %s and %s", got, other)
		}
		snap, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Restore(snap); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkApplyClaimAndComplete(b *testing.B) {
	m := NewMachine(DefaultLimits())
	answer := &StoredAnswer{Status: 200, Body: make([]byte, 512)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := Key{Team: "t", Endpoint: "booking", Idempotency: fmt.Sprint(i)}
		attempt := fmt.Sprint("a", i)
		now := time.Duration(i) * time.Millisecond
		m.Apply(now, Command{Kind: KindClaim, Key: k, Attempt: attempt, BodyHash: "h", Hold: time.Minute})
		m.Apply(now, Command{Kind: KindComplete, Key: k, Attempt: attempt, Answer: answer})
	}
}
