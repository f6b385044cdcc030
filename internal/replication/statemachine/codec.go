package statemachine

import (
	"encoding/json"
	"fmt"

	"filberthook/internal/control/lease"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/invariant"
)

// snapshotVersion is the version of the encoded state. Restore refuses any other.
const snapshotVersion = 1

// encodedMachine is the encoded form of a Machine.
type encodedMachine struct {
	Version int             `json:"version"`
	Clock   logicalClock    `json:"clock"`
	Fleet   json.RawMessage `json:"fleet"`
	Leases  json.RawMessage `json:"leases"`
	Claims  []byte          `json:"claims,omitempty"`
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	enc := encodedMachine{Version: snapshotVersion, Clock: m.clock}
	var err error
	if enc.Fleet, err = m.fleet.Encode(); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if enc.Leases, err = m.leases.Encode(); err != nil {
		return nil, fmt.Errorf("encode leases: %w", err)
	}
	if m.claims != nil {
		if enc.Claims, err = m.claims.Snapshot(); err != nil {
			return nil, fmt.Errorf("encode claims: %w", err)
		}
	}
	return json.Marshal(enc)
}

// Restore replaces the state with one that Snapshot returned.
func (m *Machine) Restore(data []byte) error {
	var enc encodedMachine
	if err := json.Unmarshal(data, &enc); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	if enc.Version != snapshotVersion {
		return fmt.Errorf("decode state: version %d, this program reads version %d; run a matching release",
			enc.Version, snapshotVersion)
	}
	configuration, err := fleet.Decode(enc.Fleet)
	if err != nil {
		return err
	}
	leases, err := lease.Decode(enc.Leases)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	invariant.Check(configuration.Revision() >= m.fleet.Revision(), "revision-grows",
		"a snapshot of revision %d would replace revision %d", configuration.Revision(), m.fleet.Revision())
	if m.claims != nil && len(enc.Claims) > 0 {
		if err := m.claims.Restore(enc.Claims); err != nil {
			return fmt.Errorf("decode claims: %w", err)
		}
	}
	m.clock = enc.Clock
	m.fleet = configuration
	m.leases = leases
	m.notify(nil)
	return nil
}
