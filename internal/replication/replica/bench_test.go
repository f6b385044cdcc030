package replica

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// counterTable is a state machine of bounded size.
type counterTable struct{ counts [1000]uint64 }

func (c *counterTable) Apply(_ uint64, data []byte) any {
	key := binary.LittleEndian.Uint64(data) % uint64(len(c.counts))
	c.counts[key]++
	return c.counts[key]
}
func (c *counterTable) Snapshot() ([]byte, error) { return json.Marshal(c.counts) }
func (c *counterTable) Restore(data []byte) error { return json.Unmarshal(data, &c.counts) }

// group runs replicas with the real clock and the operating system's files.
type group struct {
	b        *testing.B
	dir      string
	members  []Member
	mu       sync.Mutex // guards replicas
	replicas map[uint64]*running
}

type running struct {
	*Replica
	set    *metrics.Set
	cancel context.CancelFunc
	ended  chan struct{}
}

func newGroup(b *testing.B, size int) *group {
	g := &group{b: b, dir: b.TempDir(), replicas: map[uint64]*running{}}
	for id := uint64(1); id <= uint64(size); id++ {
		g.members = append(g.members, Member{ID: id, Address: fmt.Sprint(id)})
	}
	for _, m := range g.members {
		g.start(m.ID)
	}
	b.Cleanup(func() {
		for _, m := range g.members {
			g.stop(m.ID)
		}
	})
	return g
}

// groupTransport is the transport of one replica.
type groupTransport struct {
	*group
	from uint64
}

// Send implements Transport. Messages from and to lost replicas are dropped.
func (p groupTransport) Send(to uint64, msg []byte) {
	r := p.get(to)
	if r != nil && p.get(p.from) != nil {
		_ = r.Receive(msg) // a full queue drops, as a network does
	}
}

func (g *group) get(id uint64) *running {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[id]
}

func (g *group) start(id uint64) {
	r := &running{set: metrics.NewSet(), ended: make(chan struct{})}
	var err error
	r.Replica, err = Open(Config{
		ID: id, Dir: filepath.Join(g.dir, fmt.Sprint(id)), Members: g.members, Metrics: r.set, Logger: slog.New(slog.DiscardHandler),
	}, &counterTable{}, groupTransport{g, id})
	if err != nil {
		g.b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	g.mu.Lock()
	g.replicas[id] = r
	g.mu.Unlock()
	go func() {
		defer close(r.ended)
		if err := r.Run(ctx); err != nil {
			g.b.Error(err)
		}
	}()
}

func (g *group) stop(id uint64) {
	r := g.get(id)
	if r == nil {
		return
	}
	r.cancel()
	<-r.ended
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.replicas, id)
}

// kill makes a replica unreachable at once, so that it cannot transfer leadership.
func (g *group) kill(id uint64) *running {
	r := g.get(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.replicas, id)
	r.cancel()
	return r
}

// leader waits for a replica that leads.
func (g *group) leader() *running {
	for {
		for _, m := range g.members {
			if r := g.get(m.ID); r != nil && r.Status().Role == "leader" {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// propose repeats a command at the current leader until it is applied.
func (g *group) propose(data []byte) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := g.leader().Propose(ctx, data)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const commandBytes = 256

// load proposes n commands from many clients at the leader.
func (g *group) load(n, clients int) *hdrhistogram.Histogram {
	r := g.leader()
	g.propose(make([]byte, commandBytes))
	var next atomic.Int64
	var mu sync.Mutex // guards latencies
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			own := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				data := binary.LittleEndian.AppendUint64(make([]byte, 0, commandBytes), uint64(i))
				start := time.Now()
				if _, err := r.Propose(context.Background(), data[:commandBytes]); err != nil {
					g.b.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(start).Microseconds()) // below the bound
			}
			mu.Lock()
			defer mu.Unlock()
			latencies.Merge(own)
		})
	}
	wg.Wait()
	return latencies
}

// BenchmarkPropose measures commits a second and their latency at the leader.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, clients := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", size, clients), func(b *testing.B) {
				g := newGroup(b, size)
				g.leader()
				b.ResetTimer()
				latencies := g.load(b.N, clients)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
			})
		}
	}
}

// BenchmarkReadBarrier measures linearizable reads at a follower.
func BenchmarkReadBarrier(b *testing.B) {
	g := newGroup(b, 3)
	leader := g.leader()
	g.propose(make([]byte, commandBytes))
	follower := g.get(leader.Status().ID%3 + 1)
	b.ResetTimer()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := follower.ReadBarrier(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
}

// BenchmarkRestart measures how long a replica takes from Open to serving after a
// number of changes, and the heap it then holds.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			g := newGroup(b, 1)
			g.load(changes, 512)
			var total, opened time.Duration
			for b.Loop() {
				g.stop(1)
				start := time.Now()
				g.start(1)
				opened += time.Since(start)
				for g.get(1).ReadBarrier(context.Background()) != nil {
					b.Fatal("no barrier")
				}
				total += time.Since(start)
			}
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(opened.Milliseconds())/float64(b.N), "open-ms")
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "serving-ms")
			b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "heap-MiB")
		})
	}
}

// BenchmarkFailover measures the time from the loss of the leader, or from the
// request to stop it, until a command is applied under its successor, with the
// default timeouts.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("lost/replicas=%d", size), func(b *testing.B) { failover(b, size, (*group).kill) })
		b.Run(fmt.Sprintf("stopped/replicas=%d", size), func(b *testing.B) { failover(b, size, (*group).requestStop) })
	}
}

func failover(b *testing.B, size int, end func(*group, uint64) *running) {
	g := newGroup(b, size)
	g.propose(make([]byte, commandBytes))
	gaps := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for range b.N {
		old := g.leader().Status().ID
		start := time.Now()
		r := end(g, old)
		g.propose(make([]byte, commandBytes))
		if err := gaps.RecordValue(time.Since(start).Microseconds()); err != nil {
			b.Fatal(err)
		}
		<-r.ended
		g.start(old)
		g.caughtUp(old)
	}
	b.ReportMetric(float64(gaps.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(gaps.Max())/1000, "max-ms")
}

// requestStop ends a replica gracefully without waiting for it.
func (g *group) requestStop(id uint64) *running {
	r := g.get(id)
	r.cancel()
	return r
}

func (g *group) caughtUp(id uint64) {
	err := errors.New("not caught up")
	for err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = g.get(id).ReadBarrier(ctx)
		cancel()
	}
}

// BenchmarkIdle measures what a group without load costs a second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			g := newGroup(b, size)
			g.propose(make([]byte, commandBytes))
			const period = 10 * time.Second
			for b.Loop() {
				sent, cpu := g.sentBytes(), cpuTime()
				time.Sleep(period)
				b.ReportMetric(float64(g.sentBytes()-sent)/period.Seconds()/float64(size), "bytes/s/replica")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/period.Seconds()/float64(size), "cpu-µs/s/replica")
			}
		})
	}
}

func (g *group) sentBytes() (n uint64) {
	for _, m := range g.members {
		n += g.get(m.ID).counters.sentBytes.Get()
	}
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
