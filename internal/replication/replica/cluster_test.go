package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"filberthook/internal/replication/fsys"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// commandLog is a state machine that stores the applied commands.
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (j *commandLog) Apply(_ uint64, data []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, string(data))
	return len(j.commands)
}

func (j *commandLog) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.commands)
}

func (j *commandLog) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = nil
	return json.Unmarshal(data, &j.commands)
}

func (j *commandLog) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.commands...)
}

// network delivers messages between the nodes of one test. The lock guards nodes
// and cut.
type network struct {
	mu    sync.Mutex
	nodes map[uint64]*node
	cut   map[uint64]bool
}

type node struct {
	replica *Replica
	machine *commandLog
	fs      *fsys.Mem
	ticks   chan time.Time
	cancel  context.CancelFunc
	ended   chan struct{}
	err     error // of Run, valid once ended is closed
}

type memTransport struct {
	net  *network
	from uint64
}

func (p memTransport) Send(to uint64, msg []byte) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	n := p.net.nodes[to]
	if n == nil || p.net.nodes[p.from] == nil || p.net.cut[to] || p.net.cut[p.from] {
		return
	}
	if err := n.replica.Receive(msg); err != nil {
		panic(err)
	}
}

// cluster is a group of replicas with files in memory and a logical clock.
type cluster struct {
	t             testing.TB
	net           *network
	members       []Member
	snapshotEvery uint64 // entries between snapshots
	quit          chan struct{}
	driver        sync.WaitGroup
}

func newCluster(t testing.TB, size int, every uint64) *cluster {
	c := &cluster{t: t, net: &network{nodes: map[uint64]*node{}, cut: map[uint64]bool{}}, snapshotEvery: every, quit: make(chan struct{})}
	for id := uint64(1); id <= uint64(size); id++ {
		c.members = append(c.members, Member{ID: id, Address: fmt.Sprintf("host-%d", id), Zone: fmt.Sprintf("zone-%d", id)})
	}
	for _, m := range c.members {
		c.start(m.ID, fsys.NewMem(), c.members)
	}
	c.driver.Go(c.drive)
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	close(c.quit)
	c.driver.Wait()
	for id := range c.net.nodes {
		c.stop(id)
	}
}

// drive ticks all replicas until the test ends.
func (c *cluster) drive() {
	for {
		select {
		case <-c.quit:
			return
		default:
		}
		for _, n := range c.running() {
			select {
			case n.ticks <- time.Time{}:
			case <-n.ended:
			case <-c.quit:
				return
			}
		}
		time.Sleep(100 * time.Microsecond) // yields the CPUs to the replicas
	}
}

func (c *cluster) running() []*node {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	var list []*node
	for _, n := range c.net.nodes {
		list = append(list, n)
	}
	return list
}

func (c *cluster) start(id uint64, fs *fsys.Mem, members []Member) *node {
	c.t.Helper()
	n := &node{machine: &commandLog{}, fs: fs, ticks: make(chan time.Time), ended: make(chan struct{})}
	cfg := Config{
		ID: id, Dir: "data", Members: members, SnapshotEvery: c.snapshotEvery, FS: fs, Ticks: n.ticks, TickInterval: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler),
	}
	r, err := Open(cfg, n.machine, memTransport{net: c.net, from: id})
	if err != nil {
		c.t.Fatalf("open replica %d: %v", id, err)
	}
	n.replica = r
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		n.err = r.Run(ctx)
	}()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.nodes[id] = n
	return n
}

// stop ends a replica and returns its disk.
func (c *cluster) stop(id uint64) *fsys.Mem {
	c.net.mu.Lock()
	n := c.net.nodes[id]
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
	n.cancel()
	<-n.ended
	return n.fs
}

func (c *cluster) setCut(id uint64, cut bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.cut[id] = cut
}

func (c *cluster) node(id uint64) *node {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.nodes[id]
}

// eventually retries step until it returns nil and fails the test after 30 seconds.
func (c *cluster) eventually(what string, step func(ctx context.Context) error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = step(ctx); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatalf("%s: %v", what, err)
}

// leader returns the id of a replica that leads and is not cut off.
func (c *cluster) leader() uint64 {
	c.t.Helper()
	var id uint64
	c.eventually("find leader", func(context.Context) error {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		id = 0
		var term uint64
		for candidate, n := range c.net.nodes {
			s := n.replica.Status()
			if !c.net.cut[candidate] && s.Role == "leader" && s.Term > term {
				id, term = candidate, s.Term
			}
		}
		if id == 0 {
			return errors.New("no leader")
		}
		return nil
	})
	return id
}

func (c *cluster) propose(command string) {
	c.t.Helper()
	c.eventually("propose "+command, func(ctx context.Context) error {
		_, err := c.node(c.leader()).replica.Propose(ctx, []byte(command))
		return err
	})
}

func (c *cluster) barrier(id uint64) {
	c.t.Helper()
	c.eventually("barrier", func(ctx context.Context) error { return c.node(id).replica.ReadBarrier(ctx) })
}
