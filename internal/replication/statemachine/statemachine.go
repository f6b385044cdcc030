// Package statemachine implements the replicated state machine of the control group:
// the configuration, the planners' leases and the claims. Applying the same log gives
// the same state on every replica.
package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"filberthook/internal/control/lease"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/invariant"
)

// commandVersion is the version of the commands that this program writes and the
// newest that it reads.
const commandVersion = 1

// Command is one entry of the replicated log. At most one of Fleet, Lease and Claim is
// set; a command with none of them only advances the clock.
type Command struct {
	Version int             `json:"version"`
	Clock   ClockReading    `json:"clock"` // of the leader that proposed the command
	Fleet   *fleet.Command  `json:"fleet,omitempty"`
	Lease   *lease.Command  `json:"lease,omitempty"`
	Claim   json.RawMessage `json:"claim,omitempty"`
}

// Encode sets a command's version and clock reading and returns it in the form that
// Apply reads.
func (c Command) Encode(clock ClockReading) ([]byte, error) {
	c.Version = commandVersion
	c.Clock = clock
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Response is the result of a command. The field of the command's kind is set.
type Response struct {
	Fleet *fleet.Result   `json:"fleet,omitempty"`
	Lease *lease.Result   `json:"lease,omitempty"`
	Claim json.RawMessage `json:"claim,omitempty"`
}

// SubMachine is a part of the state with commands of its own. It must be pure
// and deterministic; Machine calls it under its lock.
type SubMachine interface {
	// Apply applies a command at a logical time and returns its result.
	Apply(now time.Duration, cmd json.RawMessage) json.RawMessage
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Observer receives changes, in order, while the machine's lock is held. It must return
// quickly and must not call the machine.
type Observer interface {
	// ConfigurationChanged receives the newest configuration and the delta from the
	// previous revision. A nil delta means that a snapshot replaced the state.
	ConfigurationChanged(c fleet.Configuration, d *fleet.Delta)
	// LeaseChanged receives a lease that was granted, renewed or released.
	LeaseChanged(l lease.Lease)
}

// Machine is the replicated state. It is safe for concurrent use.
type Machine struct {
	observer Observer

	mu     sync.RWMutex // guards the fields below
	clock  logicalClock
	fleet  *fleet.Fleet
	leases *lease.Table
	claims SubMachine // nil when the host has no claims
}

// New returns an empty state. The observer and claims may be nil.
func New(observer Observer, claims SubMachine) *Machine {
	return &Machine{observer: observer, fleet: fleet.New(), leases: lease.NewTable(), claims: claims}
}

// decodeCommand returns an error for unknown fields: a replica that ignored them would
// diverge from the others.
func decodeCommand(data []byte) (Command, error) {
	var cmd Command
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&cmd)
	return cmd, err
}

// Apply applies one entry of the log and returns a Response.
func (m *Machine) Apply(index uint64, data []byte) any {
	cmd, err := decodeCommand(data)
	invariant.Check(err == nil && cmd.Version <= commandVersion, "log-readable",
		"entry %d has version %d, this program reads up to %d (%v); run a release that is not older than the leader's",
		index, cmd.Version, commandVersion, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(cmd)
}

func (m *Machine) apply(cmd Command) Response {
	now := m.clock.advance(cmd.Clock)
	switch {
	case cmd.Fleet != nil:
		result := m.fleet.Apply(*cmd.Fleet)
		if result.Delta != nil {
			m.notify(result.Delta)
		}
		return Response{Fleet: &result}
	case cmd.Lease != nil:
		result := m.applyLease(now, *cmd.Lease)
		return Response{Lease: &result}
	case cmd.Claim != nil && m.claims != nil:
		return Response{Claim: m.claims.Apply(now, cmd.Claim)}
	}
	return Response{}
}

func (m *Machine) applyLease(now time.Duration, cmd lease.Command) lease.Result {
	result := m.leases.Apply(now, cmd)
	if l, ok := m.leases.Lease(cmd.Scope); ok && result.Err == nil && m.observer != nil {
		m.observer.LeaseChanged(l)
	}
	return result
}

func (m *Machine) notify(d *fleet.Delta) {
	if m.observer != nil {
		m.observer.ConfigurationChanged(m.fleet.Configuration(), d)
	}
}

// Configuration returns the newest configuration that this replica has applied.
func (m *Machine) Configuration() fleet.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.Configuration()
}

// DryRun returns the result that a command would have, without applying it.
func (m *Machine) DryRun(cmd fleet.Command) fleet.Result {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.DryRun(cmd)
}

// Audit returns up to limit accepted commands, newest first.
func (m *Machine) Audit(limit int) []fleet.AuditEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.Audit(limit)
}

// Leases returns the newest grant of each scope.
func (m *Machine) Leases() []lease.Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leases.Leases()
}
