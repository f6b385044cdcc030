package operator

import (
	"maps"
	"slices"
	"time"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/fleet"
)

var kinds = map[filberthookv1.Kind]engineapi.Kind{
	filberthookv1.Kind_KIND_MODEL:   engineapi.KindModel,
	filberthookv1.Kind_KIND_SERVICE: engineapi.KindService,
}

var roles = map[filberthookv1.Role]fleet.Role{
	filberthookv1.Role_ROLE_ADMIN:  fleet.RoleAdmin,
	filberthookv1.Role_ROLE_OWNER:  fleet.RoleOwner,
	filberthookv1.Role_ROLE_READER: fleet.RoleReader,
}

// keyOf returns the key of a value in a map, or the zero key if the value is missing.
func keyOf[K, V comparable](m map[K]V, value V) K {
	for k, v := range m {
		if v == value {
			return k
		}
	}
	var zero K
	return zero
}

// changesOf converts the changes of the schema to those of the configuration. Values are
// checked when a change is applied.
func changesOf(in []*filberthookv1.Change) ([]fleet.Change, error) {
	out := make([]fleet.Change, 0, len(in))
	for i, c := range in {
		change, ok := changeOf(c)
		if !ok {
			return nil, refusal(&fleet.Error{
				Code: fleet.CodeInvalid, ChangeIndex: i, Message: "the change is empty or of an unknown kind",
				Remedy: "set one kind in each change, and use a control host of the same release",
			})
		}
		out = append(out, change)
	}
	return out, nil
}

func changeOf(in *filberthookv1.Change) (fleet.Change, bool) {
	switch c := in.GetChange().(type) {
	case *filberthookv1.Change_CreateEndpoint:
		return fleet.Change{CreateEndpoint: &fleet.CreateEndpoint{EndpointSettings: endpointSettingsOf(c.CreateEndpoint.GetEndpoint())}}, true
	case *filberthookv1.Change_UpdateEndpoint:
		return fleet.Change{UpdateEndpoint: &fleet.UpdateEndpoint{EndpointSettings: endpointSettingsOf(c.UpdateEndpoint.GetEndpoint())}}, true
	case *filberthookv1.Change_RemoveEndpoint:
		return fleet.Change{RemoveEndpoint: &fleet.RemoveEndpoint{Name: c.RemoveEndpoint.GetEndpoint()}}, true
	case *filberthookv1.Change_ApproveTeam:
		return fleet.Change{ApproveTeam: &fleet.ApproveTeam{Endpoint: c.ApproveTeam.GetEndpoint(), Team: c.ApproveTeam.GetTeam()}}, true
	case *filberthookv1.Change_WithdrawTeam:
		return fleet.Change{WithdrawTeam: &fleet.WithdrawTeam{Endpoint: c.WithdrawTeam.GetEndpoint(), Team: c.WithdrawTeam.GetTeam()}}, true
	case *filberthookv1.Change_CreateTeam:
		return fleet.Change{CreateTeam: &fleet.CreateTeam{Name: c.CreateTeam.GetTeam(), Key: teamKeyOf(c.CreateTeam.GetKey())}}, true
	case *filberthookv1.Change_RemoveTeam:
		return fleet.Change{RemoveTeam: &fleet.RemoveTeam{Name: c.RemoveTeam.GetTeam()}}, true
	case *filberthookv1.Change_AddTeamKey:
		return fleet.Change{AddTeamKey: &fleet.AddTeamKey{Team: c.AddTeamKey.GetTeam(), Key: teamKeyOf(c.AddTeamKey.GetKey())}}, true
	case *filberthookv1.Change_RevokeTeamKey:
		return fleet.Change{RevokeTeamKey: &fleet.RevokeTeamKey{Team: c.RevokeTeamKey.GetTeam(), KeyID: c.RevokeTeamKey.GetKeyId()}}, true
	default:
		return adminChangeOf(in)
	}
}

