package statemachine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/control/lease"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/invariant"
)

// recorder is an Observer that records all calls.
type recorder struct {
	revisions []uint64
	replaced  int
	fences    []uint64
}

func (r *recorder) ConfigurationChanged(c fleet.Configuration, d *fleet.Delta) {
	r.revisions = append(r.revisions, c.Revision)
	if d == nil {
		r.replaced++
	}
}

func (r *recorder) LeaseChanged(l lease.Lease) { r.fences = append(r.fences, l.Fence) }

// counter is a SubMachine that counts its commands.
type counter struct{ N int }

func (c *counter) Apply(time.Duration, json.RawMessage) json.RawMessage {
	c.N++
	data, _ := json.Marshal(c.N)
	return data
}
func (c *counter) Snapshot() ([]byte, error) { return json.Marshal(c) }
func (c *counter) Restore(data []byte) error { return json.Unmarshal(data, c) }

func send(t *testing.T, m *Machine, clock ClockReading, cmd Command) Response {
	t.Helper()
	data, err := cmd.Encode(clock)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, data).(Response)
}

func createTeam(revision uint64, name string) Command {
	key := fleet.TeamKey{ID: "k1", Hash: fleet.HashKey(name)}
	return Command{Fleet: &fleet.Command{
		ChangeID: name, ExpectedRevision: revision,
		Actor:   fleet.Actor{Name: fleet.BootstrapName, Bootstrap: true},
		Changes: []fleet.Change{{CreateTeam: &fleet.CreateTeam{Name: name, Key: key}}},
	}}
}

func acquire(host string) Command {
	return Command{Lease: &lease.Command{
		Kind: lease.Acquire, Scope: "bio", TTL: time.Second,
		Holder: lease.Holder{Host: host, Session: "s"},
	}}
}

func TestClockNeverRunsAhead(t *testing.T) {
	at := func(e string, d time.Duration) ClockReading { return ClockReading{Epoch: e, Elapsed: d} }
	tests := []struct {
		name     string
		readings []ClockReading
		want     time.Duration
	}{
		{"one leader", []ClockReading{at("a", 5), at("a", 9)}, 4},
		{"readings out of order", []ClockReading{at("a", 5), at("a", 9), at("a", 7), at("a", 10)}, 5},
		{"new leader with a clock far ahead", []ClockReading{at("a", 5), at("a", 9), at("b", 1000), at("b", 1001)}, 5},
		{"former leader returns", []ClockReading{at("a", 5), at("b", 1), at("b", 3), at("a", 100), at("a", 101)}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c logicalClock
			var got time.Duration
			for _, r := range tt.readings {
				got = c.advance(r)
			}
			if got != tt.want {
				t.Errorf("logical time %d, want %d", got, tt.want)
			}
		})
	}
}

func TestLeaseOutlivesLeaderChange(t *testing.T) {
	m := New(nil, nil)
	if r := send(t, m, ClockReading{"a", 0}, acquire("h1")); r.Lease.Fence != 1 {
		t.Fatalf("got %+v", r.Lease)
	}
	if r := send(t, m, ClockReading{"b", time.Hour}, acquire("h2")); r.Lease.Err == nil {
		t.Fatal("the clock of another leader ended a lease")
	}
	if r := send(t, m, ClockReading{"b", time.Hour + time.Second}, acquire("h2")); r.Lease.Fence != 2 || !r.Lease.Settle {
		t.Fatalf("got %+v, want fence 2 after the lease ran out", r.Lease)
	}
}

func TestSnapshotRestore(t *testing.T) {
	before := New(nil, &counter{})
	send(t, before, ClockReading{"a", 0}, createTeam(0, "t1"))
	send(t, before, ClockReading{"a", 10}, acquire("h1"))
	send(t, before, ClockReading{"a", 10}, Command{Claim: json.RawMessage(`{}`)})
	data, err := before.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	seen := &recorder{}
	after := New(seen, &counter{})
	if err := after.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := after.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" {
		t.Errorf("state changed by snapshot and restore:\n%s", diff)
	}
	if r := send(t, after, ClockReading{"a", 20}, createTeam(0, "t1")); !r.Fleet.Repeated {
		t.Errorf("resend after a restore gave %+v", r.Fleet)
	}
	send(t, after, ClockReading{"a", 20}, createTeam(1, "t2"))
	send(t, after, ClockReading{"a", 20}, acquire("h2")) // refused: not reported
	send(t, after, ClockReading{"a", 20}, acquire("h1"))
	if diff := cmp.Diff(&recorder{revisions: []uint64{1, 2}, replaced: 1, fences: []uint64{1}}, seen, cmp.AllowUnexported(recorder{})); diff != "" {
		t.Error(diff)
	}
}

func TestNewerSnapshotIsRefused(t *testing.T) {
	if err := New(nil, nil).Restore([]byte(`{"version":99}`)); err == nil {
		t.Error("a snapshot of a newer version was accepted")
	}
}

func TestUnreadableCommandStopsTheProcess(t *testing.T) {
	tests := []struct{ name, entry string }{
		{"newer version", `{"version":99}`},
		{"unknown part", `{"version":1,"quota":{}}`},
		{"unknown kind of change", `{"version":1,"fleet":{"change_id":"c","changes":[{"rename_team":{}}]}}`},
		{"no JSON", `entry`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			defer func() {
				if v, ok := recover().(*invariant.Violation); !ok || v.Name != "log-readable" {
					t.Errorf("recovered %v, want a violation of log-readable", v)
				}
			}()
			New(nil, nil).Apply(1, []byte(tt.entry))
		})
	}
}
