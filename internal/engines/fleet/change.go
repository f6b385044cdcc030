package fleet

import (
	"fmt"
	"reflect"
	"strings"
)

// action is one kind of change. Its methods are pure.
type action interface {
	// apply checks the rules and puts the new values into the draft.
	apply(d *draft, actor Actor) *Error
	// addAffected adds the names of the aggregates that the change concerns.
	addAffected(d *Delta)
	// summary returns the line for the audit trail, without secrets.
	summary() string
}

// Change is one step of a command. Exactly one field is set.
type Change struct {
	CreateEndpoint    *CreateEndpoint    `json:"create_endpoint,omitempty"`
	UpdateEndpoint    *UpdateEndpoint    `json:"update_endpoint,omitempty"`
	RemoveEndpoint    *RemoveEndpoint    `json:"remove_endpoint,omitempty"`
	ApproveTeam       *ApproveTeam       `json:"approve_team,omitempty"`
	WithdrawTeam      *WithdrawTeam      `json:"withdraw_team,omitempty"`
	CreateTeam        *CreateTeam        `json:"create_team,omitempty"`
	RemoveTeam        *RemoveTeam        `json:"remove_team,omitempty"`
	AddTeamKey        *AddTeamKey        `json:"add_team_key,omitempty"`
	RevokeTeamKey     *RevokeTeamKey     `json:"revoke_team_key,omitempty"`
	SetOperator       *SetOperator       `json:"set_operator,omitempty"`
	RemoveOperator    *RemoveOperator    `json:"remove_operator,omitempty"`
	SetDeclaration    *SetDeclaration    `json:"set_declaration,omitempty"`
	RemoveDeclaration *RemoveDeclaration `json:"remove_declaration,omitempty"`
	SetPolicy         *SetPolicy         `json:"set_policy,omitempty"`
	Restore           *Restore           `json:"restore,omitempty"`
}

// action returns the field that is set.
func (c Change) action() (action, *Error) {
	var found action
	fields := reflect.ValueOf(c)
	for i := range fields.NumField() {
		if fields.Field(i).IsNil() {
			continue
		}
		if found != nil {
			return nil, errInvalid("a change has more than one kind", "send one kind in each change")
		}
		found = fields.Field(i).Interface().(action)
	}
	if found == nil {
		return nil, errInvalid("a change is empty", "set one kind in each change")
	}
	return found, nil
}

// approvalOnly reports whether an endpoint owner may make the change.
func (c Change) approvalOnly() bool {
	return c.ApproveTeam != nil || c.WithdrawTeam != nil
}

// Summarize returns one line for each change, without secrets.
func Summarize(changes []Change) []string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		if a, err := change.action(); err == nil {
			lines = append(lines, a.summary())
		}
	}
	return lines
}

// maxNameBytes is the longest name of an aggregate.
const maxNameBytes = 128

// checkName accepts names of letters, digits and the characters . _ - : only, so
// that they can be used in paths, headers and metric labels.
func checkName(what, name string) *Error {
	if name == "" {
		return errInvalid(fmt.Sprintf("the %s has no name", what), "give it a name")
	}
	if len(name) > maxNameBytes {
		return errInvalid(fmt.Sprintf("the name of the %s is too long", what),
			fmt.Sprintf("use at most %d bytes", maxNameBytes))
	}
	if strings.IndexFunc(name, notNameRune) >= 0 {
		return errInvalid(fmt.Sprintf("the name %q of the %s has other signs than letters, digits and . _ - :", name, what),
			"choose a name of these signs")
	}
	return nil
}

func notNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("._-:", r)
}
