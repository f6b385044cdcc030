package fleet

import "maps"

// Configuration is everything that operators have set, at one revision. Its
// maps and slices are never changed in place: a change makes new ones.
type Configuration struct {
	Revision     uint64                 `json:"revision"`
	Endpoints    map[string]Endpoint    `json:"endpoints"`
	Teams        map[string]Team        `json:"teams"`
	Operators    map[string]Operator    `json:"operators"`
	Declarations map[string]Declaration `json:"declarations"`
	Policy       Policy                 `json:"policy"`
}

func newConfiguration() Configuration {
	return Configuration{
		Endpoints:    map[string]Endpoint{},
		Teams:        map[string]Team{},
		Operators:    map[string]Operator{},
		Declarations: map[string]Declaration{},
		Policy:       DefaultPolicy(),
	}
}

// With returns the configuration after a delta.
func (c Configuration) With(d Delta) Configuration {
	c.Revision = d.Revision
	c.Endpoints = patched(c.Endpoints, d.Endpoints)
	c.Teams = patched(c.Teams, d.Teams)
	c.Operators = patched(c.Operators, d.Operators)
	c.Declarations = patched(c.Declarations, d.Declarations)
	if d.Policy != nil {
		c.Policy = *d.Policy
	}
	return c
}

// currentOf returns the values in c of the aggregates that a delta names.
func (c Configuration) currentOf(d Delta) Delta {
	current := Delta{
		Revision:     c.Revision,
		Endpoints:    selectByName(c.Endpoints, d.Endpoints),
		Teams:        selectByName(c.Teams, d.Teams),
		Operators:    selectByName(c.Operators, d.Operators),
		Declarations: selectByName(c.Declarations, d.Declarations),
	}
	if d.Policy != nil {
		policy := c.Policy
		current.Policy = &policy
	}
	return current
}

// Delta is the difference between a revision and the one before it. A nil value
// removes the aggregate.
type Delta struct {
	Revision     uint64                  `json:"revision"`
	Endpoints    map[string]*Endpoint    `json:"endpoints,omitempty"`
	Teams        map[string]*Team        `json:"teams,omitempty"`
	Operators    map[string]*Operator    `json:"operators,omitempty"`
	Declarations map[string]*Declaration `json:"declarations,omitempty"`
	Policy       *Policy                 `json:"policy,omitempty"`
}

func (d *Delta) setEndpoint(name string, v *Endpoint) { set(&d.Endpoints, name, v) }
func (d *Delta) setTeam(name string, v *Team)         { set(&d.Teams, name, v) }
func (d *Delta) setOperator(name string, v *Operator) { set(&d.Operators, name, v) }
func (d *Delta) setDeclaration(engine string, v *Declaration) {
	set(&d.Declarations, engine, v)
}

func set[V any](m *map[string]*V, name string, v *V) {
	if *m == nil {
		*m = map[string]*V{}
	}
	(*m)[name] = v
}

// patched returns base with the changes of patch, or base itself if there are none.
func patched[V any](base map[string]V, patch map[string]*V) map[string]V {
	if len(patch) == 0 {
		return base
	}
	next := make(map[string]V, len(base)+len(patch))
	maps.Copy(next, base)
	for name, v := range patch {
		if v == nil {
			delete(next, name)
			continue
		}
		next[name] = *v
	}
	return next
}

// selectByName returns the values in base of the names in which, nil for missing ones.
func selectByName[V any](base map[string]V, which map[string]*V) map[string]*V {
	if len(which) == 0 {
		return nil
	}
	values := make(map[string]*V, len(which))
	for name := range which {
		values[name] = nil
		if v, ok := base[name]; ok {
			values[name] = &v
		}
	}
	return values
}
