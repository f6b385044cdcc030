package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestAuthorize(t *testing.T) {
	f := example(t)
	apply(t, f, "c", Change{AddTeamKey: &AddTeamKey{Team: "a", Key: TeamKey{ID: "k2", Hash: HashKey("old key")}}},
		Change{RevokeTeamKey: &RevokeTeamKey{Team: "a", KeyID: "k2"}})
	s := NewSnapshot(f.Configuration())
	tests := []struct {
		name, key, endpoint string
		want                Reason // empty when approved
	}{
		{"approved", "key of a", "summaries", ""},
		{"not approved", "key of b", "summaries", ReasonNotApproved},
		{"revoked", "old key", "summaries", ReasonRevokedKey},
		{"unknown key", "guess", "summaries", ReasonUnknownKey},
		{"no key", "", "summaries", ReasonUnknownKey},
		{"unknown endpoint", "key of a", "zz", ReasonUnknownEndpoint},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			team, err := s.Authorize(tt.key, tt.endpoint)
			if tt.want == "" {
				if err != nil || team != "a" {
					t.Fatalf("got %q, %v", team, err)
				}
				return
			}
			var refused *AuthorizeError
			if !errors.As(err, &refused) || refused.Reason != tt.want {
				t.Fatalf("got %v, want reason %s", err, tt.want)
			}
			if tt.key != "" && strings.Contains(err.Error(), tt.key) {
				t.Error("the message holds the key")
			}
		})
	}
}

// TestCommandsKeepInvariants sends random commands, resends and restarts and
// checks that the revision grows by one with each acceptance, that a resend
// changes nothing, and that the deltas rebuild the configuration.
func TestCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New()
		view := NewSnapshot(f.Configuration())
		var sent []Command
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			cmd := drawCommand(t, f.Revision(), len(sent))
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				cmd = rapid.SampledFrom(sent).Draw(t, "sent")
			}
			before := f.Revision()
			r := f.Apply(cmd)
			accepted := r.Err == nil && !r.Repeated
			if want := before + count(accepted); f.Revision() != want {
				t.Fatalf("revision went from %d to %d, accepted %t", before, f.Revision(), accepted)
			}
			if accepted {
				view = view.With(*r.Delta)
			}
			if again := f.Apply(cmd); again.Revision != r.Revision && again.Err == nil {
				t.Fatalf("resend gave revision %d, first was %d", again.Revision, r.Revision)
			}
			sent = append(sent, cmd)
			if rapid.Bool().Draw(t, "restart") {
				f = restart(t, f)
			}
		}
		want := NewSnapshot(f.Configuration())
		if diff := cmp.Diff(want, view, cmpopts.IgnoreUnexported(Snapshot{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("deltas and configuration differ:\n%s", diff)
		}
	})
}

func count(accepted bool) uint64 {
	if accepted {
		return 1
	}
	return 0
}

func restart(t *rapid.T, f *Fleet) *Fleet {
	data, err := f.Encode()
	if err != nil {
		t.Fatal(err)
	}
	g, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func drawCommand(t *rapid.T, revision uint64, n int) Command {
	cmd := Command{ChangeID: fmt.Sprint("c", n), ExpectedRevision: revision, Actor: admin}
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		cmd.ExpectedRevision = rapid.Uint64Range(0, revision+1).Draw(t, "expected")
	}
	cmd.Changes = rapid.SliceOfN(rapid.Custom(drawChange), 1, 3).Draw(t, "changes")
	return cmd
}

func drawChange(t *rapid.T) Change {
	endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
	return rapid.SampledFrom([]Change{
		createEndpoint(endpoint, "olga"), createTeam(team), approve(endpoint, team), withdraw(endpoint, team),
		{RemoveTeam: &RemoveTeam{Name: team}}, {RemoveEndpoint: &RemoveEndpoint{Name: endpoint}},
		{SetDeclaration: &SetDeclaration{Engine: "w1"}}, {RemoveDeclaration: &RemoveDeclaration{Engine: "w1"}},
	}).Draw(t, "change")
}

func BenchmarkAuthorize(b *testing.B) {
	f := New()
	f.Apply(Command{ChangeID: "c", Actor: admin, Changes: []Change{createEndpoint("e", "o"), createTeam("a"), approve("e", "a")}})
	s := NewSnapshot(f.Configuration())
	for b.Loop() {
		if _, err := s.Authorize("key of a", "e"); err != nil {
			b.Fatal(err)
		}
	}
}
