// Package changefile reads the TOML files with lists of changes that `filberthook apply`
// takes.
package changefile

import (
	"fmt"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
)

// File is a list of changes.
type File struct {
	// ExpectedRevision is the revision that the changes were made for. It defaults to the
	// newest revision.
	ExpectedRevision *uint64 `toml:"expected_revision"`
	// ChangeID makes it harmless to apply the file again. It defaults to a random id.
	ChangeID string   `toml:"change_id"`
	Changes  []Change `toml:"changes"`
}

// Change is one change. Exactly one field is set.
type Change struct {
	CreateEndpoint    *Endpoint    `toml:"create_endpoint"`
	UpdateEndpoint    *Endpoint    `toml:"update_endpoint"`
	RemoveEndpoint    *Name        `toml:"remove_endpoint"`
	ApproveTeam       *Approval    `toml:"approve_team"`
	WithdrawTeam      *Approval    `toml:"withdraw_team"`
	CreateTeam        *TeamKey     `toml:"create_team"`
	RemoveTeam        *Name        `toml:"remove_team"`
	AddTeamKey        *TeamKey     `toml:"add_team_key"`
	RevokeTeamKey     *KeyID       `toml:"revoke_team_key"`
	SetOperator       *Operator    `toml:"set_operator"`
	RemoveOperator    *Name        `toml:"remove_operator"`
	SetDeclaration    *Declaration `toml:"set_declaration"`
	RemoveDeclaration *Engine      `toml:"remove_declaration"`
	SetPolicy         *Policy      `toml:"set_policy"`
}

// Name names an aggregate.
type Name struct {
	Name string `toml:"name"`
}

// Engine names an engine.
type Engine struct {
	Engine string `toml:"engine"`
}

// Endpoint holds the settings of an endpoint.
type Endpoint struct {
	Name            string            `toml:"name"`
	Owner           string            `toml:"owner"`
	Kind            string            `toml:"kind"` // model or service
	Repeatable      bool              `toml:"repeatable"`
	DefaultDeadline tomltime.Duration `toml:"default_deadline"`
	Model           string            `toml:"model"`
	Adapter         string            `toml:"adapter"`
	Version         string            `toml:"version"`
}

// Approval names an endpoint and a team.
type Approval struct {
	Endpoint string `toml:"endpoint"`
	Team     string `toml:"team"`
}

// TeamKey names a team and one key.
type TeamKey struct {
	Team      string `toml:"team"`
	KeyID     string `toml:"key_id"`
	KeySHA256 string `toml:"key_sha256"`
}

// KeyID names a key of a team.
type KeyID struct {
	Team  string `toml:"team"`
	KeyID string `toml:"key_id"`
}

// Operator holds an operator's role and key.
type Operator struct {
	Name      string `toml:"name"`
	Role      string `toml:"role"` // admin, owner or reader
	KeySHA256 string `toml:"key_sha256"`
}

// Declaration lists the models that an engine should have loaded.
type Declaration struct {
	Engine string  `toml:"engine"`
	Models []Model `toml:"models"`
}

// Model is a model with its adapters.
type Model struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
}

// Policy holds the weights and limits of the planner.
type Policy struct {
	GoodputWeight         float64 `toml:"goodput_weight"`
	RoleChangeWeight      float64 `toml:"role_change_weight"`
	MaxRoleChangesPerHour int32   `toml:"max_role_changes_per_hour"`
	MaxConcurrentLoads    int32   `toml:"max_concurrent_loads"`
}

// Load reads a file. The error is a *settings.Error.
func Load(file string) (*File, error) {
	var f File
	if err := settings.Load(file, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

// Check implements settings.Checkable. The values of the changes are checked by
// the control group.
func (f *File) Check(c *settings.Checker) {
	if len(f.Changes) == 0 {
		c.Add("changes", "is empty", "add [[changes]] tables")
	}
	for i, change := range f.Changes {
		key := fmt.Sprintf("changes[%d]", i)
		switch n := len(change.messages()); n {
		case 1:
		case 0:
			c.Add(key, "is empty", "set one kind, for example approve_team")
		default:
			c.Add(key, fmt.Sprintf("has %d kinds", n), "set one kind in each [[changes]] table")
		}
	}
}

// Messages returns the changes as messages of the schema.
func (f *File) Messages() []*filberthookv1.Change {
	var all []*filberthookv1.Change
	for _, change := range f.Changes {
		all = append(all, change.messages()...)
	}
	return all
}

// Kinds and Roles map names in files to values of the schema.
var (
	Kinds = map[string]filberthookv1.Kind{
		"model":   filberthookv1.Kind_KIND_MODEL,
		"service": filberthookv1.Kind_KIND_SERVICE,
	}
	Roles = map[string]filberthookv1.Role{
		"admin":  filberthookv1.Role_ROLE_ADMIN,
		"owner":  filberthookv1.Role_ROLE_OWNER,
		"reader": filberthookv1.Role_ROLE_READER,
	}
)
