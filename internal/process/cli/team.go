package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/engines/fleet"
)

func (a *app) addTeam(parser *kingpin.Application) {
	parent := parser.Command("team", "Create teams, rotate and revoke their keys.")
	a.addTeamKey(parent, "create", "Create a team with its first key.", func(team string, key *filberthookv1.TeamKey) []*filberthookv1.Change {
		return []*filberthookv1.Change{{Change: &filberthookv1.Change_CreateTeam{CreateTeam: &filberthookv1.CreateTeam{Team: team, Key: key}}}}
	})
	a.addTeamKey(parent, "add-key", "Add a key; the others stay valid.", func(team string, key *filberthookv1.TeamKey) []*filberthookv1.Change {
		return []*filberthookv1.Change{addKeyChange(team, key)}
	})
	a.addRotate(parent)
	a.addRevoke(parent)
	a.addNamed(parent, "remove", "Remove a team and its approvals.", "team", func(name string) *filberthookv1.Change {
		return &filberthookv1.Change{Change: &filberthookv1.Change_RemoveTeam{RemoveTeam: &filberthookv1.RemoveTeam{Team: name}}}
	})
	a.command(parent.Command("list", "List the teams."), a.listTeams)
}

func addKeyChange(team string, key *filberthookv1.TeamKey) *filberthookv1.Change {
	return &filberthookv1.Change{Change: &filberthookv1.Change_AddTeamKey{AddTeamKey: &filberthookv1.AddTeamKey{Team: team, Key: key}}}
}

func revokeKeyChange(team, id string) *filberthookv1.Change {
	return &filberthookv1.Change{Change: &filberthookv1.Change_RevokeTeamKey{RevokeTeamKey: &filberthookv1.RevokeTeamKey{Team: team, KeyId: id}}}
}

// keyFlags choose the key of a change: an existing one, given by its hash, or a new one.
type keyFlags struct {
	id     string
	sha256 string
}

func (k *keyFlags) add(clause *kingpin.CmdClause) {
	clause.Flag("key-id", "Name of the key within the team; drawn without it.").StringVar(&k.id)
	clause.Flag("key-sha256", "SHA-256 sum of a key made elsewhere; a key is made and shown once without it.").StringVar(&k.sha256)
}

// message returns the key for the change and the text of a new key to show, if any.
func (k *keyFlags) message() (*filberthookv1.TeamKey, string) {
	m := &filberthookv1.TeamKey{Id: k.id, Sha256: k.sha256}
	var shown string
	if m.Sha256 == "" {
		key, hash := fleet.NewKey()
		m.Sha256, shown = string(hash), key
	}
	if m.Id == "" {
		m.Id = "k" + m.Sha256[:min(8, len(m.Sha256))]
	}
	return m, shown
}

// changeWithKey sends a change. A new key is shown before the change is sent,
// so that a lost answer does not lose it.
func (a *app) changeWithKey(ctx context.Context, f *changeFlags, id, newKey string, changes []*filberthookv1.Change) error {
	if newKey != "" && !f.dryRun {
		a.progress("key %s, shown once; it is valid once the change is accepted:", id)
		fmt.Fprintln(a.errOut, newKey)
	}
	return a.change(ctx, f, changes...)
}

func (a *app) addTeamKey(parent *kingpin.CmdClause, verb, help string, changes func(string, *filberthookv1.TeamKey) []*filberthookv1.Change) {
	var f changeFlags
	var k keyFlags
	clause := parent.Command(verb, help)
	team := clause.Arg("team", "Name of the team.").Required().String()
	k.add(clause)
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		key, shown := k.message()
		return a.changeWithKey(ctx, &f, key.Id, shown, changes(*team, key))
	})
}

func (a *app) addRotate(parent *kingpin.CmdClause) {
	var f changeFlags
	var k keyFlags
	clause := parent.Command("rotate", "Add a key and revoke all others of the team, in one change.")
	team := clause.Arg("team", "Name of the team.").Required().String()
	k.add(clause)
	f.add(clause)
	a.command(clause, func(ctx context.Context) error {
		config, err := a.readConfiguration(ctx)
		if err != nil {
			return err
		}
		if f.expected == "" {
			f.expected = fmt.Sprint(config.Revision)
		}
		key, shown := k.message()
		changes := []*filberthookv1.Change{addKeyChange(*team, key)}
		for _, t := range config.Teams {
			if t.Name == *team {
				changes = append(changes, revokeAll(t)...)
			}
		}
		return a.changeWithKey(ctx, &f, key.Id, shown, changes)
	})
}

func revokeAll(t *filberthookv1.Team) []*filberthookv1.Change {
	var changes []*filberthookv1.Change
	for _, k := range t.Keys {
		if !k.Revoked {
			changes = append(changes, revokeKeyChange(t.Name, k.Id))
		}
	}
	return changes
}

func (a *app) addRevoke(parent *kingpin.CmdClause) {
	var f changeFlags
	clause := parent.Command("revoke", "Revoke one key for good.")
	team := clause.Arg("team", "Name of the team.").Required().String()
	id := clause.Arg("key-id", "Name of the key.").Required().String()
	f.add(clause)
	a.command(clause, func(ctx context.Context) error { return a.change(ctx, &f, revokeKeyChange(*team, *id)) })
}

func (a *app) listTeams(ctx context.Context) error {
	config, err := a.readConfiguration(ctx)
	if err != nil {
		return err
	}
	shown := &filberthookv1.Configuration{Revision: config.Revision, Teams: config.Teams}
	return a.printMessage(shown, func() {
		var rows [][]string
		for _, t := range config.Teams {
			var valid, revoked []string
			for _, k := range t.Keys {
				if k.Revoked {
					revoked = append(revoked, k.Id)
					continue
				}
				valid = append(valid, k.Id)
			}
			rows = append(rows, []string{t.Name, orDash(strings.Join(valid, ",")), orDash(strings.Join(revoked, ","))})
		}
		a.table("TEAM KEYS REVOKED", rows)
		fmt.Fprintf(a.out, "revision %d\n", config.Revision)
	})
}
