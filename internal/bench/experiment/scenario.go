// Package experiment measures placement policies in a discrete-event simulation. It runs
// the daemons' routing, admission and planner packages against models of the engines, on
// traces generated from scenarios, and compares them with simple baselines and with an
// upper bound computed in hindsight from the whole trace.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/engines/planner"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/routing"
)

// Fleet describes the engines, services, entry hosts and workloads of a
// deployment.
type Fleet struct {
	Name           string            `toml:"name"`
	EntriesPerZone int               `toml:"entries_per_zone"`
	ZoneDelay      tomltime.Duration `toml:"zone_delay"`   // one way, between availability zones
	ClientDelay    tomltime.Duration `toml:"client_delay"` // one way, between callers and entry hosts
	KVBlocks       int               `toml:"pieces"`       // KV cache of one engine, in blocks
	Zones          []Zone            `toml:"zone"`
	Workloads      []Workload        `toml:"workload"`
	Routing        routing.Config    `toml:"routing"`
	Admission      admission.Config  `toml:"admission"`
	Planner        planner.Config    `toml:"planner"`
	Lags           Lags              `toml:"lags"`
}

// Zone gives the numbers of engines and service instances in one availability zone. Prefill
// and Decode count the engines by the role that operators declare at the start.
type Zone struct {
	Name     string `toml:"name"`
	Prefill  int    `toml:"prefill"`
	Decode   int    `toml:"decode"`
	Services int    `toml:"services"`
}

func (z *Zone) engines() int { return z.Prefill + z.Decode }

// Workload is one kind of request. Workloads with an endpoint call plain services; all
// others go to model engines.
type Workload struct {
	Name         string            `toml:"name"`
	Class        class.Class       `toml:"class"`
	Teams        int               `toml:"teams"`         // calling teams that send it
	Share        float64           `toml:"share"`         // of the requests to model engines
	Prompt       float64           `toml:"prompt"`        // median prompt tokens
	PromptSpread float64           `toml:"prompt_spread"` // sigma of the lognormal distribution
	PromptMax    int               `toml:"prompt_max"`
	Output       float64           `toml:"output"` // median output tokens
	OutputSpread float64           `toml:"output_spread"`
	OutputMax    int               `toml:"output_max"`
	Documents    int               `toml:"documents"`    // number of shared prefixes, chosen by a Zipf distribution
	Shared       float64           `toml:"shared"`       // fraction of a prompt that is a shared prefix
	Endpoint     string            `toml:"endpoint"`     // plain service
	Rate         float64           `toml:"rate"`         // calls per second, for plain services
	ServiceTime  tomltime.Duration `toml:"service_time"` // mean, for plain services
	Deadline     tomltime.Duration `toml:"deadline"`     // for the complete answer; 0 means none
}

// Lags holds the delays and losses of what engines publish.
type Lags struct {
	LoadReport     tomltime.Duration `toml:"load_report"`
	CacheEvent     tomltime.Duration `toml:"cache_event"`
	CacheLossEvery int               `toml:"cache_loss_every"`
	Poll           tomltime.Duration `toml:"poll"` // interval at which an entry host polls the engines
}

// Scenario describes the load and the fleet events of a run on one fleet.
type Scenario struct {
	Name           string            `toml:"name"`
	FleetFile      string            `toml:"fleet"` // relative to the scenario's file
	Duration       tomltime.Duration `toml:"duration"`
	Warmup         tomltime.Duration `toml:"warmup"` // requests that arrive in it are served but not counted
	Load           float64           `toml:"load"`   // offered work as a share of the engines' capacity
	EntriesPerZone int               `toml:"entries_per_zone"`
	Profiles       []Profile         `toml:"profile"`
	Events         []FleetEvent      `toml:"event"`
	Lags           *Lags             `toml:"lags"`
	HeavyTail      float64           `toml:"heavy_tail"` // sigma of output lengths; replaces that of all workloads

	Fleet Fleet `toml:"-"`
}

// Profile varies the rate of one workload over time. The factor is linear
// between points.
type Profile struct {
	Workload string  `toml:"workload"`
	Points   []Point `toml:"points"`
}

