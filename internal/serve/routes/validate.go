package routes

import (
	"fmt"
	"time"
)

// InvalidError describes a problem in a configuration, which is rejected as a whole.
type InvalidError struct {
	Field  string // field with the problem, such as routes[3]
	Reason string
	Remedy string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration: %s: %s; %s", e.Field, e.Reason, e.Remedy)
}

// matchKey identifies a route by what requests are matched on.
type matchKey struct{ host, prefix string }

// Bounds of what can be calculated with.
const (
	// MaxDuration bounds times; several times as much is still a time.Duration.
	MaxDuration = 30 * 24 * time.Hour
	// MaxWeight bounds the weight of one endpoint; sums stay exact enough to share by.
	MaxWeight = 1e12
)

// Validate returns an *InvalidError for the first problem.
func (c *Config) Validate() error {
	if err := c.validateTimes(); err != nil {
		return err
	}
	if err := c.validateAccounts(); err != nil {
		return err
	}
	seen := make(map[matchKey]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		if r.Name != "" {
			field = fmt.Sprintf("routes[%d] %q", i, r.Name)
		}
		if err := c.validateRoute(field, r); err != nil {
			return err
		}
		key := matchKey{r.Host, r.Prefix}
		if first, ok := seen[key]; ok {
			return &InvalidError{field, fmt.Sprintf("host %q and prefix %q are those of %s too", r.Host, r.Prefix, first), "give each route a place of its own"}
		}
		seen[key] = field
	}
	return nil
}

func (c *Config) validateRoute(field string, r *Route) error {
	if r.Host == "" {
		return &InvalidError{field, "has no host", "name the host that callers send"}
	}
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return &InvalidError{field, fmt.Sprintf("path prefix %q does not begin and end with a slash", r.Prefix), "write it like /summaries/"}
	}
	if r.Timeout <= 0 {
		return &InvalidError{field, "its timeout is 0", "set a timeout above 0"}
	}
	for _, d := range []time.Duration{r.Timeout, r.Goal, r.GapGoal} {
		if d > MaxDuration {
			return tooLong(field)
		}
	}
	return c.validateShares(field, r.Shares)
}

func (c *Config) validateTimes() error {
	if max(c.Limits.HeaderTimeout, c.Limits.IdleTimeout) > MaxDuration {
		return tooLong("limits")
	}
	for name, e := range c.Endpoints {
		if e.Engine != nil && max(e.Engine.HandleTTL, e.Engine.StageChangeTime) > MaxDuration {
			return tooLong(fmt.Sprintf("endpoint %q", name))
		}
		if e.Autoscale != nil {
			if err := e.Autoscale.validate(fmt.Sprintf("endpoint %q: autoscale", name)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Autoscale) validate(field string) error {
	switch {
	case a.Min < 0 || a.Max < a.Min:
		return &InvalidError{field, fmt.Sprintf("has a minimum of %d and a maximum of %d", a.Min, a.Max), "use a minimum of 0 or more and a maximum that is not below it"}
	case a.Boot > MaxDuration:
		return tooLong(field)
	case a.Boot < 0 || a.PreemptiblePrice < 0:
		return &InvalidError{field, "has a boot time or a price below 0", "use 0 or more"}
	}
	for zone, price := range a.ZonePrices {
		if price < 0 {
			return &InvalidError{field, fmt.Sprintf("has a price below 0 in zone %q", zone), "use 0 or more"}
		}
	}
	return nil
}

func tooLong(field string) error {
	return &InvalidError{field, "has a time that is too long", fmt.Sprintf("use at most %v", MaxDuration)}
}

func (c *Config) validateShares(field string, shares []Share) error {
	total := 0.0
	for _, s := range shares {
		if _, ok := c.Endpoints[s.Endpoint]; !ok {
			return &InvalidError{field, fmt.Sprintf("endpoint %q is unknown", s.Endpoint), "list it in the configuration or name another one"}
		}
		if !(s.Weight >= 0 && s.Weight <= MaxWeight) {
			return &InvalidError{field, fmt.Sprintf("endpoint %q has weight %v", s.Endpoint, s.Weight), fmt.Sprintf("use 0 to %g", MaxWeight)}
		}
		total += s.Weight
	}
	if len(shares) == 0 {
		return &InvalidError{field, "names no endpoint", "name at least one"}
	}
	if total <= 0 {
		return &InvalidError{field, "the weights of its endpoints add up to 0", "give at least one endpoint a weight above 0"}
	}
	return nil
}
