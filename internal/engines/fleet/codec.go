package fleet

import (
	"encoding/json"
	"fmt"
)

// codecVersion is the version of the encoded state. A newer version is refused.
const codecVersion = 1

// encodedFleet is the encoded form of a Fleet.
type encodedFleet struct {
	Version       int           `json:"version"`
	Configuration Configuration `json:"configuration"`
	Outcomes      []outcome     `json:"outcomes"` // oldest first
	Audit         []AuditEntry  `json:"audit"`    // oldest first
}

// Encode returns the whole state.
func (f *Fleet) Encode() ([]byte, error) {
	return json.Marshal(encodedFleet{
		Version:       codecVersion,
		Configuration: f.config,
		Outcomes:      f.outcomes.oldestFirst(),
		Audit:         f.audit.oldestFirst(),
	})
}

// Decode returns the state that Encode wrote.
func Decode(data []byte) (*Fleet, error) {
	var enc encodedFleet
	if err := json.Unmarshal(data, &enc); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	if enc.Version != codecVersion {
		return nil, fmt.Errorf("decode configuration: version %d, this program reads version %d; run a matching release",
			enc.Version, codecVersion)
	}
	f := New()
	f.config = enc.Configuration.complete()
	for _, o := range enc.Outcomes {
		f.outcomes.put(o)
	}
	for _, e := range enc.Audit {
		f.audit.add(e)
	}
	return f, nil
}

// complete replaces nil maps by empty ones.
func (c Configuration) complete() Configuration {
	empty := newConfiguration()
	if c.Endpoints == nil {
		c.Endpoints = empty.Endpoints
	}
	if c.Teams == nil {
		c.Teams = empty.Teams
	}
	if c.Operators == nil {
		c.Operators = empty.Operators
	}
	if c.Declarations == nil {
		c.Declarations = empty.Declarations
	}
	return c
}
