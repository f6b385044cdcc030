package standin

import (
	"fmt"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/process/settings"
	"filberthook/internal/process/tomltime"
)

// Settings is the settings file of one stand-in process.
type Settings struct {
	Kind          engineapi.Kind    `toml:"kind"`           // model or service
	Instance      string            `toml:"instance"`       // stable name of this worker
	Endpoint      string            `toml:"endpoint"`       // endpoint it belongs to; empty for engines that serve declared models
	Zone          string            `toml:"zone"`           // availability zone
	Listen        string            `toml:"listen"`         // IP:port to listen on
	Address       string            `toml:"address"`        // IP:port that is announced; empty means listen
	Entries       []string          `toml:"entries"`        // IP:port of entry hosts to announce to
	AnnounceEvery tomltime.Duration `toml:"announce_every"` // empty means 500ms
	Lease         tomltime.Duration `toml:"lease"`          // empty for 3s
	LeaveGrace    tomltime.Duration `toml:"leave_grace"`    // empty for 3s
	LeaveLimit    tomltime.Duration `toml:"leave_limit"`    // longest time to finish work; empty means 1m
	Engine        EngineSettings    `toml:"engine"`
	Service       ServiceSettings   `toml:"service"`
	Log           settings.Log      `toml:"log"`
}

// EngineSettings is the section for model engines. Empty values mean the defaults of
// package enginemodel.
type EngineSettings struct {
	Speed       float64           `toml:"speed"` // engine seconds per second
	KVBlocks    int               `toml:"pieces"`
	MaxBatch    int               `toml:"max_batch"`
	MaxQueue    int               `toml:"max_queue"`
	Role        engineapi.Role    `toml:"role"`
	IgnoreFence bool              `toml:"ignore_fence"`
	StepBase    tomltime.Duration `toml:"step_base"`
	RoleChange  tomltime.Duration `toml:"role_change"`
	ModelLoad   tomltime.Duration `toml:"model_load"`
	Models      []ModelSettings   `toml:"models"`
}

// ModelSettings is one model that an engine has loaded at the start.
type ModelSettings struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
}

// ServiceSettings is the section for plain services.
type ServiceSettings struct {
	Duration tomltime.Duration `toml:"duration"` // time of one call
	Workers  int               `toml:"workers"`  // concurrent calls; 0 sets no limit
}

// DefaultLeaveLimit bounds the time for a leaving stand-in to finish its work.
const DefaultLeaveLimit = time.Minute

// maxDuration bounds the durations of a settings file.
const maxDuration = time.Hour

// Check implements settings.Checkable.
func (s *Settings) Check(c *settings.Checker) {
	if s.Kind != engineapi.KindModel && s.Kind != engineapi.KindService {
		c.Add("kind", fmt.Sprintf("%q is unknown", s.Kind), "use model or service")
	}
	c.Required("instance", s.Instance, "give this worker a stable name")
	c.Required("zone", s.Zone, "name the availability zone")
	s.checkAddresses(c)
	s.checkDurations(c)
	s.Log.Check(c, "log")
	if s.Kind == engineapi.KindService {
		c.Required("endpoint", s.Endpoint, "name the endpoint that this service belongs to")
	}
	if s.Service.Workers < 0 {
		c.Add("service.workers", "is negative", "use 0 for no limit")
	}
	if s.Engine.Speed < 0 {
		c.Add("engine.speed", "is negative", "use 1 for real time")
	}
	if s.Kind != engineapi.KindModel {
		return
	}
	if err := s.EngineConfig().Model.Validate(); err != nil {
		c.Add("engine", err.Error(), "correct the value")
	}
}

func (s *Settings) checkAddresses(c *settings.Checker) {
	c.UniqueAddress("listen", s.Listen)
	if s.Address != "" && s.Address != s.Listen {
		c.UniqueAddress("address", s.Address)
	}
	if len(s.Entries) == 0 {
		c.Add("entries", "is empty", "name at least one entry host to announce to")
	}
	for _, e := range s.Entries {
		c.UniqueAddress("entries", e)
	}
}

// checkDurations reports durations outside 0 to maxDuration.
func (s *Settings) checkDurations(c *settings.Checker) {
	for _, d := range []struct {
		key   string
		value tomltime.Duration
	}{
		{"announce_every", s.AnnounceEvery},
		{"lease", s.Lease},
		{"leave_grace", s.LeaveGrace},
		{"leave_limit", s.LeaveLimit},
		{"engine.step_base", s.Engine.StepBase},
		{"engine.role_change", s.Engine.RoleChange},
		{"engine.model_load", s.Engine.ModelLoad},
		{"service.duration", s.Service.Duration},
	} {
		c.Between(d.key, d.value, 0, maxDuration)
	}
}

func (s Settings) identity() Identity {
	address := s.Address
	if address == "" {
		address = s.Listen
	}
	return Identity{
		Instance:      s.Instance,
		Endpoint:      s.Endpoint,
		Zone:          s.Zone,
		Address:       address,
		Entries:       s.Entries,
		AnnounceEvery: s.AnnounceEvery.Duration,
		Lease:         s.Lease.Duration,
		LeaveGrace:    s.LeaveGrace.Duration,
	}
}

// EngineConfig returns the configuration of a model engine.
func (s Settings) EngineConfig() EngineConfig {
	m := enginemodel.DefaultConfig()
	set(&m.KVBlocks, s.Engine.KVBlocks)
	set(&m.MaxBatch, s.Engine.MaxBatch)
	set(&m.Role, s.Engine.Role)
	set(&m.StepBase, s.Engine.StepBase.Duration)
	set(&m.RoleChange, s.Engine.RoleChange.Duration)
	set(&m.ModelLoad, s.Engine.ModelLoad.Duration)
	m.ChecksFence = !s.Engine.IgnoreFence
	for _, model := range s.Engine.Models {
		m.Models = append(m.Models, engineapi.Model{Name: model.Name, Version: model.Version, Adapters: model.Adapters})
	}
	return EngineConfig{Identity: s.identity(), Model: m, Speed: s.Engine.Speed, MaxQueue: s.Engine.MaxQueue}
}

// ServiceConfig returns the configuration of a plain service.
func (s Settings) ServiceConfig() ServiceConfig {
	return ServiceConfig{Identity: s.identity(), Duration: s.Service.Duration.Duration, Workers: s.Service.Workers}
}

// set replaces a default with a non-zero value.
func set[T comparable](to *T, value T) {
	var empty T
	if value != empty {
		*to = value
	}
}