func adminChangeOf(in *filberthookv1.Change) (fleet.Change, bool) {
	switch c := in.GetChange().(type) {
	case *filberthookv1.Change_SetOperator:
		op := c.SetOperator.GetOperator()
		return fleet.Change{SetOperator: &fleet.SetOperator{Name: op.GetName(), Role: roles[op.GetRole()], Key: fleet.KeyHash(op.GetKeySha256())}}, true
	case *filberthookv1.Change_RemoveOperator:
		return fleet.Change{RemoveOperator: &fleet.RemoveOperator{Name: c.RemoveOperator.GetOperator()}}, true
	case *filberthookv1.Change_SetDeclaration:
		d := c.SetDeclaration.GetDeclaration()
		return fleet.Change{SetDeclaration: &fleet.SetDeclaration{Engine: d.GetEngine(), Models: engineModelsOf(d.GetModels())}}, true
	case *filberthookv1.Change_RemoveDeclaration:
		return fleet.Change{RemoveDeclaration: &fleet.RemoveDeclaration{Engine: c.RemoveDeclaration.GetEngine()}}, true
	case *filberthookv1.Change_SetPolicy:
		return fleet.Change{SetPolicy: &fleet.SetPolicy{Policy: policyOf(c.SetPolicy.GetPolicy())}}, true
	default:
		return fleet.Change{}, false
	}
}

func endpointSettingsOf(e *filberthookv1.Endpoint) fleet.EndpointSettings {
	return fleet.EndpointSettings{
		Name:            e.GetName(),
		Owner:           e.GetOwner(),
		Kind:            kinds[e.GetKind()],
		Repeatable:      e.GetRepeatable(),
		DefaultDeadline: time.Duration(e.GetDefaultDeadlineMs()) * time.Millisecond,
		Model:           e.GetModel(),
		Adapter:         e.GetAdapter(),
		Version:         e.GetVersion(),
	}
}

func teamKeyOf(k *filberthookv1.TeamKey) fleet.TeamKey {
	return fleet.TeamKey{ID: k.GetId(), Hash: fleet.KeyHash(k.GetSha256())}
}

func engineModelsOf(in []*filberthookv1.Model) []engineapi.Model {
	out := make([]engineapi.Model, 0, len(in))
	for _, m := range in {
		out = append(out, engineapi.Model{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
	}
	return out
}

func policyOf(p *filberthookv1.Policy) fleet.Policy {
	return fleet.Policy{
		GoodputWeight:         p.GetGoodputWeight(),
		RoleChangeWeight:      p.GetRoleChangeWeight(),
		MaxRoleChangesPerHour: int(p.GetMaxRoleChangesPerHour()),
		MaxConcurrentLoads:    int(p.GetMaxConcurrentLoads()),
	}
}

func modelsOf(in []engineapi.Model) []*filberthookv1.Model {
	out := make([]*filberthookv1.Model, 0, len(in))
	for _, m := range in {
		out = append(out, &filberthookv1.Model{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

// configurationOf converts a configuration to the schema, without the hashes of keys and
// sorted by name.
func configurationOf(c fleet.Configuration) *filberthookv1.Configuration {
	out := &filberthookv1.Configuration{
		Revision: c.Revision,
		Policy: &filberthookv1.Policy{
			GoodputWeight: c.Policy.GoodputWeight, RoleChangeWeight: c.Policy.RoleChangeWeight,
			MaxRoleChangesPerHour: int32(c.Policy.MaxRoleChangesPerHour),
			MaxConcurrentLoads:    int32(c.Policy.MaxConcurrentLoads), Revision: c.Policy.Revision,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		out.Endpoints = append(out.Endpoints, endpointOf(c.Endpoints[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		out.Teams = append(out.Teams, teamOf(c.Teams[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		op := c.Operators[name]
		out.Operators = append(out.Operators, &filberthookv1.Operator{Name: op.Name, Role: keyOf(roles, op.Role), Revision: op.Revision})
	}
	for _, engine := range slices.Sorted(maps.Keys(c.Declarations)) {
		d := c.Declarations[engine]
		out.Declarations = append(out.Declarations, &filberthookv1.Declaration{Engine: d.Engine, Models: modelsOf(d.Models), Revision: d.Revision})
	}
	return out
}

func endpointOf(e fleet.Endpoint) *filberthookv1.Endpoint {
	return &filberthookv1.Endpoint{
		Name: e.Name, Owner: e.Owner, Kind: keyOf(kinds, e.Kind), Repeatable: e.Repeatable,
		DefaultDeadlineMs: e.DefaultDeadline.Milliseconds(),
		Model:             e.Model, Adapter: e.Adapter, Version: e.Version,
		ApprovedTeams: e.Teams(), Revision: e.Revision,
	}
}

func teamOf(t fleet.Team) *filberthookv1.Team {
	out := &filberthookv1.Team{Name: t.Name, Revision: t.Revision}
	for _, k := range t.Keys {
		out.Keys = append(out.Keys, &filberthookv1.TeamKey{Id: k.ID, Revoked: k.Revoked})
	}
	return out
}
