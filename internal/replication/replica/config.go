// Package replica runs one member of a replicated log: it drives the pure core of
// package consensus with a clock, a disk and a transport, and applies committed
// entries to a state machine.
package replica

import (
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/storage"
)

// StateMachine is the replicated state machine. One goroutine calls all methods, Apply
// in log order. Apply must be deterministic.
type StateMachine interface {
	// Apply applies a committed command; its result is returned to the proposer.
	Apply(index uint64, data []byte) any
	// Snapshot returns the whole state, at most consensus.MaxSnapshotBytes.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a snapshot.
	Restore(data []byte) error
}

// Transport carries messages to other replicas. It may lose, repeat and reorder them.
type Transport interface {
	// Send never blocks; it drops the message when its queue is full.
	Send(to uint64, msg []byte)
}

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Address string
	Zone    string // availability zone
	Learner bool
}

// Config holds the settings of a replica.
type Config struct {
	ID  uint64 // unique in the group and never reused, not 0
	Dir string // data folder of this replica alone
	// Members are the group's initial members. A new group elects a leader only once
	// all of them are up. A replica that is not among them waits to be added as a
	// learner. After the first start the list is ignored.
	Members       []Member
	TickInterval  time.Duration // 0 for DefaultTickInterval
	ElectionTicks int           // 0 for DefaultElectionTicks
	SnapshotEvery uint64        // entries between snapshots, 0 for DefaultSnapshotEvery
	SnapshotBytes uint64        // bytes of commands between snapshots, 0 for DefaultSnapshotBytes
	Metrics       *metrics.Set  // nil for a private set
	Logger        *slog.Logger  // nil for the default one
	FS            fsys.FS       // nil for the operating system's
	// Ticks replaces the clock, for example by a logical one; nil for a ticker.
	Ticks <-chan time.Time
}

const (
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultElectionTicks = 10
	DefaultSnapshotEvery = 10_000
	DefaultSnapshotBytes = 64 << 20
)

func (c Config) withDefaults() Config {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.ElectionTicks == 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.FS == nil {
		c.FS = fsys.OS{}
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return &consensus.ConfigError{Problem: "replica id is 0", Remedy: "set a positive one that no other replica ever had"}
	case c.Dir == "":
		return &consensus.ConfigError{Problem: "replica has no data folder", Remedy: "set one"}
	case c.TickInterval < 0:
		return &consensus.ConfigError{Problem: "tick interval is negative", Remedy: "set a positive one"}
	}
	return nil
}

// storageOptions returns the options of the replica's storage.
func (c Config) storageOptions() storage.Options {
	o := storage.Options{FS: c.FS, Dir: c.Dir, ID: c.ID}
	for _, m := range c.Members {
		o.Members = append(o.Members, consensus.Member{ID: m.ID, Address: m.Address, Zone: m.Zone, Learner: m.Learner})
	}
	return o
}
