package fleet

import (
	"crypto/subtle"
	"fmt"
)

// Role is what an operator may do.
type Role string

// Roles of operators.
const (
	RoleAdmin  Role = "admin"  // every change
	RoleOwner  Role = "owner"  // approvals of its own endpoints
	RoleReader Role = "reader" // no change
)

// Operator is a person or script that may change the configuration.
type Operator struct {
	Name     string  `json:"name"`
	Role     Role    `json:"role"`
	Key      KeyHash `json:"key,omitempty"`
	Revision uint64  `json:"revision"`
}

// Actor is the authenticated sender of a command. Its rights are read when the
// command is applied, so that an operator removed in the meantime has none.
type Actor struct {
	Name      string  `json:"name"`
	Key       KeyHash `json:"key"`
	Bootstrap bool    `json:"bootstrap,omitempty"` // authenticated with the admin key of the settings file
}

// BootstrapName is the name of the operator whose key is in the settings
// file of the control hosts.
const BootstrapName = "bootstrap"

// AuthenticateOperator returns the operator that a key belongs to.
func (c Configuration) AuthenticateOperator(key string) (Operator, bool) {
	hash := HashKey(key)
	for _, op := range c.Operators {
		if subtle.ConstantTimeCompare([]byte(op.Key), []byte(hash)) == 1 {
			return op, true
		}
	}
	return Operator{}, false
}

// RoleOf returns the role of an actor at this revision.
func (c Configuration) RoleOf(actor Actor) (Role, *Error) {
	if actor.Bootstrap {
		return RoleAdmin, nil
	}
	op, ok := c.Operators[actor.Name]
	if !ok || subtle.ConstantTimeCompare([]byte(op.Key), []byte(actor.Key)) != 1 {
		return "", errDenied(fmt.Sprintf("operator %q has no access with this key", actor.Name),
			"ask an admin for a new key")
	}
	return op.Role, nil
}

// SetOperator adds an operator or replaces its role and key. An empty key keeps
// the key of an existing operator.
type SetOperator struct {
	Name string  `json:"name"`
	Role Role    `json:"role"`
	Key  KeyHash `json:"key,omitempty"`
}

func (a SetOperator) addAffected(d *Delta) { d.setOperator(a.Name, nil) }

func (a SetOperator) summary() string { return fmt.Sprintf("set operator %s role %s", a.Name, a.Role) }

func (a SetOperator) apply(d *draft, _ Actor) *Error {
	if err := checkName("operator", a.Name); err != nil {
		return err
	}
	if a.Name == BootstrapName {
		return errInvalid("the name bootstrap is reserved for the key of the settings file", "choose another name")
	}
	switch a.Role {
	case RoleAdmin, RoleOwner, RoleReader:
	default:
		return errInvalid(fmt.Sprintf("role %q is unknown", a.Role), "use admin, owner or reader")
	}
	key := a.Key
	if key == "" {
		current, ok := d.operator(a.Name)
		if !ok {
			return errInvalid("a new operator needs a key", "send the SHA-256 sum of its key")
		}
		key = current.Key
	}
	if err := key.check(); err != nil {
		return err
	}
	if d.operatorKeyTaken(key, a.Name) {
		return errExists("a key with this sum", a.Name)
	}
	d.delta.setOperator(a.Name, &Operator{Name: a.Name, Role: a.Role, Key: key, Revision: d.delta.Revision})
	return nil
}

// RemoveOperator removes an operator.
type RemoveOperator struct {
	Name string `json:"name"`
}

func (a RemoveOperator) addAffected(d *Delta) { d.setOperator(a.Name, nil) }

func (a RemoveOperator) summary() string { return "remove operator " + a.Name }

func (a RemoveOperator) apply(d *draft, _ Actor) *Error {
	if _, ok := d.operator(a.Name); !ok {
		return errNotFound("operator", a.Name)
	}
	d.delta.setOperator(a.Name, nil)
	return nil
}
