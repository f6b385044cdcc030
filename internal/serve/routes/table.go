package routes

import (
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request in one configuration.
type Table struct {
	*Config
	hosts map[string][]*Route // longest prefix first
	keys  keyIndex
}

// NewTable indexes a valid configuration, which must not change any more.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, keys: newKeyIndex(c.Accounts)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the host's route with the longest prefix that matches the path, or nil.
// It ignores a port in host.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick selects an endpoint by weight; draw is a uniform random number from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Endpoint
		}
		at -= s.Weight
	}
	// Rounding may leave a remainder when draw is just below 1.
	for _, s := range slices.Backward(r.Shares) {
		if s.Weight > 0 {
			return s.Endpoint
		}
	}
	return ""
}
