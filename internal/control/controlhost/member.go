package controlhost

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"filberthook/internal/control/formation"
	"filberthook/internal/control/usagereport"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/fsys"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/replication/replica"
	"filberthook/internal/replication/storage"
)

// replicaFolder holds the replicated log within the data folder.
const replicaFolder = "replica"

// Timing and sizes of the replica.
const (
	// reopenDelay is the pause before a failed replica is opened again.
	reopenDelay = 500 * time.Millisecond
	// defaultSnapshotBytes is the volume of commands between two snapshots. It keeps the log
	// small enough for a small disk.
	defaultSnapshotBytes = 8 << 20
	// transferTimeout bounds the transfer of leadership at shutdown.
	transferTimeout = time.Second
	// replayPoll is the interval at which a host that has just started checks whether it has
	// replayed its log.
	replayPoll = 2 * time.Millisecond
)

// openReplica is an open replica with its state machine.
type openReplica struct {
	replica *replica.Replica
	machine *document.Machine
	ledger  *usagereport.Ledger
	id      uint64
	// committed is the last entry that the disk says is committed. Until it is applied, the
	// configurations of the log are older than the one that was in force.
	committed uint64
	replayed  atomic.Bool
}

// membership runs the replica of this host. It opens the replica again after a disk
// failure, and joins as a new member when its data folder can no longer be used.
type membership struct {
	host          *Host
	fs            fsys.FS
	snapshotBytes uint64                      // see defaultSnapshotBytes
	current       atomic.Pointer[openReplica] // nil while the replica is closed
	// told are the addresses of the members by replica id, as the leader told them when this
	// host asked to join; nil before.
	told atomic.Pointer[map[uint64]string]
}

// run keeps a replica open until ctx ends.
func (m *membership) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.runOnce(ctx)
		m.current.Store(nil)
		if ctx.Err() != nil {
			return nil
		}
		m.host.logger.Error("replica stopped; opening it again after the delay", "err", err, "delay", reopenDelay)
		if unusable(err) {
			m.discard(err)
		}
		pause.For(ctx, reopenDelay)
	}
	return nil
}

// unusable reports whether an error means that the data folder can never be used again.
// The host then joins as a new member.
func unusable(err error) bool {
	var excluded *storage.ExcludedError
	var folder *storage.FolderError
	return errors.As(err, &excluded) || errors.As(err, &folder)
}

func (m *membership) discard(cause error) {
	m.host.logger.Warn("discarding the data folder; this host joins as a new member", "cause", cause)
	if err := fsys.WriteFile(m.fs, m.marker(), nil); err != nil {
		m.host.logger.Error("data folder not discarded", "err", err)
		return
	}
	if err := os.RemoveAll(m.dir()); err != nil {
		m.host.logger.Error("data folder not discarded", "err", err)
	}
}

// marker returns the path of a file that marks this host as a former member, which must
// never found a group again.
func (m *membership) marker() string { return filepath.Join(m.host.settings.DataDir, "rejoin") }

func (m *membership) mayFound() bool {
	if !m.host.settings.Bootstrap {
		return false
	}
	_, err := os.Stat(m.marker())
	return errors.Is(err, fs.ErrNotExist)
}

func (m *membership) dir() string { return filepath.Join(m.host.settings.DataDir, replicaFolder) }

func (m *membership) runOnce(ctx context.Context) error {
	opened, err := m.open()
	if err != nil {
		return err
	}
	m.current.Store(opened)
	// The replica runs a little longer than ctx, so that a leader can transfer leadership.
	runContext, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- opened.replica.Run(runContext) }()
	go m.announceReplayed(runContext, opened)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		m.join(runContext, opened)
	}()
	defer func() { <-joined }()
	defer stop()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	m.handOver(opened)
	stop()
	return <-ended
}

func (m *membership) open() (*openReplica, error) {
	id, founders, err := m.identity()
	if err != nil {
		return nil, err
	}
	opened := &openReplica{id: id, ledger: usagereport.NewLedger()}
	opened.machine = document.NewMachine(func(d document.Document) {
		if opened.replayed.Load() {
			m.host.configurationChanged(d)
		}
	})
	opened.machine.Extend(document.KindUsage, opened.ledger)
	r, err := replica.Open(replica.Config{
		ID:            id,
		Dir:           m.dir(),
		Members:       founders,
		SnapshotBytes: m.snapshotBytes,
		FS:            m.fs,
		Logger:        m.host.logger,
	}, opened.machine, m.host.transport)
	if err != nil {
		return nil, err
	}
	status := r.Status()
	opened.replica, opened.committed = r, status.Commit
	m.host.logger.Info("replica opened", "id", id, "founder", len(founders) > 0, "version", opened.machine.Current().Version,
		"last", status.LastIndex, "commit", status.Commit, "voters", status.VoterAddresses())
	return opened, nil
}

