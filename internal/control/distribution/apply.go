package distribution

import (
	"encoding/json"
	"fmt"

	"filberthook/internal/engines/fleet"
)

// nextSnapshot applies a response to the current snapshot. It returns the current one
// when the response has nothing newer, and never an older revision.
func nextSnapshot(current *fleet.Snapshot, resp WatchResponse) (*fleet.Snapshot, error) {
	if resp.Behind || resp.Revision < current.Revision {
		return current, nil
	}
	if resp.Configuration != nil {
		return decodeFull(current, resp)
	}
	snapshot := current
	for _, data := range resp.Deltas {
		var d fleet.Delta
		if err := json.Unmarshal(data, &d); err != nil {
			return current, fmt.Errorf("decode delta: %w", err)
		}
		if d.Revision <= snapshot.Revision {
			continue
		}
		if d.Revision != snapshot.Revision+1 {
			return current, &GapError{Have: snapshot.Revision, Got: d.Revision}
		}
		snapshot = snapshot.With(d)
	}
	if snapshot.Revision != resp.Revision {
		return current, &GapError{Have: snapshot.Revision, Got: resp.Revision}
	}
	return snapshot, nil
}

func decodeFull(current *fleet.Snapshot, resp WatchResponse) (*fleet.Snapshot, error) {
	var c fleet.Configuration
	if err := json.Unmarshal(resp.Configuration, &c); err != nil {
		return current, fmt.Errorf("decode configuration: %w", err)
	}
	if c.Revision < current.Revision {
		return current, nil
	}
	if c.Revision != resp.Revision {
		return current, &GapError{Have: c.Revision, Got: resp.Revision}
	}
	return fleet.NewSnapshot(c), nil
}

// GapError reports that deltas between two revisions are missing.
type GapError struct{ Have, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("deltas between revision %d and %d are missing; fetch the whole configuration", e.Have, e.Got)
}
