package fleet

import (
	"fmt"
	"math"
)

// Policy holds the weights and budgets of the deployment.
type Policy struct {
	GoodputWeight         float64 `json:"goodput_weight"`            // at least 0
	RoleChangeWeight      float64 `json:"role_change_weight"`        // at least 0
	MaxRoleChangesPerHour int     `json:"max_role_changes_per_hour"` // in one availability zone
	MaxConcurrentLoads    int     `json:"max_concurrent_loads"`      // from the weight store
	Revision              uint64  `json:"revision"`
}

// DefaultPolicy returns the policy of a new deployment.
func DefaultPolicy() Policy {
	return Policy{GoodputWeight: 1, RoleChangeWeight: 1, MaxRoleChangesPerHour: 60, MaxConcurrentLoads: 2}
}

// SetPolicy replaces the policy.
type SetPolicy struct {
	Policy
}

func (a SetPolicy) addAffected(d *Delta) { d.Policy = &Policy{} }

func (a SetPolicy) summary() string { return "set policy" }

func (a SetPolicy) apply(d *draft, _ Actor) *Error {
	p := a.Policy
	if !validWeight(p.GoodputWeight) || !validWeight(p.RoleChangeWeight) {
		return errInvalid("a weight is negative or not finite", "use weights of at least 0")
	}
	if p.GoodputWeight == 0 && p.RoleChangeWeight == 0 {
		return errInvalid("both weights are 0", "give at least one weight")
	}
	if p.MaxRoleChangesPerHour < 0 {
		return errInvalid(fmt.Sprintf("max_role_changes_per_hour is %d", p.MaxRoleChangesPerHour), "use at least 0")
	}
	if p.MaxConcurrentLoads < 1 {
		return errInvalid(fmt.Sprintf("max_concurrent_loads is %d", p.MaxConcurrentLoads), "use at least 1")
	}
	p.Revision = d.delta.Revision
	d.delta.Policy = &p
	return nil
}

func validWeight(w float64) bool { return w >= 0 && !math.IsInf(w, 0) }
