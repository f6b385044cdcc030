package experiment

import (
	"fmt"
	"strings"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/planner"
)

// Policy decides where requests run and which roles engines have.
type Policy interface {
	Name() string
	role(declared engineapi.Role) engineapi.Role // role of an engine at the start
	newPlacer(e *entry) placer
	start(m *sim, end time.Duration) // schedules its periodic work until end
}

// Names of the policies. Engines start in their declared roles, except under nameNoSplit and
// nameMixed, where every engine starts in the mixed role.
const (
	nameRoundRobin = "round-robin"
	nameLeastLoad  = "least-load"
	nameNoSplit    = "no-split"
	nameReactive   = "reactive"
	nameGoodput    = "filberthook-goodput"
	nameFewChanges = "filberthook-few-changes"
	nameMixed      = "filberthook-mixed"
	nameDeployment = "filberthook"
)

// baselineNames lists the policies that filberthook is compared with.
var baselineNames = []string{nameRoundRobin, nameLeastLoad, nameNoSplit, nameReactive}

// allNames lists the policies of a full comparison.
var allNames = append(append([]string{}, baselineNames...), nameGoodput, nameFewChanges, nameMixed)

// newPolicy returns the policy with the given name, configured for a scenario. Only
// nameDeployment uses the planner weights of the fleet's own settings.
func newPolicy(name string, s *Scenario) (Policy, error) {
	switch name {
	case nameRoundRobin:
		return &baseline{name: name, choose: chooseRoundRobin}, nil
	case nameLeastLoad:
		return &baseline{name: name, choose: chooseLeastLoad}, nil
	case nameNoSplit:
		return &baseline{name: name, choose: chooseLeastLoad, mixed: true}, nil
	case nameReactive:
		return &baseline{name: name, choose: chooseLeastLoad, reactive: true}, nil
	case nameMixed:
		return &filberthook{name: name, planner: planner.FewChangesConfig(), mixed: true}, nil
	case nameDeployment:
		return &filberthook{name: name, planner: s.Fleet.Planner}, nil
	case nameGoodput:
		return &filberthook{name: name, planner: planner.GoodputConfig()}, nil
	case nameFewChanges:
		return &filberthook{name: name, planner: planner.FewChangesConfig()}, nil
	}
	names := append(append([]string{}, allNames...), nameDeployment)
	return nil, fmt.Errorf("unknown policy %q; use all or one of %s", name, strings.Join(names, ", "))
}
