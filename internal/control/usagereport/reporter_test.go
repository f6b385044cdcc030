package usagereport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"filberthook/internal/control/duty"
)

// Guards against a second proposal that changes the counts of a window, and against windows that
// are lost or come back with a snapshot.
func TestFirstProposalOfAWindowStands(t *testing.T) {
	l := NewLedger()
	if data, err := l.Snapshot(); err != nil || len(data) != 0 {
		t.Errorf("snapshot of an empty ledger: %q, %v", data, err)
	}
	apply := func(c command) {
		data, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}
		if failure, ok := l.Apply(data).(error); ok {
			t.Fatal(failure)
		}
	}
	apply(command{Window: 7, Counts: map[string]int64{"a": 1}})
	apply(command{Window: 7, Counts: map[string]int64{"a": 2}})
	apply(command{Window: 6, Counts: map[string]int64{"a": 3}})
	apply(command{Window: 8})
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	apply(command{Window: 7, Delivered: true})
	apply(command{Window: 7, Counts: map[string]int64{"a": 4}})
	if diff := cmp.Diff([]int64{8}, l.Undelivered()); diff != "" || l.Last() != 8 {
		t.Errorf("after delivery: last %d, %s", l.Last(), diff)
	}
	if err := l.Restore(data); err != nil {
		t.Fatal(err)
	}
	if counts, ok := l.Counts(7); !ok || counts["a"] != 1 || l.Last() != 8 {
		t.Errorf("restored %v, %v, last %d", counts, ok, l.Last())
	}
}

// billing stands in for the platform: it is down, slow, limits the rate or loses the answer at
// random. It implements duty.Platform.
type billing struct {
	mu      sync.Mutex
	random  *rand.Rand
	reports map[int64]string // as first received
	taken   map[int64]string // holder whose report was taken
	problem error
}

func (b *billing) ReportUsage(_ context.Context, c duty.Call, window int64, counts map[string]int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := fmt.Sprint(counts)
	if first, ok := b.reports[window]; ok && first != text {
		b.problem = fmt.Errorf("window %d: %s of %s after %s", window, text, c.Holder, first)
	}
	if b.taken[window] == c.Holder {
		b.problem = fmt.Errorf("window %d: %s repeats a report that was taken", window, c.Holder)
	}
	switch b.random.IntN(5) {
	case 0:
		return &duty.RateError{RetryAfter: time.Second}
	case 1:
		return errors.New("cut off")
	case 2:
		b.reports[window] = text
		return context.DeadlineExceeded // it arrived
	}
	b.reports[window], b.taken[window] = text, c.Holder
	return nil
}

func (b *billing) OrderInstances(context.Context, duty.Call, duty.Order) error { return nil }

// turns gives the duty to one of the reporters at a time, or wrongly to both.
type turns struct {
	host   string
	random *rand.Rand
}

func (h *turns) Hold(context.Context) (duty.Call, bool) {
	return duty.Call{Holder: h.host, Fence: 1}, h.random.IntN(3) > 0
}

// Guards against two holders that report different counts of one window, against windows that are
// not reported, and against reports that are repeated though the platform has taken them.
func TestHoldersReportTheSameCountsUntilTheyAreTaken(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			api := &billing{random: rand.New(rand.NewPCG(seed, 1)), reports: map[int64]string{}, taken: map[int64]string{}}
			log := &sync.Mutex{} // orders the commands of both holders, as the replicated log does
			ledger := NewLedger()
			ctx, cancel := context.WithCancel(t.Context())
			for i := range 2 {
				random := rand.New(rand.NewPCG(seed, uint64(10+i)))
				r := &Reporter{
					Collector: newTestCollector(), Ledger: func() *Ledger { return ledger }, Platform: api,
					Duty: &turns{host: fmt.Sprint("c", i), random: rand.New(rand.NewPCG(seed, uint64(20+i)))},
					Propose: func(_ context.Context, command []byte) error {
						time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
						if random.IntN(4) == 0 {
							return errors.New("not committed")
						}
						log.Lock()
						defer log.Unlock()
						ledger.Apply(command)
						if random.IntN(4) == 0 {
							return context.DeadlineExceeded // committed, and not known to be
						}
						return nil
					},
					Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
				}
				r.now = func() time.Duration { return time.Hour }
				// The holders have heard of different counts.
				r.Collector.Add("e", report("1", 0, map[int64]map[string]int64{1000: {"a": int64(i)}, 1003: {"b": int64(i)}}), 0, 0)
				go r.Run(ctx)
			}
			time.Sleep(10 * time.Minute)
			cancel()
			synctest.Wait()
			api.mu.Lock()
			defer api.mu.Unlock()
			if api.problem != nil {
				t.Errorf("seed %d: %v", seed, api.problem)
			}
			if len(ledger.Undelivered()) > 0 || api.taken[1000] == "" || api.taken[1003] == "" {
				t.Errorf("seed %d: %v not delivered of windows up to %d", seed, ledger.Undelivered(), ledger.Last())
			}
		})
	}
}
