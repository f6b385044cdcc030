package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
)

var admin = Actor{Name: BootstrapName, Bootstrap: true}

func createEndpoint(name, owner string) Change {
	return Change{CreateEndpoint: &CreateEndpoint{EndpointSettings{
		Name: name, Owner: owner, Kind: engineapi.KindModel, Repeatable: true,
		DefaultDeadline: time.Minute, Model: "assist-7b",
	}}}
}

func createTeam(name string) Change {
	return Change{CreateTeam: &CreateTeam{Name: name, Key: TeamKey{ID: "k1", Hash: HashKey("key of " + name)}}}
}

func approve(endpoint, team string) Change {
	return Change{ApproveTeam: &ApproveTeam{Endpoint: endpoint, Team: team}}
}

func withdraw(endpoint, team string) Change {
	return Change{WithdrawTeam: &WithdrawTeam{Endpoint: endpoint, Team: team}}
}

func setOperator(name string, role Role) Change {
	return Change{SetOperator: &SetOperator{Name: name, Role: role, Key: HashKey("operator " + name)}}
}

func actor(name string) Actor { return Actor{Name: name, Key: HashKey("operator " + name)} }

// apply sends changes with the newest revision and fails on a refusal.
func apply(t *testing.T, f *Fleet, id string, changes ...Change) Result {
	t.Helper()
	r := f.Apply(Command{ChangeID: id, ExpectedRevision: f.Revision(), Actor: admin, Changes: changes})
	if r.Err != nil {
		t.Fatalf("%s: %v", id, r.Err)
	}
	return r
}

// example returns a fleet at revision 1 with two owners, two endpoints and two
// teams; team a is approved for endpoint summaries.
func example(t *testing.T) *Fleet {
	t.Helper()
	f := New()
	apply(t, f, "setup",
		setOperator("olga", RoleOwner), setOperator("per", RoleOwner), setOperator("rita", RoleReader),
		createEndpoint("summaries", "olga"), createEndpoint("clauses", "per"),
		createTeam("a"), createTeam("b"), approve("summaries", "a"))
	return f
}

func TestRefusals(t *testing.T) {
	key := func(id, key string) TeamKey { return TeamKey{ID: id, Hash: HashKey(key)} }
	tests := []struct {
		name   string
		actor  Actor
		change Change
		want   Code
	}{
		{"endpoint exists", admin, createEndpoint("summaries", "olga"), CodeExists},
		{"endpoint without name", admin, createEndpoint("", "olga"), CodeInvalid},
		{"endpoint name with a slash", admin, createEndpoint("a/b", "olga"), CodeInvalid},
		{"endpoint without owner", admin, createEndpoint("x", ""), CodeInvalid},
		{"team exists", admin, createTeam("a"), CodeExists},
		{"key of another team", admin, Change{AddTeamKey: &AddTeamKey{Team: "b", Key: key("k2", "key of a")}}, CodeExists},
		{"key sum malformed", admin, Change{AddTeamKey: &AddTeamKey{Team: "b", Key: TeamKey{ID: "k2", Hash: "ABC"}}}, CodeInvalid},
		{"revoke unknown key", admin, Change{RevokeTeamKey: &RevokeTeamKey{Team: "a", KeyID: "k9"}}, CodeNotFound},
		{"approve unknown team", admin, approve("summaries", "zz"), CodeNotFound},
		{"approve unknown endpoint", admin, approve("zz", "a"), CodeNotFound},
		{"approve twice", admin, approve("summaries", "a"), CodeExists},
		{"withdraw without approval", admin, withdraw("summaries", "b"), CodeNotFound},
		{"owner approves for another's endpoint", actor("olga"), approve("clauses", "a"), CodeDenied},
		{"owner creates an endpoint", actor("olga"), createEndpoint("x", "olga"), CodeDenied},
		{"reader approves", actor("rita"), approve("summaries", "b"), CodeDenied},
		{"unknown operator", actor("nobody"), approve("summaries", "b"), CodeDenied},
		{"operator with an old key", Actor{Name: "olga", Key: HashKey("old")}, approve("summaries", "b"), CodeDenied},
		{"bootstrap name taken", admin, setOperator(BootstrapName, RoleAdmin), CodeInvalid},
		{"unknown role", admin, setOperator("x", "root"), CodeInvalid},
		{"empty change", admin, Change{}, CodeInvalid},
		{"two kinds in one change", admin, Change{RemoveTeam: &RemoveTeam{Name: "a"}, RemoveEndpoint: &RemoveEndpoint{Name: "summaries"}}, CodeInvalid},
		{"model without version", admin, Change{SetDeclaration: &SetDeclaration{Engine: "e1", Models: []engineapi.Model{{Name: "m"}}}}, CodeInvalid},
		{"model twice", admin, Change{SetDeclaration: &SetDeclaration{Engine: "e1", Models: []engineapi.Model{{Name: "m", Version: "1"}, {Name: "m", Version: "2"}}}}, CodeInvalid},
		{"remove unknown declaration", admin, Change{RemoveDeclaration: &RemoveDeclaration{Engine: "e1"}}, CodeNotFound},
		{"policy without weight", admin, Change{SetPolicy: &SetPolicy{Policy{MaxConcurrentLoads: 1}}}, CodeInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := example(t)
			before := f.Configuration()
			changes := []Change{tt.change}
			if tt.actor.Bootstrap {
				// The valid change in front must not be applied either.
				changes = []Change{approve("clauses", "b"), tt.change}
			}
			r := f.Apply(Command{ChangeID: "c", ExpectedRevision: 1, Actor: tt.actor, Changes: changes})
			if r.Err == nil || r.Err.Code != tt.want {
				t.Fatalf("got %v, want code %s", r.Err, tt.want)
			}
			if r.Err.Remedy == "" {
				t.Error("the refusal names no remedy")
			}
			if diff := cmp.Diff(before, f.Configuration()); diff != "" {
				t.Errorf("a refused list changed the configuration:\n%s", diff)
			}
		})
	}
}

