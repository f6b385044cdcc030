package claimlog_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/deployment"
	"filberthook/internal/control/controlnode"
	"filberthook/internal/control/operator"
	"filberthook/internal/network/peer"
	"filberthook/internal/serve/claim"
	"filberthook/internal/serve/claimlog"
	"filberthook/internal/serve/request"
)

// benchAnswerBytes is the body size of the answers that benchmarks store.
const benchAnswerBytes = 512

// startGroup starts control replicas with storage on disk and returns one client for each.
func startGroup(b *testing.B, replicas int) []*claimlog.Client {
	d, err := deployment.Start(deployment.Options{Dir: b.TempDir(), Zones: []string{"bio", "sdr", "ovd"}, Controls: replicas, EntriesPerZone: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = d.Stop() })
	var clients []*claimlog.Client
	for i := range d.Controls {
		set := metrics.NewSet()
		var callers []claimlog.Caller
		for j := range d.Controls {
			address := d.Controls[(i+j)%len(d.Controls)].Peers
			c := peer.NewClient(address, peer.Options{Self: peer.Identity{Host: fmt.Sprint("entry-", i), Zone: "bio"}})
			b.Cleanup(func() { _ = c.Close() })
			callers = append(callers, c)
		}
		log := claimlog.NewReplicas(callers, controlnode.MethodClaims, func(err error) bool {
			var na *operator.NotAppliedError
			return errors.As(controlnode.RemoteOutcome(err), &na)
		})
		c := claimlog.New(log, claimlog.DefaultSettings(), request.NewCounters(set), set)
		b.Cleanup(c.Close)
		clients = append(clients, c)
	}
	awaitLeader(b, clients[0])
	return clients
}

// awaitLeader claims keys until a claim succeeds, which needs an elected leader.
func awaitLeader(b *testing.B, c *claimlog.Client) {
	for n := range 100 {
		if _, err := c.Claim(b.Context(), benchClaim(fmt.Sprint("first-", n))); err == nil {
			return
		}
	}
	b.Fatal("the control group has no leader")
}

func benchClaim(key string) claim.Command {
	return claim.Command{
		Key:      claim.Key{Team: "t", Endpoint: "booking", Idempotency: key},
		Attempt:  "attempt-" + key,
		Entry:    "entry",
		BodyHash: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
		Hold:     time.Minute,
	}
}

// claimStats collects claim latencies and failures.
type claimStats struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // in microseconds; guarded by mu
	failed    int                     // guarded by mu
}

// call claims a key and stores an answer, as a booking call does.
func (m *claimStats) call(ctx context.Context, c *claimlog.Client, key string) {
	start := time.Now()
	cmd := benchClaim(key)
	res, err := c.Claim(ctx, cmd)
	latency := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || res.Status != claim.Granted {
		m.failed++
		return
	}
	_ = m.latencies.RecordValue(latency.Microseconds())
	c.Complete(cmd.Key, cmd.Attempt, &claim.StoredAnswer{Status: 200, Body: make([]byte, benchAnswerBytes)})
}

func (m *claimStats) report(b *testing.B, elapsed time.Duration) {
	b.ReportMetric(float64(m.latencies.TotalCount())/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(m.latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(m.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(m.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

func newClaimStats() *claimStats {
	return &claimStats{latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// BenchmarkClaimsAtRate claims keys at a fixed rate, without waiting for earlier claims
// (open loop).
func BenchmarkClaimsAtRate(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		for _, rate := range []int{100, 800} {
			b.Run(fmt.Sprintf("replicas=%d/rate=%d", replicas, rate), func(b *testing.B) {
				clients := startGroup(b, replicas)
				m := newClaimStats()
				ticker := time.NewTicker(time.Second / time.Duration(rate))
				defer ticker.Stop()
				var wg sync.WaitGroup
				b.ResetTimer()
				for i := range b.N {
					<-ticker.C
					wg.Go(func() { m.call(b.Context(), clients[i%len(clients)], fmt.Sprint(i)) })
				}
				wg.Wait()
				m.report(b, b.Elapsed())
			})
		}
	}
}

// BenchmarkClaimsAtOnce keeps a fixed number of claims in flight (closed loop).
func BenchmarkClaimsAtOnce(b *testing.B) {
	for _, callers := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("replicas=3/callers=%d", callers), func(b *testing.B) {
			clients := startGroup(b, 3)
			m := newClaimStats()
			keys := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for i := range keys {
						m.call(b.Context(), clients[i%len(clients)], fmt.Sprint(i))
					}
				})
			}
			b.ResetTimer()
			for i := range b.N {
				keys <- i
			}
			close(keys)
			wg.Wait()
			m.report(b, b.Elapsed())
		})
	}
}
