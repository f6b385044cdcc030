package operator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protoreflect"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
)

// TestEveryKindOfChangeIsKnown sets each kind of the schema in turn.
func TestEveryKindOfChangeIsKnown(t *testing.T) {
	kinds := new(filberthookv1.Change).ProtoReflect().Descriptor().Oneofs().ByName("change").Fields()
	for i := range kinds.Len() {
		var change filberthookv1.Change
		field := kinds.Get(i)
		message := change.ProtoReflect().NewField(field).Message()
		change.ProtoReflect().Set(field, protoreflect.ValueOfMessage(message))
		if _, ok := changeOf(&change); !ok {
			t.Errorf("kind %s of the schema is not known", field.Name())
		}
	}
	if _, err := changesOf([]*filberthookv1.Change{{}}); err == nil {
		t.Error("an empty change was taken")
	}
}

func TestEndpointSurvivesConversion(t *testing.T) {
	want := fleet.EndpointSettings{
		Name: "summaries", Owner: "olga", Kind: engineapi.KindModel, Repeatable: true,
		DefaultDeadline: 90 * time.Second, Model: "assist-7b", Adapter: "rail", Version: "2",
	}
	got := endpointSettingsOf(endpointOf(fleet.Endpoint{EndpointSettings: want}))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestConfigurationIsShownWithoutKeyHashes(t *testing.T) {
	hash := fleet.HashKey("key")
	c := fleet.Configuration{
		Revision:  3,
		Teams:     map[string]fleet.Team{"a": {Name: "a", Keys: []fleet.TeamKey{{ID: "k1", Hash: hash, Revoked: true}}}},
		Operators: map[string]fleet.Operator{"olga": {Name: "olga", Role: fleet.RoleOwner, Key: hash}},
	}
	got := configurationOf(c)
	if key := got.Teams[0].Keys[0]; key.Sha256 != "" || key.Id != "k1" || !key.Revoked {
		t.Errorf("key %v", key)
	}
	if op := got.Operators[0]; op.KeySha256 != "" || op.Role != filberthookv1.Role_ROLE_OWNER {
		t.Errorf("operator %v", op)
	}
}

func TestDifferences(t *testing.T) {
	before := &fleet.Delta{Teams: map[string]*fleet.Team{"a": nil, "b": {Name: "b"}}}
	after := &fleet.Delta{Teams: map[string]*fleet.Team{"a": {Name: "a", Keys: []fleet.TeamKey{{ID: "k", Hash: fleet.HashKey("x")}}}, "b": nil}}
	type line struct{ Aggregate, Name, Before, After string }
	var got []line
	for _, d := range differences(before, after) {
		got = append(got, line{d.Aggregate, d.Name, d.Before, d.After})
	}
	want := []line{
		{"team", "a", "", `{"name":"a","keys":[{"id":"k"}],"revision":0}`},
		{"team", "b", `{"name":"b","keys":null,"revision":0}`, ""},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
