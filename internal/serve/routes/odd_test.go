package routes

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestNumbersThatNothingCanBeTimedOrSharedByAreRefused(t *testing.T) {
	sound := func() *Config {
		return &Config{
			Version:   1,
			Endpoints: map[string]Endpoint{"a": {Name: "a", Engine: &Engine{Slots: 64}}, "b": {Name: "b"}},
			Routes: []Route{{
				Host: "h", Prefix: "/", Timeout: time.Second, Goal: time.Second, GapGoal: time.Second,
				Shares: []Share{{Endpoint: "a", Weight: 1}, {Endpoint: "b", Weight: 1}},
			}},
		}
	}
	if err := sound().Validate(); err != nil {
		t.Fatal(err)
	}
	const forever = time.Duration(math.MaxInt64)
	tests := map[string]func(*Config){
		"timeout":           func(c *Config) { c.Routes[0].Timeout = forever },
		"goal":              func(c *Config) { c.Routes[0].Goal = forever },
		"gap":               func(c *Config) { c.Routes[0].GapGoal = forever },
		"header timeout":    func(c *Config) { c.Limits.HeaderTimeout = forever },
		"idle timeout":      func(c *Config) { c.Limits.IdleTimeout = forever },
		"lifetime":          func(c *Config) { c.Endpoints["a"].Engine.HandleTTL = forever },
		"stage change":      func(c *Config) { c.Endpoints["a"].Engine.StageChangeTime = forever },
		"weight":            func(c *Config) { c.Routes[0].Shares[0].Weight = math.MaxFloat64 },
		"infinite weight":   func(c *Config) { c.Routes[0].Shares[0].Weight = math.Inf(1) },
		"weight that isn't": func(c *Config) { c.Routes[0].Shares[0].Weight = math.NaN() },
	}
	for name, change := range tests {
		c := sound()
		change(c)
		var invalid *InvalidError
		if err := c.Validate(); !errors.As(err, &invalid) || invalid.Remedy == "" {
			t.Errorf("%s: error %v, want an InvalidError with a remedy", name, err)
		}
	}
}