// Point sets the rate's factor at a time.
type Point struct {
	At     tomltime.Duration `toml:"at"`
	Factor float64           `toml:"factor"`
}

// EventKind is the kind of a fleet event.
type EventKind string

// Kinds of fleet events.
const (
	EventWithdraw EventKind = "withdraw"  // an engine drains and leaves
	EventCrash    EventKind = "crash"     // an engine stops at once
	EventZoneLost EventKind = "zone_lost" // all endpoints and entry hosts of a zone stop at once
)

// FleetEvent is the loss of an engine or a zone during a run.
type FleetEvent struct {
	At   tomltime.Duration `toml:"at"`
	Kind EventKind         `toml:"kind"`
	Zone string            `toml:"zone"`
	Role engineapi.Role    `toml:"role"` // preferred role of the engine that is withdrawn or crashes
}

// LoadScenario reads and validates a scenario and its fleet.
func LoadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	if err := readTOML(path, s); err != nil {
		return nil, err
	}
	s.Fleet = Fleet{
		KVBlocks:  enginemodel.DefaultKVBlocks,
		Routing:   routing.DefaultConfig(),
		Admission: admission.DefaultConfig(),
		Planner:   planner.DefaultConfig(),
		Lags: Lags{
			LoadReport:     tomltime.Of(enginemodel.DefaultLoadReportLag),
			CacheEvent:     tomltime.Of(enginemodel.DefaultCacheEventLag),
			CacheLossEvery: enginemodel.DefaultCacheEventLossEvery,
			Poll:           tomltime.Of(200 * time.Millisecond),
		},
	}
	if err := readTOML(filepath.Join(filepath.Dir(path), s.FleetFile), &s.Fleet); err != nil {
		return nil, err
	}
	s.override()
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

func readTOML(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read scenario: %w", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: correct or remove the settings that cannot be read: %w", path, err)
	}
	return nil
}

// override replaces values of the fleet by those that the scenario sets.
func (s *Scenario) override() {
	if s.EntriesPerZone > 0 {
		s.Fleet.EntriesPerZone = s.EntriesPerZone
	}
	if s.Lags != nil {
		s.Fleet.Lags = *s.Lags
	}
	if s.HeavyTail <= 0 {
		return
	}
	for i := range s.Fleet.Workloads {
		s.Fleet.Workloads[i].OutputSpread = s.HeavyTail
	}
}

func (s *Scenario) validate() error {
	switch {
	case s.Duration.Duration <= s.Warmup.Duration:
		return errors.New("duration is not above warmup; make it longer")
	case s.Load <= 0:
		return errors.New("load is not positive; give the offered share of the fleet's capacity")
	case s.Fleet.EntriesPerZone < 1:
		return errors.New("entries_per_zone is below 1; give each zone an entry host")
	case len(s.Fleet.Zones) == 0:
		return errors.New("the fleet has no zones; add [[zone]] tables")
	case s.Fleet.Lags.Poll.Duration <= 0:
		return errors.New("lags.poll is not positive; give the interval at which engines are polled")
	}
	for _, p := range s.Profiles {
		if s.workload(p.Workload) < 0 {
			return fmt.Errorf("profile names unknown workload %q; use one of the fleet's", p.Workload)
		}
	}
	for _, e := range s.Events {
		if s.zone(e.Zone) < 0 {
			return fmt.Errorf("event names unknown zone %q; use one of the fleet's", e.Zone)
		}
	}
	return nil
}

func (s *Scenario) workload(name string) int {
	for i := range s.Fleet.Workloads {
		if s.Fleet.Workloads[i].Name == name {
			return i
		}
	}
	return -1
}

func (s *Scenario) zone(name string) int {
	for i := range s.Fleet.Zones {
		if s.Fleet.Zones[i].Name == name {
			return i
		}
	}
	return -1
}

func (s *Scenario) engines() int {
	n := 0
	for i := range s.Fleet.Zones {
		n += s.Fleet.Zones[i].engines()
	}
	return n
}
