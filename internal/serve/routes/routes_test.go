package routes

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func config(list ...Route) *Config {
	c := &Config{Version: 1, Endpoints: map[string]Endpoint{"bookings": {Name: "bookings"}, "lm": {Name: "lm"}}}
	for _, r := range list {
		if r.Timeout == 0 {
			r.Timeout = time.Second
		}
		if r.Shares == nil {
			r.Shares = []Share{{"bookings", 1}}
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(config(
		Route{Name: "all", Host: "a.example", Prefix: "/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	))
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/1", "short"},
		{"a.example", "/z", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/z", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s matched %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestInvalidConfigurationsNameFieldAndRemedy(t *testing.T) {
	tests := []struct {
		name  string
		c     *Config
		field string
	}{
		{"unknown endpoint", config(Route{Host: "a", Prefix: "/", Shares: []Share{{"nobody", 1}}}), "routes[0]"},
		{"no endpoint", config(Route{Host: "a", Prefix: "/", Shares: []Share{}}), "routes[0]"},
		{"weights of 0", config(Route{Host: "a", Prefix: "/", Shares: []Share{{"lm", 0}, {"bookings", 0}}}), "routes[0]"},
		{"weight below 0", config(Route{Host: "a", Prefix: "/", Shares: []Share{{"lm", -1}, {"bookings", 2}}}), "routes[0]"},
		{"no timeout", config(Route{Name: "r", Host: "a", Prefix: "/", Timeout: -1}), `routes[0] "r"`},
		{"duplicate host and prefix", config(Route{Host: "a", Prefix: "/x/"}, Route{Host: "a", Prefix: "/x/"}), "routes[1]"},
		{"prefix without slash", config(Route{Host: "a", Prefix: "/x"}), "routes[0]"},
		{"no host", config(Route{Prefix: "/x/"}), "routes[0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var invalid *InvalidError
			if err := tt.c.Validate(); !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			if invalid.Field != tt.field || invalid.Remedy == "" || !strings.Contains(invalid.Error(), invalid.Remedy) {
				t.Errorf("got %+v, want field %s and a remedy", invalid, tt.field)
			}
		})
	}
	if err := config(Route{Host: "a", Prefix: "/"}, Route{Host: "b", Prefix: "/"}).Validate(); err != nil {
		t.Errorf("a valid configuration was refused: %v", err)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.Pick(float64(i)/1000)]++
	}
	if got["a"] != 900 || got["b"] != 0 || got["c"] != 100 {
		t.Errorf("picked %v, want 900 a and 100 c", got)
	}
	if last := r.Pick(0.9999999999999999); last != "c" {
		t.Errorf("the highest draw picked %q, want c", last)
	}
}
