// Package usagereport reports the requests of accounts to the platform, window by window. Two
// reports of one window must never differ, so the counts of a window are agreed in the
// replicated log before they are sent: the first proposal for a window stands, and every holder
// of the duty sends exactly that until the platform has taken it.
package usagereport

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Ledger is the replicated state of the reports: which windows are recorded, and the counts of
// those that are not delivered. It implements document.Extension. Invariant: the counts of a
// window never change.
type Ledger struct {
	mu    sync.Mutex
	state ledgerState
}

type ledgerState struct {
	// Last is the last window that was proposed, 0 for none.
	Last int64 `json:"last"`
	// Undelivered are the counts by window that the platform has not confirmed.
	Undelivered map[int64]map[string]int64 `json:"undelivered,omitempty"`
}

// command is a command to the Ledger: a proposal, or a delivery.
type command struct {
	Window    int64            `json:"window"`
	Counts    map[string]int64 `json:"counts,omitempty"`
	Delivered bool             `json:"delivered,omitempty"` // the platform has taken the report
}

func (c command) encode() ([]byte, error) { return json.Marshal(c) }

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{state: ledgerState{Undelivered: map[int64]map[string]int64{}}}
}

// Apply implements document.Extension. It returns the last window that was proposed. A proposal
// for that window or an earlier one changes nothing.
func (l *Ledger) Apply(data []byte) any {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("usage command: %w: the log was written by another release", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.Delivered:
		delete(l.state.Undelivered, c.Window)
	case c.Window > l.state.Last:
		if c.Counts == nil {
			c.Counts = map[string]int64{}
		}
		l.state.Last = c.Window
		l.state.Undelivered[c.Window] = c.Counts
	}
	return l.state.Last
}

// Snapshot implements document.Extension.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Last == 0 {
		return nil, nil
	}
	return json.Marshal(l.state)
}

// Restore implements document.Extension.
func (l *Ledger) Restore(data []byte) error {
	var state ledgerState
	if len(data) > 0 {
		if err := json.Unmarshal(data, &state); err != nil {
			return fmt.Errorf("usage windows: %w", err)
		}
	}
	if state.Undelivered == nil {
		state.Undelivered = map[int64]map[string]int64{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	return nil
}

// Last returns the last window that is recorded, 0 for none.
func (l *Ledger) Last() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Last
}

// Undelivered returns the windows that the platform has not confirmed, in order.
func (l *Ledger) Undelivered() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.state.Undelivered))
}

// Counts returns the counts of a window that is not delivered. They must not be changed.
func (l *Ledger) Counts(window int64) (map[string]int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, ok := l.state.Undelivered[window]
	return counts, ok
}
