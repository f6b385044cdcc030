package configcheck

import (
	"strings"
	"testing"
	"time"

	"filberthook/internal/serve/routes"
)

func sound() *routes.Config {
	return &routes.Config{
		Version:   7,
		Endpoints: map[string]routes.Endpoint{"lm": {Name: "lm", Engine: &routes.Engine{Slots: 64}}, "app": {Name: "app"}},
		Routes: []routes.Route{
			{Name: "ask", Host: "a.example", Prefix: "/ask/", Kind: routes.Stream, Timeout: 5 * time.Second, Goal: time.Second, GapGoal: 250 * time.Millisecond, MaxAttempts: 2, PromptMetadata: true, Resumable: true, Shares: []routes.Share{{Endpoint: "lm", Weight: 1}}},
			{Name: "book", Host: "a.example", Prefix: "/book/", Timeout: time.Second, Goal: time.Second, MaxAttempts: 1, Shares: []routes.Share{{Endpoint: "app", Weight: 1}}},
		},
		Limits: routes.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against findings that are missed, or that have no field and remedy.
func TestEntriesWithoutEffectAndContradictionsAreFound(t *testing.T) {
	if found := Check(sound()); len(found) > 0 {
		t.Fatalf("a sound configuration has findings: %+v", found)
	}
	for want, change := range map[string]func(*routes.Config){
		"ports are removed":         func(c *routes.Config) { c.Routes[0].Host = "a.example:8080" },
		"without the query":         func(c *routes.Config) { c.Routes[0].Prefix = "/ask?x/" },
		"the same host":             func(c *routes.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "A.EXAMPLE", "/ask/" },
		"beyond the timeout of 1s":  func(c *routes.Config) { c.Routes[1].Goal = 2 * time.Second },
		"the gap goal of 6s":        func(c *routes.Config) { c.Routes[0].GapGoal = 6 * time.Second },
		"resumable has no effect":   func(c *routes.Config) { c.Routes[1].Resumable = true },
		"is never resumed":          func(c *routes.Config) { c.Routes[0].MaxAttempts = 1 },
		"has weight 0":              func(c *routes.Config) { c.Routes[0].Shares = append(c.Routes[0].Shares, routes.Share{Endpoint: "lm"}) },
		"has no engines":            func(c *routes.Config) { c.Routes[1].PromptMetadata = true },
		"no route sends":            func(c *routes.Config) { c.Endpoints["spare"] = routes.Endpoint{Name: "spare"} },
		"longer than the idle time": func(c *routes.Config) { c.Limits.HeaderTimeout = time.Minute },
	} {
		c := sound()
		change(c)
		found := Check(c)
		if len(found) != 1 || !strings.Contains(found[0].Problem, want) || found[0].Field == "" || found[0].Remedy == "" {
			t.Errorf("%q: found %+v", want, found)
		}
	}
}

// Guards against changes that the comparison with the version in force leaves out.
func TestDifferencesFromTheVersionInForce(t *testing.T) {
	before, next := sound(), sound()
	if got := Compare(before, next); len(got) != 1 || got[0].Entry != "version" {
		t.Errorf("the same configuration: %+v", got)
	}
	next.Version = 8
	next.Routes[0].Timeout = 4 * time.Second
	next.Routes[1].Prefix = "/bookings/"
	next.Endpoints["lm"] = routes.Endpoint{Name: "lm", Engine: &routes.Engine{Slots: 32}}
	next.Limits.IdleTimeout = 10 * time.Second
	var lines []string
	for _, d := range Compare(before, next) {
		lines = append(lines, d.Change+" "+d.Entry+" "+strings.Join(d.Fields, ","))
	}
	want := "changed limits IdleTimeout: 15s, now 10s|changed route a.example/ask/ Timeout: 5s, now 4s|removed route a.example/book/ |added route a.example/bookings/ |changed service lm Engine:"
	if got := strings.Join(lines, "|"); !strings.HasPrefix(got, want) {
		t.Errorf("got %s", got)
	}
}
