package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"filberthook/internal/engines/engineapi"
)

// MaxDefaultDeadline is the longest default deadline of an endpoint.
const MaxDefaultDeadline = time.Hour

// EndpointSettings are the values of an endpoint that an operator sets.
type EndpointSettings struct {
	Name            string         `json:"name"`
	Owner           string         `json:"owner"` // operator that approves calling teams
	Kind            engineapi.Kind `json:"kind"`
	Repeatable      bool           `json:"repeatable"`       // a call may run more than once
	DefaultDeadline time.Duration  `json:"default_deadline"` // for calls without a deadline
	Model           string         `json:"model,omitempty"`  // kind model only
	Adapter         string         `json:"adapter,omitempty"`
	Version         string         `json:"version,omitempty"` // empty means any
}

// Endpoint is a named destination for calls.
type Endpoint struct {
	EndpointSettings
	Approved map[string]uint64 `json:"approved,omitempty"` // approved team to the revision of its approval
	Revision uint64            `json:"revision"`
}

// Teams returns the approved teams in order.
func (e Endpoint) Teams() []string { return slices.Sorted(maps.Keys(e.Approved)) }

func (e Endpoint) withApproval(team string, revision uint64) Endpoint {
	approved := make(map[string]uint64, len(e.Approved)+1)
	maps.Copy(approved, e.Approved)
	approved[team] = revision
	e.Approved = approved
	return e
}

func (e Endpoint) withoutApproval(team string) Endpoint {
	e.Approved = maps.Clone(e.Approved)
	delete(e.Approved, team)
	return e
}

func (s EndpointSettings) check() *Error {
	if err := checkName("endpoint", s.Name); err != nil {
		return err
	}
	if s.Owner == "" {
		return errInvalid("the endpoint has no owner", "name the operator that approves its calling teams")
	}
	if s.DefaultDeadline <= 0 || s.DefaultDeadline > MaxDefaultDeadline {
		return errInvalid(fmt.Sprintf("default deadline %s is out of range", s.DefaultDeadline),
			fmt.Sprintf("use more than 0 and at most %s", MaxDefaultDeadline))
	}
	return s.checkKind()
}

func (s EndpointSettings) checkKind() *Error {
	switch s.Kind {
	case engineapi.KindModel:
		if s.Model == "" {
			return errInvalid("an endpoint of kind model needs a model", "name the model")
		}
		return nil
	case engineapi.KindService:
		if s.Model != "" || s.Adapter != "" || s.Version != "" {
			return errInvalid("an endpoint of kind service has no model, adapter or version", "leave them empty")
		}
		return nil
	default:
		return errInvalid(fmt.Sprintf("kind %q is unknown", s.Kind), "use model or service")
	}
}

// CreateEndpoint adds an endpoint without approvals.
type CreateEndpoint struct {
	EndpointSettings
}

func (a CreateEndpoint) addAffected(d *Delta) { d.setEndpoint(a.Name, nil) }

func (a CreateEndpoint) summary() string { return "create endpoint " + a.Name }

func (a CreateEndpoint) apply(d *draft, _ Actor) *Error {
	if err := a.check(); err != nil {
		return err
	}
	if _, ok := d.endpoint(a.Name); ok {
		return errExists("endpoint", a.Name)
	}
	d.putEndpoint(Endpoint{EndpointSettings: a.EndpointSettings})
	return nil
}

// UpdateEndpoint replaces the settings of an endpoint and keeps its approvals.
type UpdateEndpoint struct {
	EndpointSettings
}

func (a UpdateEndpoint) addAffected(d *Delta) { d.setEndpoint(a.Name, nil) }

func (a UpdateEndpoint) summary() string { return "update endpoint " + a.Name }

func (a UpdateEndpoint) apply(d *draft, _ Actor) *Error {
	if err := a.check(); err != nil {
		return err
	}
	current, ok := d.endpoint(a.Name)
	if !ok {
		return errNotFound("endpoint", a.Name)
	}
	if current.Kind != a.Kind {
		return errInvalid("the kind of an endpoint cannot change", "create another endpoint")
	}
	current.EndpointSettings = a.EndpointSettings
	d.putEndpoint(current)
	return nil
}

// RemoveEndpoint removes an endpoint with its approvals.
type RemoveEndpoint struct {
	Name string `json:"name"`
}

func (a RemoveEndpoint) addAffected(d *Delta) { d.setEndpoint(a.Name, nil) }

func (a RemoveEndpoint) summary() string { return "remove endpoint " + a.Name }

func (a RemoveEndpoint) apply(d *draft, _ Actor) *Error {
	if _, ok := d.endpoint(a.Name); !ok {
		return errNotFound("endpoint", a.Name)
	}
	d.delta.setEndpoint(a.Name, nil)
	return nil
}

// ApproveTeam lets a team call an endpoint.
type ApproveTeam struct {
	Endpoint string `json:"endpoint"`
	Team     string `json:"team"`
}

func (a ApproveTeam) addAffected(d *Delta) { d.setEndpoint(a.Endpoint, nil) }

func (a ApproveTeam) summary() string {
	return fmt.Sprintf("approve team %s for endpoint %s", a.Team, a.Endpoint)
}

func (a ApproveTeam) apply(d *draft, actor Actor) *Error {
	e, err := d.ownedEndpoint(a.Endpoint, actor)
	if err != nil {
		return err
	}
	if _, ok := d.team(a.Team); !ok {
		return errNotFound("team", a.Team)
	}
	if _, ok := e.Approved[a.Team]; ok {
		return newError(CodeExists, fmt.Sprintf("team %q is approved for endpoint %q already", a.Team, a.Endpoint),
			"nothing is left to do")
	}
	d.putEndpoint(e.withApproval(a.Team, d.delta.Revision))
	return nil
}

// WithdrawTeam ends the approval of a team.
type WithdrawTeam struct {
	Endpoint string `json:"endpoint"`
	Team     string `json:"team"`
}

func (a WithdrawTeam) addAffected(d *Delta) { d.setEndpoint(a.Endpoint, nil) }

func (a WithdrawTeam) summary() string {
	return fmt.Sprintf("withdraw team %s from endpoint %s", a.Team, a.Endpoint)
}

func (a WithdrawTeam) apply(d *draft, actor Actor) *Error {
	e, err := d.ownedEndpoint(a.Endpoint, actor)
	if err != nil {
		return err
	}
	if _, ok := e.Approved[a.Team]; !ok {
		return newError(CodeNotFound, fmt.Sprintf("team %q is not approved for endpoint %q", a.Team, a.Endpoint),
			"list the endpoints to see the approved teams")
	}
	d.putEndpoint(e.withoutApproval(a.Team))
	return nil
}
