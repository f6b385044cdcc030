// Package configcheck examines a configuration before it is sent to the control group: entries that
// can never take effect, limits that contradict each other, and what differs from the version in
// force. Errors that make a configuration invalid are found by routes.Config.Validate.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"filberthook/internal/serve/routes"
)

// Severity is how much a finding matters.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // the control group refuses the configuration
	Warning Severity = "warning" // it is accepted, but an entry or a limit has no effect or works against another
)

// Finding is a problem with one entry.
type Finding struct {
	Severity Severity `json:"severity"`
	Field    string   `json:"field"` // such as routes[3] "summaries"
	Problem  string   `json:"problem"`
	Remedy   string   `json:"remedy"`
}

// Check returns the findings for a valid configuration, ordered by field.
func Check(c *routes.Config) []Finding {
	var found findings
	found.unmatched(c)
	for i := range c.Routes {
		found.route(c, i)
	}
	found.endpoints(c)
	if l := c.Limits; l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		found.warn("limits", "the header timeout is longer than the idle timeout, so a connection ends before a slow header is complete",
			"set header_timeout_ms to at most idle_timeout_ms")
	}
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.Field, b.Field) })
	return found
}

type findings []Finding

func (f *findings) warn(field, problem, remedy string) {
	*f = append(*f, Finding{Warning, field, problem, remedy})
}

func fieldOf(c *routes.Config, i int) string {
	return fmt.Sprintf("routes[%d] %q", i, c.Routes[i].Name)
}

// place is what requests are matched on. Hosts are compared without regard to case.
type place struct{ host, prefix string }

func placeOf(r *routes.Route) place { return place{strings.ToLower(r.Host), r.Prefix} }

// unmatched finds routes that no request can match.
func (f *findings) unmatched(c *routes.Config) {
	first := map[place]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		switch p := placeOf(r); {
		case strings.ContainsAny(r.Host, ": /\t"):
			f.warn(fieldOf(c, i), fmt.Sprintf("no request matches host %q: ports are removed from the Host header before the comparison", r.Host), "write the name alone")
		case strings.ContainsAny(r.Prefix, "?# "):
			f.warn(fieldOf(c, i), fmt.Sprintf("no request matches prefix %q: only the path is compared, without the query", r.Prefix), "write the path alone")
		default:
			if other, taken := first[p]; taken {
				f.warn(fieldOf(c, i), fmt.Sprintf("no request matches it: %s has the same host in other letters, and the same prefix", fieldOf(c, other)), "remove one of the two")
				continue
			}
			first[p] = i
		}
	}
}

// route finds contradictions within a route.
func (f *findings) route(c *routes.Config, i int) {
	r, field := &c.Routes[i], fieldOf(c, i)
	if r.Goal > r.Timeout {
		f.warn(field, fmt.Sprintf("the latency goal of %v is beyond the timeout of %v", r.Goal, r.Timeout), "raise timeout_ms or lower latency_goal_ms")
	}
	if r.Kind == routes.Stream && r.GapGoal > r.Timeout {
		f.warn(field, fmt.Sprintf("the gap goal of %v is beyond the timeout of %v", r.GapGoal, r.Timeout), "raise timeout_ms or lower gap_goal_ms")
	}
	if r.Resumable && r.Kind != routes.Stream {
		f.warn(field, "resumable has no effect: its answers are no streams", "remove resumable or make it a streaming route")
	}
	if r.Resumable && r.Kind == routes.Stream && r.MaxAttempts < 2 {
		f.warn(field, "a broken stream is never resumed: max_attempts allows one attempt", "set max_attempts to 2 or more")
	}
	for _, s := range r.Shares {
		if s.Weight == 0 {
			f.warn(field, fmt.Sprintf("endpoint %q has weight 0 and gets no request", s.Endpoint), "remove the entry or raise its weight")
		}
		if e := c.Endpoints[s.Endpoint]; r.PromptMetadata && e.Engine == nil {
			f.warn(field, fmt.Sprintf("it carries prompts (sticky), but endpoint %q has no engines", s.Endpoint), "name an endpoint with an engine or remove sticky")
		}
	}
}

// endpoints finds endpoints that no route uses.
func (f *findings) endpoints(c *routes.Config) {
	used := map[string]bool{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			used[s.Endpoint] = used[s.Endpoint] || s.Weight > 0
		}
	}
	for name := range c.Endpoints {
		if !used[name] {
			f.warn(fmt.Sprintf("services %q", name), "no route sends requests there", "remove it or add a route")
		}
	}
}
