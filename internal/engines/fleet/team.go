package fleet

import (
	"fmt"
	"slices"
)

// MaxTeamKeys is the highest number of keys of a team, including revoked ones. At
// the limit a new key replaces the oldest revoked one.
const MaxTeamKeys = 16

// TeamKey is one key of a calling team. A revoked key stays on record, so that
// its use is refused as revoked.
type TeamKey struct {
	ID      string  `json:"id"`
	Hash    KeyHash `json:"hash,omitempty"`
	Revoked bool    `json:"revoked,omitempty"`
}

// Team is a calling team.
type Team struct {
	Name     string    `json:"name"`
	Keys     []TeamKey `json:"keys"`
	Revision uint64    `json:"revision"`
}

func (t Team) keyIndex(id string) int {
	return slices.IndexFunc(t.Keys, func(k TeamKey) bool { return k.ID == id })
}

// withKey returns the team with one more key.
func (t Team) withKey(key TeamKey) (Team, *Error) {
	if t.keyIndex(key.ID) >= 0 {
		return t, errExists("key", key.ID)
	}
	keys := slices.Clone(t.Keys)
	if len(keys) == MaxTeamKeys {
		oldest := slices.IndexFunc(keys, func(k TeamKey) bool { return k.Revoked })
		if oldest < 0 {
			return t, errInvalid(fmt.Sprintf("team %q has %d keys in use", t.Name, MaxTeamKeys), "revoke one first")
		}
		keys = slices.Delete(keys, oldest, oldest+1)
	}
	t.Keys = append(keys, key)
	return t, nil
}

// withRevokedKey returns the team with one key revoked.
func (t Team) withRevokedKey(id string) (Team, *Error) {
	i := t.keyIndex(id)
	if i < 0 {
		return t, errNotFound("key", id)
	}
	t.Keys = slices.Clone(t.Keys)
	t.Keys[i].Revoked = true
	return t, nil
}

func checkKey(key TeamKey) *Error {
	if err := checkName("key", key.ID); err != nil {
		return err
	}
	return key.Hash.check()
}

// CreateTeam adds a team with its first key.
type CreateTeam struct {
	Name string  `json:"name"`
	Key  TeamKey `json:"key"`
}

func (a CreateTeam) addAffected(d *Delta) { d.setTeam(a.Name, nil) }

func (a CreateTeam) summary() string { return fmt.Sprintf("create team %s key %s", a.Name, a.Key.ID) }

func (a CreateTeam) apply(d *draft, _ Actor) *Error {
	if err := checkName("team", a.Name); err != nil {
		return err
	}
	if _, ok := d.team(a.Name); ok {
		return errExists("team", a.Name)
	}
	return d.addKey(Team{Name: a.Name}, a.Key)
}

// RemoveTeam removes a team and its approvals.
type RemoveTeam struct {
	Name string `json:"name"`
}

func (a RemoveTeam) addAffected(d *Delta) { d.setTeam(a.Name, nil) }

func (a RemoveTeam) summary() string { return "remove team " + a.Name }

func (a RemoveTeam) apply(d *draft, _ Actor) *Error {
	if _, ok := d.team(a.Name); !ok {
		return errNotFound("team", a.Name)
	}
	d.delta.setTeam(a.Name, nil)
	for _, e := range d.endpointsApproving(a.Name) {
		d.putEndpoint(e.withoutApproval(a.Name))
	}
	return nil
}

// AddTeamKey adds a key and keeps the existing ones.
type AddTeamKey struct {
	Team string  `json:"team"`
	Key  TeamKey `json:"key"`
}

func (a AddTeamKey) addAffected(d *Delta) { d.setTeam(a.Team, nil) }

func (a AddTeamKey) summary() string { return fmt.Sprintf("add key %s to team %s", a.Key.ID, a.Team) }

func (a AddTeamKey) apply(d *draft, _ Actor) *Error {
	team, ok := d.team(a.Team)
	if !ok {
		return errNotFound("team", a.Team)
	}
	return d.addKey(team, a.Key)
}

// RevokeTeamKey revokes one key permanently.
type RevokeTeamKey struct {
	Team  string `json:"team"`
	KeyID string `json:"key_id"`
}

func (a RevokeTeamKey) addAffected(d *Delta) { d.setTeam(a.Team, nil) }

func (a RevokeTeamKey) summary() string {
	return fmt.Sprintf("revoke key %s of team %s", a.KeyID, a.Team)
}

func (a RevokeTeamKey) apply(d *draft, _ Actor) *Error {
	team, ok := d.team(a.Team)
	if !ok {
		return errNotFound("team", a.Team)
	}
	team, err := team.withRevokedKey(a.KeyID)
	if err != nil {
		return err
	}
	d.putTeam(team)
	return nil
}
