package changefile

import filberthookv1 "filberthook/api/filberthook/v1"

// messages returns the fields that are set, as messages of the schema.
func (c Change) messages() []*filberthookv1.Change {
	var all []*filberthookv1.Change
	add := func(m *filberthookv1.Change) {
		if m != nil {
			all = append(all, m)
		}
	}
	add(createEndpoint(c.CreateEndpoint))
	add(updateEndpoint(c.UpdateEndpoint))
	add(removeEndpoint(c.RemoveEndpoint))
	add(approveTeam(c.ApproveTeam))
	add(withdrawTeam(c.WithdrawTeam))
	add(createTeam(c.CreateTeam))
	add(removeTeam(c.RemoveTeam))
	add(addTeamKey(c.AddTeamKey))
	add(revokeTeamKey(c.RevokeTeamKey))
	add(setOperator(c.SetOperator))
	add(removeOperator(c.RemoveOperator))
	add(setDeclaration(c.SetDeclaration))
	add(removeDeclaration(c.RemoveDeclaration))
	add(setPolicy(c.SetPolicy))
	return all
}

func (e *Endpoint) message() *filberthookv1.Endpoint {
	return &filberthookv1.Endpoint{
		Name:              e.Name,
		Owner:             e.Owner,
		Kind:              Kinds[e.Kind],
		Repeatable:        e.Repeatable,
		DefaultDeadlineMs: e.DefaultDeadline.Duration.Milliseconds(),
		Model:             e.Model,
		Adapter:           e.Adapter,
		Version:           e.Version,
	}
}

func createEndpoint(e *Endpoint) *filberthookv1.Change {
	if e == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_CreateEndpoint{
		CreateEndpoint: &filberthookv1.CreateEndpoint{Endpoint: e.message()}}}
}

func updateEndpoint(e *Endpoint) *filberthookv1.Change {
	if e == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_UpdateEndpoint{
		UpdateEndpoint: &filberthookv1.UpdateEndpoint{Endpoint: e.message()}}}
}

func removeEndpoint(n *Name) *filberthookv1.Change {
	if n == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveEndpoint{
		RemoveEndpoint: &filberthookv1.RemoveEndpoint{Endpoint: n.Name}}}
}

func approveTeam(a *Approval) *filberthookv1.Change {
	if a == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_ApproveTeam{
		ApproveTeam: &filberthookv1.ApproveTeam{Endpoint: a.Endpoint, Team: a.Team}}}
}

func withdrawTeam(a *Approval) *filberthookv1.Change {
	if a == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_WithdrawTeam{
		WithdrawTeam: &filberthookv1.WithdrawTeam{Endpoint: a.Endpoint, Team: a.Team}}}
}

func (k *TeamKey) message() *filberthookv1.TeamKey {
	return &filberthookv1.TeamKey{Id: k.KeyID, Sha256: k.KeySHA256}
}

func createTeam(k *TeamKey) *filberthookv1.Change {
	if k == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_CreateTeam{
		CreateTeam: &filberthookv1.CreateTeam{Team: k.Team, Key: k.message()}}}
}

func removeTeam(n *Name) *filberthookv1.Change {
	if n == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveTeam{
		RemoveTeam: &filberthookv1.RemoveTeam{Team: n.Name}}}
}

func addTeamKey(k *TeamKey) *filberthookv1.Change {
	if k == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_AddTeamKey{
		AddTeamKey: &filberthookv1.AddTeamKey{Team: k.Team, Key: k.message()}}}
}

func revokeTeamKey(k *KeyID) *filberthookv1.Change {
	if k == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_RevokeTeamKey{
		RevokeTeamKey: &filberthookv1.RevokeTeamKey{Team: k.Team, KeyId: k.KeyID}}}
}

func setOperator(o *Operator) *filberthookv1.Change {
	if o == nil {
		return nil
	}
	op := &filberthookv1.Operator{Name: o.Name, Role: Roles[o.Role], KeySha256: o.KeySHA256}
	return &filberthookv1.Change{Change: &filberthookv1.Change_SetOperator{
		SetOperator: &filberthookv1.SetOperator{Operator: op}}}
}

func removeOperator(n *Name) *filberthookv1.Change {
	if n == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveOperator{
		RemoveOperator: &filberthookv1.RemoveOperator{Operator: n.Name}}}
}

func setDeclaration(d *Declaration) *filberthookv1.Change {
	if d == nil {
		return nil
	}
	m := &filberthookv1.Declaration{Engine: d.Engine}
	for _, model := range d.Models {
		m.Models = append(m.Models, &filberthookv1.Model{Name: model.Name, Version: model.Version, Adapters: model.Adapters})
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_SetDeclaration{
		SetDeclaration: &filberthookv1.SetDeclaration{Declaration: m}}}
}

func removeDeclaration(e *Engine) *filberthookv1.Change {
	if e == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveDeclaration{
		RemoveDeclaration: &filberthookv1.RemoveDeclaration{Engine: e.Engine}}}
}

func setPolicy(p *Policy) *filberthookv1.Change {
	if p == nil {
		return nil
	}
	return &filberthookv1.Change{Change: &filberthookv1.Change_SetPolicy{
		SetPolicy: &filberthookv1.SetPolicy{Policy: &filberthookv1.Policy{
			GoodputWeight:         p.GoodputWeight,
			RoleChangeWeight:      p.RoleChangeWeight,
			MaxRoleChangesPerHour: p.MaxRoleChangesPerHour,
			MaxConcurrentLoads:    p.MaxConcurrentLoads,
		}}}}
}
