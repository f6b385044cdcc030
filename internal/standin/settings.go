package standin

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"filberthook/internal/engineapi"
	"filberthook/internal/enginemodel"
	"filberthook/internal/tomltime"
)

// Settings is the settings file of one stand-in process.
type Settings struct {
	Kind          engineapi.Kind    `toml:"kind"`           // model or service
	Instance      string            `toml:"instance"`       // stable name of this worker
	Endpoint      string            `toml:"endpoint"`       // endpoint it belongs to; empty for engines that serve declared models
	Zone          string            `toml:"zone"`           // availability zone
	Listen        string            `toml:"listen"`         // IP:port to listen on
	Address       string            `toml:"address"`        // IP:port that is announced; empty for listen
	Entries       []string          `toml:"entries"`        // IP:port of entry hosts to announce to
	AnnounceEvery tomltime.Duration `toml:"announce_every"` // empty for 500ms
	Lease         tomltime.Duration `toml:"lease"`          // empty for 3s
	LeaveGrace    tomltime.Duration `toml:"leave_grace"`    // empty for 3s
	LeaveLimit    tomltime.Duration `toml:"leave_limit"`    // longest time to finish work; empty for 1m
	Engine        EngineSettings    `toml:"engine"`
	Service       ServiceSettings   `toml:"service"`
}

// EngineSettings is the part for model engines. Empty values stand for the
// defaults of package enginemodel.
type EngineSettings struct {
	Speed       float64           `toml:"speed"` // engine seconds per second
	Pieces      int               `toml:"pieces"`
	MaxBatch    int               `toml:"max_batch"`
	MaxQueue    int               `toml:"max_queue"`
	Role        engineapi.Role    `toml:"role"`
	IgnoreFence bool              `toml:"ignore_fence"`
	StepBase    tomltime.Duration `toml:"step_base"`
	RoleChange  tomltime.Duration `toml:"role_change"`
	ModelLoad   tomltime.Duration `toml:"model_load"`
	Models      []ModelSettings   `toml:"models"`
}

// ModelSettings is one model that an engine carries at the start.
type ModelSettings struct {
	Name     string   `toml:"name"`
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
}

// ServiceSettings is the part for plain services.
type ServiceSettings struct {
	Duration tomltime.Duration `toml:"duration"` // time of one call
	Workers  int               `toml:"workers"`  // calls that run together; 0 sets no limit
}

// DefaultLeaveLimit bounds how long a leaving stand-in finishes its work.
const DefaultLeaveLimit = time.Minute

// SettingsError reports one wrong key of a settings file.
type SettingsError struct {
	Key    string
	Remedy string
}

// Error implements error.
func (e *SettingsError) Error() string { return fmt.Sprintf("settings key %s: %s", e.Key, e.Remedy) }

// LoadSettings reads a settings file strictly.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	f, err := os.Open(path)
	if err != nil {
		return s, fmt.Errorf("settings file: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		return s, decodeError(err)
	}
	return s, nil
}

func decodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &SettingsError{Key: fmt.Sprint(first.Key()), Remedy: fmt.Sprintf("unknown in line %d: remove it or correct its name", line)}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &SettingsError{Key: fmt.Sprint(wrong.Key()), Remedy: fmt.Sprintf("line %d: %s", line, wrong.Error())}
	}
	return fmt.Errorf("settings file: %w", err)
}

// Validate reports the first wrong key.
func (s Settings) Validate() error {
	switch {
	case s.Kind != engineapi.KindModel && s.Kind != engineapi.KindService:
		return &SettingsError{"kind", "use model or service"}
	case s.Instance == "":
		return &SettingsError{"instance", "missing: give this worker a stable name"}
	case s.Zone == "":
		return &SettingsError{"zone", "missing: name the availability zone"}
	case s.Kind == engineapi.KindService && s.Endpoint == "":
		return &SettingsError{"endpoint", "missing: name the endpoint that this service belongs to"}
	case s.Engine.Speed < 0:
		return &SettingsError{"engine.speed", "negative: use a positive number, 1 for real time"}
	case s.Service.Workers < 0:
		return &SettingsError{"service.workers", "negative: use 0 for no limit"}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.Kind == engineapi.KindModel {
		return s.EngineConfig().Model.Validate()
	}
	return nil
}

func (s Settings) validateAddresses() error {
	if err := checkAddress("listen", s.Listen); err != nil {
		return err
	}
	if s.Address != "" {
		if err := checkAddress("address", s.Address); err != nil {
			return err
		}
	}
	if len(s.Entries) == 0 {
		return &SettingsError{"entries", "missing: name at least one entry host to announce to"}
	}
	seen := make(map[string]bool)
	for _, e := range s.Entries {
		if err := checkAddress("entries", e); err != nil {
			return err
		}
		if seen[e] {
			return &SettingsError{"entries", e + " stands twice: remove one"}
		}
		seen[e] = true
	}
	return nil
}

func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &SettingsError{key, fmt.Sprintf("%q is no IP:port: write it as in 127.0.0.1:7400", address)}
	}
	return nil
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
	set(&m.Pieces, s.Engine.Pieces)
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

// set replaces a default by a value that is not empty.
func set[T comparable](to *T, value T) {
	var empty T
	if value != empty {
		*to = value
	}
}