// announceReplayed puts the configuration into force here once the log is replayed.
func (m *membership) announceReplayed(ctx context.Context, opened *openReplica) {
	for opened.replica.Status().Applied < opened.committed {
		if !pause.For(ctx, replayPoll) {
			return
		}
	}
	opened.replayed.Store(true)
	m.host.configurationChanged(opened.machine.Current())
}

// identity returns the replica id and, for a founder, the first members of the group. A
// data folder that already has an id keeps it. In an empty one, a founder that may found
// the group uses the id derived from its address; any other host draws a random id.
func (m *membership) identity() (uint64, []replica.Member, error) {
	s := m.host.settings
	id, err := storage.ReadID(m.fs, m.dir())
	if err != nil {
		return 0, nil, err
	}
	founders := formation.Founders(m.host.seeds(), m.host.peerPort)
	for i := range founders {
		if founders[i].Address == s.Listen.peersAddress() {
			founders[i].Zone = s.Zone
		}
	}
	own := formation.FounderID(s.Listen.peersAddress())
	isFounder := false
	for _, f := range founders {
		isFounder = isFounder || f.ID == own
	}
	switch {
	case id == own && isFounder, id == 0 && isFounder && m.mayFound():
		return own, founders, nil
	case id != 0:
		return id, nil, nil
	}
	for id == 0 {
		id = rand.Uint64()
	}
	return id, nil, nil
}

// status returns the replica's status; ok is false while it is closed.
func (m *membership) status() (replica.Status, bool) {
	opened := m.current.Load()
	if opened == nil {
		return replica.Status{}, false
	}
	return opened.replica.Status(), true
}

// ledger returns the replicated state of usage reports, an empty one while the replica is closed.
func (m *membership) ledger() *usagereport.Ledger {
	if opened := m.current.Load(); opened != nil {
		return opened.ledger
	}
	return usagereport.NewLedger()
}

// addresses returns the peer addresses of the group's members.
func (m *membership) addresses() []string {
	status, _ := m.status()
	out := make([]string, 0, len(status.Members))
	for _, other := range status.Members {
		out = append(out, other.Address)
	}
	return out
}

// addressOf returns the address of a member, empty when unknown.
func (m *membership) addressOf(id uint64) string {
	status, _ := m.status()
	for _, other := range status.Members {
		if other.ID == id {
			return other.Address
		}
	}
	for _, f := range formation.Founders(m.host.seeds(), m.host.peerPort) {
		if f.ID == id {
			return f.Address
		}
	}
	if told := m.told.Load(); told != nil {
		return (*told)[id]
	}
	return ""
}

// unsent tells the replica of an append or snapshot chunk that was dropped before it was sent.
func (m *membership) unsent(to uint64) {
	if opened := m.current.Load(); opened != nil {
		opened.replica.Unsent(to)
	}
}

// receive hands messages of the replicated log to the replica. It drops them while the
// replica is closed, as a lossy network would.
func (h *Host) receive(batch raftnet.Batch) error {
	opened := h.membership.current.Load()
	if opened == nil {
		return nil
	}
	for _, msg := range batch.Messages {
		if err := opened.replica.Receive(msg); err != nil {
			return err
		}
	}
	return nil
}

// UnavailableError reports that a call reached no quorum. The caller may repeat it.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the control group has no quorum here: try again, or at another control host: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

var errClosed = errors.New("the replica of this host is closed")

// linearizableRead returns the configuration after a quorum has confirmed that it is the
// newest.
func (m *membership) linearizableRead(ctx context.Context) (document.Document, error) {
	opened := m.current.Load()
	if opened == nil {
		return document.Document{}, &UnavailableError{errClosed}
	}
	if err := opened.replica.ReadBarrier(ctx); err != nil {
		return document.Document{}, &UnavailableError{err}
	}
	return opened.machine.Current(), nil
}
