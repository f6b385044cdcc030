package routing

import (
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/tomltime"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/prefix"
)

// Targets are the latency goals for answers of a class.
type Targets struct {
	FirstToken tomltime.Duration `toml:"first_token"` // from arrival to the first token
	Gap        tomltime.Duration `toml:"gap"`         // between tokens, at the 95th percentile of an answer's gaps
}

// TargetTable holds the targets of all classes.
type TargetTable struct {
	Status  Targets `toml:"status"`
	Check   Targets `toml:"check"`
	Summary Targets `toml:"summary"`
	Lookup  Targets `toml:"lookup"`
}

// Of returns the targets of a class.
func (t *TargetTable) Of(c class.Class) *Targets {
	switch c {
	case class.Status:
		return &t.Status
	case class.Check:
		return &t.Check
	case class.Summary:
		return &t.Summary
	default:
		return &t.Lookup
	}
}

// Costs are the parameters of the engines' latency model.
type Costs struct {
	StepBase        tomltime.Duration `toml:"step_base"`           // fixed part of each batch step
	StepPerSequence tomltime.Duration `toml:"step_per_sequence"`   // added to a step per decoding request
	PrefillPerSec   float64           `toml:"prefill_per_second"`  // prompt tokens per second of a step
	PrefillChunk    int               `toml:"prefill_chunk"`       // maximum prompt tokens in one step
	TransferPerSec  float64           `toml:"transfer_per_second"` // tokens of KV cache moved per second
	MaxBatch        int               `toml:"max_batch"`           // maximum requests in a batch
}

// Step returns the duration in seconds of a batch step with the given numbers of
// decoding requests and prompt tokens.
func (c *Costs) Step(decoding, chunk float64) float64 {
	return c.StepBase.Seconds() + decoding*c.StepPerSequence.Seconds() + chunk/c.PrefillPerSec
}

// PrefillRate returns the prompt tokens computed per second in steps that also run
// the given number of decoding requests.
func (c *Costs) PrefillRate(decoding float64) float64 {
	chunk := float64(c.PrefillChunk)
	return chunk / c.Step(decoding, chunk)
}

// Config holds the settings of a Router.
type Config struct {
	Zone             string            `toml:"zone"`           // availability zone of this process
	SampleLocal      int               `toml:"sample_local"`   // random candidates of the own zone to score
	SampleRemote     int               `toml:"sample_remote"`  // random candidates of other zones to score
	SampleCached     int               `toml:"sample_holders"` // candidates with the longest cached prefixes to score
	RemotePenalty    tomltime.Duration `toml:"remote_penalty"` // added to the predicted time to the first token for engines in other zones
	NonPreferredCost float64           `toml:"away_cost"`      // added to the score, in targets, for engines that another entry host of the zone prefers
	MemoryGrowth     float64           `toml:"memory_growth"`  // KV blocks kept free per running request for its further output
	Split            bool              `toml:"split"`          // allow disaggregated prefill: prefill and decode on two engines
	Targets          TargetTable       `toml:"targets"`
	Costs            Costs             `toml:"costs"`
	Prefix           prefix.Config     `toml:"prefix"`
}

// DefaultConfig returns the settings used for keys that the settings file omits.
func DefaultConfig() Config {
	answer := Targets{
		FirstToken: tomltime.Of(1600 * time.Millisecond),
		Gap:        tomltime.Of(42 * time.Millisecond),
	}
	background := answer
	background.FirstToken = tomltime.Of(30 * time.Second)
	return Config{
		SampleLocal:      4,
		SampleRemote:     2,
		SampleCached:     2,
		RemotePenalty:    tomltime.Of(50 * time.Millisecond),
		NonPreferredCost: 0.2,
		MemoryGrowth:     0.25,
		Split:            true,
		Targets:          TargetTable{Status: answer, Check: answer, Summary: answer, Lookup: background},
		Costs: Costs{
			StepBase:        tomltime.Of(12 * time.Millisecond),
			StepPerSequence: tomltime.Of(250 * time.Microsecond),
			PrefillPerSec:   16000,
			PrefillChunk:    2048,
			TransferPerSec:  200000,
			MaxBatch:        64,
		},
		Prefix: prefix.DefaultConfig(),
	}
}

// serves reports whether the candidate has loaded the model, adapter and version
// of the request.
func (c *Candidate) serves(r *Request) bool {
	for i := range c.Models {
		m := &c.Models[i]
		if m.Name != r.Model {
			continue
		}
		if r.Version != "" && m.Version != r.Version {
			return false
		}
		return r.Adapter == "" || hasAdapter(m, r.Adapter)
	}
	return false
}

func hasAdapter(m *engineapi.Model, adapter string) bool {
	for _, a := range m.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}
