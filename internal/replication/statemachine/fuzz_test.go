package statemachine

import (
	"bytes"
	"encoding/json"
	"testing"

	"filberthook/internal/control/lease"
)

// FuzzApply applies a readable entry twice to two machines and compares their states.
// One of them is restored from a snapshot after each entry.
func FuzzApply(f *testing.F) {
	for _, cmd := range []Command{createTeam(0, "t1"), acquire("h1"), {Claim: json.RawMessage(`[]`)}} {
		data, err := cmd.Encode(ClockReading{Epoch: "a", Elapsed: 5})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"version":1,"fleet":{"change_id":"c","actor":{"bootstrap":true},"changes":[{"restore":{"backup":{"revision":3,"teams":{"a":{}}}}}]}}`))
	f.Add([]byte(`{"version":1,"lease":{"kind":"acquire","scope":"z","holder":{"host":"h","session":"s"},"ttl":9223372036854775807}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if cmd, err := decodeCommand(data); err != nil || cmd.Version > commandVersion {
			return
		}
		first, second := New(nil, &counter{}), New(nil, &counter{})
		for range 2 {
			first.Apply(1, data)
			second.Apply(1, data)
			second = restored(t, second)
		}
		if a, b := snapshotOf(t, first), snapshotOf(t, second); !bytes.Equal(a, b) {
			t.Errorf("the states differ:\n%s\n%s", a, b)
		}
		for _, l := range first.Leases() {
			if l.TTL > lease.MaxTTL {
				t.Errorf("a lease of %s was granted", l.TTL)
			}
		}
	})
}

func snapshotOf(t *testing.T, m *Machine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restored(t *testing.T, m *Machine) *Machine {
	t.Helper()
	next := New(nil, &counter{})
	if err := next.Restore(snapshotOf(t, m)); err != nil {
		t.Fatal(err)
	}
	return next
}
