package faultrun

import (
	"context"
	"math/rand/v2"

	"filberthook/internal/bench/faultnet"
)

// Entry is one entry host under test.
type Entry interface {
	// Zone returns its availability zone.
	Zone() string
	// Callers returns the IP:port for callers.
	Callers() string
	// Announce returns the IP:port for announcements of endpoint instances.
	Announce() string
	// Network returns the relays that its connections pass through.
	Network() EntryNetwork
	// Kill ends it at once, as a crash of its process would.
	Kill()
	// Stop ends it gracefully and returns an error if a request was cut.
	Stop(ctx context.Context) error
	// Start restarts it after Kill or Stop.
	Start() error
}

// EntryNetwork holds the relays of one entry host.
type EntryNetwork struct {
	Callers *faultnet.Relay   // from callers to it
	Control []*faultnet.Relay // from it to each control replica
}

// Control is one control replica under test.
type Control interface {
	// Kill ends it at once, as a crash of its process would.
	Kill()
	// Start restarts it from its data folder.
	Start() error
}

// System is the system under test.
type System struct {
	Entries  []Entry
	Controls []Control
	TeamKey  string // key of a team that is approved for both endpoints
	Endpoint string // endpoint of the model
	Model    string // model that the engines serve
	Service  string // endpoint of the plain service, whose calls may not be repeated

	// ChangeDeclared makes one planned change as an operator would; nil for none.
	ChangeDeclared func(ctx context.Context, rng *rand.Rand) error
}

// announceTo returns the entry hosts that instances of a zone announce to.
func (s System) announceTo(zone string) []string {
	var out []string
	for _, e := range s.Entries {
		if e.Zone() == zone {
			out = append(out, e.Announce())
		}
	}
	return out
}
