package controlhost

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"filberthook/internal/instances"
)

const (
	// memoryFile keeps what the registry knows, for the next start of this process.
	memoryFile = "instances.json"
	// memoryInterval bounds how often it is written.
	memoryInterval = 300 * time.Millisecond
	// memoryAge is how old it may be. Instances that left since then are few, and what
	// it tells counts for two heartbeats only.
	memoryAge = 10 * time.Second
)

// memory is the content of the file.
type memory struct {
	At      int64              `json:"at"` // Unix ms
	Changes []instances.Change `json:"changes"`
}

// remember writes the registry to disk after changes until ctx ends. The file is no
// promise: without it, instances are known again after a heartbeat.
func (h *Host) remember(ctx context.Context) {
	var written uint64
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changes, position, _ := h.registry.Since(0)
		// Also without changes it is written now and then, so that its age is small.
		if position == written && time.Now().UnixMilli()%int64(memoryAge/time.Millisecond) > 2000 {
			continue
		}
		written = position
		if err := h.writeMemory(memory{At: time.Now().UnixMilli(), Changes: changes}); err != nil {
			h.logger.Warn("instances not written to disk", "err", err)
		}
	}
}

func (h *Host) memoryPath() string { return filepath.Join(h.settings.DataDir, memoryFile) }

func (h *Host) writeMemory(m memory) error {
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	next := h.memoryPath() + ".next"
	if err := os.WriteFile(next, data, 0o644); err != nil {
		return err
	}
	return os.Rename(next, h.memoryPath())
}

// recall reads what the process before this one knew, unless it is too old.
func (h *Host) recall(now time.Time) {
	data, err := os.ReadFile(h.memoryPath())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var m memory
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		h.logger.Warn("instances not read from disk, heartbeats will tell", "err", err)
		return
	}
	age := now.UnixMilli() - m.At
	if age < 0 || age > memoryAge.Milliseconds() {
		h.logger.Info("instances on disk are too old", "age_ms", age)
		return
	}
	h.registry.Restore(m.Changes, now)
	h.logger.Info("instances read from disk", "instances", len(m.Changes), "age_ms", age)
}
