package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/engineapi"
)

// Defaults and limits of announcements.
const (
	DefaultAnnounceEvery = 500 * time.Millisecond
	DefaultLease         = 3 * time.Second
	DefaultLeaveGrace    = 3 * time.Second
	announceTimeout      = time.Second
	maxLearnedEntries    = 64
	maxReplyBytes        = 64 << 10
)

// Identity names one stand-in and says how it announces itself.
type Identity struct {
	Instance      string
	Incarnation   uint64 // 0 means the start time in nanoseconds
	Endpoint      string
	Zone          string        // availability zone
	Address       string        // IP:port at which it is reached
	Entries       []string      // IP:port of entry hosts to announce to
	AnnounceEvery time.Duration // 0 means DefaultAnnounceEvery
	Lease         time.Duration // 0 means DefaultLease
	LeaveGrace    time.Duration // how long a leaving stand-in still accepts new work; 0 means DefaultLeaveGrace
}

func (id Identity) withDefaults() Identity {
	if id.Incarnation == 0 {
		id.Incarnation = uint64(time.Now().UnixNano())
	}
	if id.AnnounceEvery <= 0 {
		id.AnnounceEvery = DefaultAnnounceEvery
	}
	if id.Lease <= 0 {
		id.Lease = DefaultLease
	}
	if id.LeaveGrace <= 0 {
		id.LeaveGrace = DefaultLeaveGrace
	}
	return id
}

// announcer sends the announcements of one stand-in.
type announcer struct {
	id      Identity
	build   func() engineapi.Announcement
	faults  *Faults
	client  *http.Client
	log     *slog.Logger
	start   time.Time
	trigger chan struct{} // requests an immediate announcement
	sent    *metrics.Counter
	failed  *metrics.Counter

	seq uint64 // sequence of the newest announcement, used by run only

	mu      sync.Mutex
	learned []string // entry hosts named in replies; guarded by mu
}

func newAnnouncer(id Identity, faults *Faults, set *metrics.Set, log *slog.Logger, build func() engineapi.Announcement) *announcer {
	return &announcer{
		id:      id,
		build:   build,
		faults:  faults,
		client:  &http.Client{Timeout: announceTimeout},
		log:     log,
		start:   time.Now(),
		trigger: make(chan struct{}, 1),
		sent:    set.NewCounter("filberthook_standin_announcements_sent_total"),
		failed:  set.NewCounter("filberthook_standin_announcements_failed_total"),
	}
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	tick := time.NewTicker(a.id.AnnounceEvery)
	defer tick.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-a.trigger:
		}
	}
}

// announceNow requests an announcement before the next one is due.
func (a *announcer) announceNow() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// announce sends one announcement to each known entry host and waits until
// each has answered or timed out.
func (a *announcer) announce(ctx context.Context) {
	if !a.faults.waitRunning(ctx) {
		return
	}
	msg := a.build()
	targets := a.entries()
	a.seq++
	msg.Sequence = a.seq
	msg.SentAt = time.Since(a.start)
	body, err := json.Marshal(msg)
	if err != nil {
		a.log.Error("announcement could not be encoded, skipping it", "err", err)
		return
	}
	var wg sync.WaitGroup
	for _, entry := range targets {
		wg.Go(func() { a.send(ctx, entry, body) })
	}
	wg.Wait()
}

// entries returns the configured and learned entry hosts to announce to.
func (a *announcer) entries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.Clone(a.id.Entries)
	for _, l := range a.learned {
		if !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}

func (a *announcer) send(ctx context.Context, entry string, body []byte) {
	reply, err := a.post(ctx, entry, body)
	if err != nil {
		a.failed.Inc()
		a.log.Debug("announcement failed", "entry", entry, "err", err)
		a.removeLearned(entry)
		return
	}
	a.sent.Inc()
	if !reply.Accepted {
		a.log.Warn("announcement refused", "entry", entry, "reason", reply.Reason)
		return
	}
	a.addLearned(reply.Peers)
}

func (a *announcer) post(ctx context.Context, entry string, body []byte) (engineapi.AnnounceReply, error) {
	var reply engineapi.AnnounceReply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+engineapi.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("entry address %q: %w", entry, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("entry %s answered %s", entry, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply)
	return reply, err
}

func (a *announcer) addLearned(peers []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range peers {
		if len(a.learned) >= maxLearnedEntries {
			return
		}
		if !slices.Contains(a.learned, p) {
			a.learned = append(a.learned, p)
		}
	}
}

// removeLearned drops a learned entry host; a later reply can add it again.
func (a *announcer) removeLearned(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learned = slices.DeleteFunc(a.learned, func(l string) bool { return l == entry })
}
