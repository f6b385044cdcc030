package fleet

import (
	"fmt"
	"maps"
	"slices"
)

// draft is a configuration with the changes of one command applied. The base is
// never changed.
type draft struct {
	base  *Configuration
	delta Delta
}

func newDraft(base *Configuration) *draft {
	return &draft{base: base, delta: Delta{Revision: base.Revision + 1}}
}

// apply checks the rights of the actor and applies one change.
func (d *draft) apply(actor Actor, change Change) *Error {
	a, err := change.action()
	if err != nil {
		return err
	}
	role, err := d.role(actor)
	if err != nil {
		return err
	}
	if role != RoleAdmin && (role != RoleOwner || !change.approvalOnly()) {
		return errDenied(fmt.Sprintf("operator %q with role %s may not %s", actor.Name, role, a.summary()),
			"ask an admin to make the change")
	}
	return a.apply(d, actor)
}

// role reads the role through the draft, so that a command cannot use rights
// that one of its earlier changes removed.
func (d *draft) role(actor Actor) (Role, *Error) {
	if actor.Bootstrap {
		return RoleAdmin, nil
	}
	op, ok := d.operator(actor.Name)
	if !ok {
		return "", errDenied(fmt.Sprintf("operator %q was removed", actor.Name), "ask an admin to make the change")
	}
	return op.Role, nil
}

func (d *draft) endpoint(name string) (Endpoint, bool) {
	return lookup(d.base.Endpoints, d.delta.Endpoints, name)
}

func (d *draft) team(name string) (Team, bool) {
	return lookup(d.base.Teams, d.delta.Teams, name)
}

func (d *draft) operator(name string) (Operator, bool) {
	return lookup(d.base.Operators, d.delta.Operators, name)
}

func (d *draft) declaration(engine string) (Declaration, bool) {
	return lookup(d.base.Declarations, d.delta.Declarations, engine)
}

// lookup returns a value from the changes, or else from the base.
func lookup[V any](base map[string]V, changes map[string]*V, name string) (V, bool) {
	if v, ok := changes[name]; ok {
		if v == nil {
			var zero V
			return zero, false
		}
		return *v, true
	}
	v, ok := base[name]
	return v, ok
}

// names returns the set of names in the base or in the changes, including removed ones.
func names[V any](base map[string]V, changes map[string]*V) map[string]bool {
	all := make(map[string]bool, len(base)+len(changes))
	for name := range maps.Keys(base) {
		all[name] = true
	}
	for name := range maps.Keys(changes) {
		all[name] = true
	}
	return all
}

func (d *draft) putEndpoint(e Endpoint) {
	e.Revision = d.delta.Revision
	d.delta.setEndpoint(e.Name, &e)
}

func (d *draft) putTeam(t Team) {
	t.Revision = d.delta.Revision
	d.delta.setTeam(t.Name, &t)
}

// addKey adds a key to a team and puts the team into the draft. A key belongs to
// one team only, so that it identifies the team of a caller.
func (d *draft) addKey(team Team, key TeamKey) *Error {
	if err := checkKey(key); err != nil {
		return err
	}
	if d.teamKeyTaken(key.Hash) {
		return errExists("a key with this sum", key.ID)
	}
	team, err := team.withKey(TeamKey{ID: key.ID, Hash: key.Hash})
	if err != nil {
		return err
	}
	d.putTeam(team)
	return nil
}

func (d *draft) teamKeyTaken(hash KeyHash) bool {
	for name := range names(d.base.Teams, d.delta.Teams) {
		team, ok := d.team(name)
		if ok && slices.ContainsFunc(team.Keys, func(k TeamKey) bool { return k.Hash == hash }) {
			return true
		}
	}
	return false
}

func (d *draft) operatorKeyTaken(hash KeyHash, except string) bool {
	for name := range names(d.base.Operators, d.delta.Operators) {
		op, ok := d.operator(name)
		if ok && name != except && op.Key == hash {
			return true
		}
	}
	return false
}

// endpointsApproving returns the endpoints that approve a team.
func (d *draft) endpointsApproving(team string) []Endpoint {
	var found []Endpoint
	for name := range names(d.base.Endpoints, d.delta.Endpoints) {
		e, ok := d.endpoint(name)
		if _, approved := e.Approved[team]; ok && approved {
			found = append(found, e)
		}
	}
	return found
}

// ownedEndpoint returns an endpoint whose approvals the actor may change.
func (d *draft) ownedEndpoint(name string, actor Actor) (Endpoint, *Error) {
	e, ok := d.endpoint(name)
	if !ok {
		return e, errNotFound("endpoint", name)
	}
	role, err := d.role(actor)
	if err != nil {
		return e, err
	}
	if role == RoleOwner && e.Owner != actor.Name {
		return e, errDenied(fmt.Sprintf("endpoint %q belongs to %q, not to %q", name, e.Owner, actor.Name),
			"ask its owner or an admin")
	}
	return e, nil
}