func TestOwnerApprovesForOwnEndpoint(t *testing.T) {
	f := example(t)
	r := f.Apply(Command{ChangeID: "c", ExpectedRevision: 1, Actor: actor("olga"), Changes: []Change{approve("summaries", "b")}})
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, f.Configuration().Endpoints["summaries"].Teams()); diff != "" {
		t.Error(diff)
	}
}

func TestEqualRevisionsOneWins(t *testing.T) {
	f := example(t)
	first := f.Apply(Command{ChangeID: "c1", ExpectedRevision: 1, Actor: actor("olga"), Changes: []Change{withdraw("summaries", "a")}})
	second := f.Apply(Command{ChangeID: "c1", ExpectedRevision: 1, Actor: admin, Changes: []Change{approve("summaries", "b")}})
	if first.Err != nil || second.Err == nil || second.Err.Code != CodeConflict {
		t.Fatalf("got %v and %v, want one acceptance and one conflict", first.Err, second.Err)
	}
	if second.Err.CurrentRevision != 2 {
		t.Errorf("conflict shows revision %d, want 2", second.Err.CurrentRevision)
	}
	current := second.Err.Current.Endpoints["summaries"]
	if current == nil || len(current.Approved) != 0 {
		t.Errorf("conflict shows %+v, want the endpoint without approvals", current)
	}
}

func TestResendReturnsFirstOutcome(t *testing.T) {
	f := example(t)
	accepted := Command{ChangeID: "c1", ExpectedRevision: 1, Actor: admin, Changes: []Change{withdraw("summaries", "a")}}
	refused := Command{ChangeID: "c2", ExpectedRevision: 2, Actor: admin, Changes: []Change{approve("zz", "a")}}
	f.Apply(accepted)
	f.Apply(refused)
	apply(t, f, "later", approve("summaries", "a"))

	for _, restored := range []bool{false, true} {
		if restored {
			f = reencoded(t, f)
		}
		if r := f.Apply(accepted); r.Err != nil || !r.Repeated || r.Revision != 2 {
			t.Errorf("restored %t: resend gave %+v, want the acceptance at revision 2", restored, r)
		}
		resent := accepted
		resent.ExpectedRevision = f.Revision()
		if r := f.Apply(resent); r.Err != nil || !r.Repeated || r.Revision != 2 {
			t.Errorf("restored %t: resend with a newer revision gave %+v, want the acceptance at revision 2", restored, r)
		}
		if r := f.Apply(refused); r.Err == nil || r.Err.Code != CodeNotFound || !r.Repeated {
			t.Errorf("restored %t: resend gave %+v, want the first refusal", restored, r)
		}
		if f.Revision() != 3 {
			t.Errorf("restored %t: resends moved the revision to %d", restored, f.Revision())
		}
		accepted.Changes = []Change{withdraw("summaries", "b")}
		if r := f.Apply(accepted); r.Err == nil || r.Err.Code != CodeChangeIDReused {
			t.Errorf("restored %t: other changes under a used id gave %v", restored, r.Err)
		}
		accepted.Changes = []Change{withdraw("summaries", "a")}
	}
}

