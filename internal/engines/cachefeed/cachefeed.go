// Package cachefeed reads the cache events of engines into the prefix index. It
// polls only engines whose load report shows events that the index lacks, and limits
// the rates of polls and of bytes, so that its cost does not grow with the fleet. The
// index lowers its confidence in engines that are not polled in time.
package cachefeed

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/serve/prefix"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

// Limits of polls.
const (
	scanInterval       = 200 * time.Millisecond
	pollTimeout        = 2 * time.Second
	maxPageBytes       = 4 << 20
	pollsPerSec        = 20
	maxConcurrentPolls = 4
	pollBurst          = 20
	bytesPerSec        = 2 << 10
	bytesBurst         = maxPageBytes    // one whole page; its bytes are charged after it was read
	retryInterval      = 2 * time.Second // after a failed poll of an engine
)

// Source lists the known instances.
type Source interface {
	Snapshot() *directory.Snapshot
}

// Index receives cache events. *prefix.Index implements it.
type Index interface {
	Observe(now time.Duration, instance string, incarnation, newest uint64)
	NeedsPage(instance string) bool
	Next(instance string) (incarnation, after uint64)
	Apply(now time.Duration, page prefix.Page) (gap bool)
	Forget(instance string)
}

// Feed polls engines while Run runs. Run may be called only once.
type Feed struct {
	zone      string
	now       func() time.Duration
	source    Source
	index     Index
	client    *http.Client
	pollLimit *rate.Limiter // of polls
	byteLimit *rate.Limiter // of bytes read
	slots     chan struct{}
	log       *slog.Logger

	mu         sync.Mutex // guards the maps
	polling    map[string]bool
	retryAfter map[string]time.Duration // earliest next poll of an engine whose last poll failed
	known      map[string]bool          // engines of the last scan

	set    *metrics.Set
	polls  *metrics.Counter
	read   *metrics.Counter // bytes
	failed *metrics.Counter
	gaps   *metrics.Counter
}

// New returns a feed for the engines of one availability zone.
func New(zone string, now func() time.Duration, source Source, index Index, set *metrics.Set, log *slog.Logger) *Feed {
	return &Feed{
		zone:       zone,
		now:        now,
		source:     source,
		index:      index,
		client:     httpanswer.NewClient(pollTimeout),
		pollLimit:  rate.NewLimiter(pollsPerSec, pollBurst),
		byteLimit:  rate.NewLimiter(bytesPerSec, bytesBurst),
		slots:      make(chan struct{}, maxConcurrentPolls),
		log:        log,
		polling:    make(map[string]bool),
		retryAfter: make(map[string]time.Duration),
		known:      make(map[string]bool),
		set:        set,
		polls:      set.GetOrCreateCounter("filberthook_cache_event_polls_total"),
		read:       set.GetOrCreateCounter("filberthook_cache_event_read_bytes_total"),
		failed:     set.GetOrCreateCounter("filberthook_cache_event_poll_failures_total"),
		gaps:       set.GetOrCreateCounter("filberthook_cache_event_gaps_total"),
	}
}

// Run polls until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, due := range f.scan() {
			select {
			case f.slots <- struct{}{}:
			default:
				f.markIdle(due.instance)
				continue
			}
			polls.Go(func() {
				defer func() { <-f.slots }()
				f.poll(ctx, due)
			})
		}
	}
}

// target is one engine to poll.
type target struct{ instance, address string }

// scan passes the newest load reports to the index and returns the engines to poll
// now, each marked as being polled.
func (f *Feed) scan() []target {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool)
	var due []target
	for _, r := range f.source.Snapshot().Records {
		a := &r.Announcement
		if a.Kind != engineapi.KindModel || a.Zone != f.zone {
			continue
		}
		seen[a.Instance] = true
		f.index.Observe(now, a.Instance, a.Incarnation, a.Load.CacheEventsSeq)
		if f.polling[a.Instance] || now < f.retryAfter[a.Instance] || !f.index.NeedsPage(a.Instance) {
			continue
		}
		if f.byteLimit.Tokens() <= 0 || !f.pollLimit.Allow() {
			break
		}
		f.polling[a.Instance] = true
		due = append(due, target{a.Instance, a.Address})
	}
	f.forgetRemoved(seen)
	return due
}

// forgetRemoved removes from the index the engines of the last scan that are missing in
// seen, the engines of this scan. The caller holds f.mu.
func (f *Feed) forgetRemoved(seen map[string]bool) {
	for instance := range f.known {
		if !seen[instance] {
			f.index.Forget(instance)
			delete(f.retryAfter, instance)
		}
	}
	f.known = seen
}

func (f *Feed) markIdle(instance string) {
	f.mu.Lock()
	delete(f.polling, instance)
	f.mu.Unlock()
}

func (f *Feed) poll(ctx context.Context, t target) {
	defer f.markIdle(t.instance)
	f.polls.Inc()
	_, after := f.index.Next(t.instance)
	page, err := f.fetch(ctx, t.address, after)
	if err != nil {
		f.failed.Inc()
		httpanswer.Count(f.set, err)
		f.log.Debug("cache events not read", "instance", t.instance, "err", err)
		f.mu.Lock()
		f.retryAfter[t.instance] = f.now() + retryInterval
		f.mu.Unlock()
		return
	}
	if f.index.Apply(f.now(), prefix.Page{Instance: t.instance, After: after, CacheEventPage: page}) {
		f.gaps.Inc()
	}
}

func (f *Feed) fetch(ctx context.Context, address string, after uint64) (engineapi.CacheEventPage, error) {
	var page engineapi.CacheEventPage
	url := fmt.Sprintf("http://%s%s?after=%d", address, engineapi.PathCacheEvents, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return page, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return page, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return page, fmt.Errorf("status %s", resp.Status)
	}
	body, err := httpanswer.ReadBody(resp.Body, resp.ContentLength, maxPageBytes, nil)
	f.chargeBytes(len(body))
	if err != nil {
		return page, err
	}
	err = json.Unmarshal(body, &page)
	return page, err
}

// chargeBytes takes the bytes of a page from the byte budget. No poll starts while the
// budget is used up.
func (f *Feed) chargeBytes(n int) {
	f.read.Add(n)
	f.byteLimit.ReserveN(time.Now(), min(n, bytesBurst))
}
