package claim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// snapshot is the stored form of a Machine. Its encoding is deterministic: the same
// state always gives the same bytes.
type snapshot struct {
	Now       time.Duration   `json:"now"`
	Claims    []*record       `json:"claims"`
	Withdrawn []withdrawnItem `json:"withdrawn"`
}

// withdrawnItem is one entry of Machine.withdrawn.
type withdrawnItem struct {
	Attempt string        `json:"attempt"`
	Till    time.Duration `json:"till"`
}

// Snapshot returns the whole state as JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	snap := snapshot{
		Now:       m.now,
		Claims:    make([]*record, 0, len(m.claims)),
		Withdrawn: make([]withdrawnItem, 0, len(m.withdrawn)),
	}
	for _, rec := range m.claims {
		snap.Claims = append(snap.Claims, rec)
	}
	slices.SortFunc(snap.Claims, func(a, b *record) int { return compareKeys(a.Key, b.Key) })
	for attempt, till := range m.withdrawn {
		snap.Withdrawn = append(snap.Withdrawn, withdrawnItem{Attempt: attempt, Till: till})
	}
	slices.SortFunc(snap.Withdrawn, func(a, b withdrawnItem) int { return cmp.Compare(a.Attempt, b.Attempt) })
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return data, nil
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Endpoint, b.Endpoint),
		cmp.Compare(a.Idempotency, b.Idempotency),
	)
}

// Restore replaces the whole state by a snapshot. After an error the state is
// unchanged.
func (m *Machine) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("decode claims: %w; use the snapshot of another replica", err)
	}
	fresh := NewMachine(m.limits)
	fresh.now = snap.Now
	for _, rec := range snap.Claims {
		if rec == nil {
			return fmt.Errorf("decode claims: null claim; use the snapshot of another replica")
		}
		if _, ok := fresh.claims[rec.Key]; ok {
			return fmt.Errorf("decode claims: duplicate key %s; use the snapshot of another replica", rec.Key)
		}
		fresh.insert(rec)
		fresh.storedBytes += rec.Answer.size()
	}
	for _, w := range snap.Withdrawn {
		fresh.addWithdrawn(w.Attempt, w.Till)
	}
	*m = *fresh
	return nil
}