func TestResentConflictStaysConflict(t *testing.T) {
	f := example(t)
	cmd := Command{ChangeID: "c", ExpectedRevision: 0, Actor: admin, Changes: []Change{withdraw("summaries", "a")}}
	first := f.Apply(cmd)
	cmd.ExpectedRevision = f.Revision()
	again := f.Apply(cmd)
	if first.Err == nil || again.Err == nil || again.Err.Code != CodeConflict || again.Err.Message != first.Err.Message {
		t.Errorf("got %v, then %v; want the same conflict", first.Err, again.Err)
	}
	if again.Err.Current == nil || again.Err.Current.Endpoints["summaries"] == nil {
		t.Error("the repeated conflict does not show the current value")
	}
}

func TestForgottenChangeIDIsAConflict(t *testing.T) {
	f := example(t)
	first := Command{ChangeID: "first", ExpectedRevision: 1, Actor: admin, Changes: []Change{withdraw("summaries", "a")}}
	f.Apply(first)
	for i := range MaxOutcomes {
		f.Apply(Command{ChangeID: fmt.Sprint("fill", i), ExpectedRevision: 0, Actor: admin, Changes: []Change{withdraw("summaries", "a")}})
	}
	apply(t, f, "again", approve("summaries", "a"))
	if r := f.Apply(first); r.Err == nil || r.Err.Code != CodeConflict {
		t.Errorf("a forgotten change gave %+v, want a conflict", r)
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	f := example(t)
	cmd := Command{ChangeID: "c", ExpectedRevision: 1, Actor: admin, Changes: []Change{withdraw("summaries", "a")}}
	before := f.Configuration()
	if r := f.DryRun(cmd); r.Err != nil || r.Revision != 2 || r.Delta == nil {
		t.Fatalf("dry run gave %+v", r)
	}
	if diff := cmp.Diff(before, f.Configuration()); diff != "" {
		t.Error(diff)
	}
	if r := f.Apply(cmd); r.Err != nil || r.Repeated {
		t.Errorf("apply after a dry run gave %+v", r)
	}
}

func TestRemoveTeamEndsApprovals(t *testing.T) {
	f := example(t)
	apply(t, f, "c", Change{RemoveTeam: &RemoveTeam{Name: "a"}})
	if teams := f.Configuration().Endpoints["summaries"].Teams(); len(teams) != 0 {
		t.Errorf("approvals left: %v", teams)
	}
}

func TestRotateKeys(t *testing.T) {
	f := example(t)
	for i := range MaxTeamKeys + 3 {
		id := fmt.Sprint("n", i)
		apply(t, f, id, Change{AddTeamKey: &AddTeamKey{Team: "a", Key: TeamKey{ID: id, Hash: HashKey(id)}}},
			Change{RevokeTeamKey: &RevokeTeamKey{Team: "a", KeyID: id}})
	}
	keys := f.Configuration().Teams["a"].Keys
	if len(keys) != MaxTeamKeys || keys[0].ID != "k1" || keys[0].Revoked {
		t.Errorf("%d keys, first %+v; want %d with the key in use kept", len(keys), keys[0], MaxTeamKeys)
	}
}

func TestRestoreMakesANewRevision(t *testing.T) {
	f := example(t)
	backup := f.Configuration()
	apply(t, f, "c1", withdraw("summaries", "a"), createEndpoint("extra", "olga"))
	restore := Command{ChangeID: "r", ExpectedRevision: 2, Actor: admin, Changes: []Change{{Restore: &Restore{Backup: backup}}}}
	if r := f.Apply(restore); r.Err == nil || r.Err.Code != CodeInvalid {
		t.Fatalf("an older backup without permission gave %v", r.Err)
	}
	restore.ChangeID = "r2"
	restore.Changes[0].Restore.AllowOlder = true
	r := f.Apply(restore)
	if r.Err != nil || r.Revision != 3 {
		t.Fatalf("restore gave %+v", r)
	}
	if len(r.Delta.Endpoints) != 2 || len(r.Delta.Teams) != 0 || r.Delta.Policy != nil {
		t.Errorf("restore touches %d endpoints, %d teams and policy %v, want the 2 changed endpoints only",
			len(r.Delta.Endpoints), len(r.Delta.Teams), r.Delta.Policy)
	}
	c := f.Configuration()
	if _, ok := c.Endpoints["extra"]; ok || len(c.Endpoints["summaries"].Approved) != 1 {
		t.Errorf("restored endpoints are %+v", c.Endpoints)
	}
}

func TestAuditNewestFirst(t *testing.T) {
	f := example(t)
	apply(t, f, "c1", withdraw("summaries", "a"))
	got := f.Audit(1)
	want := []AuditEntry{{Revision: 2, ChangeID: "c1", Operator: BootstrapName, Summary: []string{"withdraw team a from endpoint summaries"}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func reencoded(t *testing.T, f *Fleet) *Fleet {
	t.Helper()
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
