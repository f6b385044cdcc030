package cachefeed

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/prefix"

	"github.com/VictoriaMetrics/metrics"
)

// fakeEngine answers every poll with the same page.
func fakeEngine(t *testing.T, status int, page engineapi.CacheEventPage) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func newFeed(t *testing.T, address string) (*Feed, *prefix.Index) {
	t.Helper()
	dir := directory.New()
	a := engineapi.Announcement{
		Instance: "w1", Incarnation: 4, Sequence: 1, Kind: engineapi.KindModel,
		Zone: "bio", Address: address, LeaseSeconds: 3,
		Load: engineapi.LoadReport{Sequence: 1, CacheEventsSeq: 1},
	}
	if _, err := dir.Put(0, a); err != nil {
		t.Fatal(err)
	}
	index := prefix.NewIndex(prefix.DefaultConfig())
	now := func() time.Duration { return time.Second }
	return New("bio", now, dir, index, metrics.NewSet(), slog.New(slog.DiscardHandler)), index
}

func matched(index *prefix.Index, hash uint64) int {
	var m prefix.Matches
	index.Match(time.Second, []uint64{hash}, &m)
	return m.Blocks(index.Slot("w1"))
}

func TestPollFillsTheIndex(t *testing.T) {
	const hash = 77
	address := fakeEngine(t, http.StatusOK, engineapi.CacheEventPage{
		Incarnation: 4, Complete: true, Next: 1,
		Events: []engineapi.CacheEvent{{Sequence: 1, Kind: engineapi.CacheStored, Prefix: hash}},
	})
	f, index := newFeed(t, address)
	due := f.scan()
	if len(due) != 1 {
		t.Fatalf("%d engines due, want 1", len(due))
	}
	if again := f.scan(); len(again) != 0 {
		t.Error("an engine with a poll under way is polled again")
	}
	f.poll(context.Background(), due[0])
	if got := matched(index, hash); got != 1 {
		t.Errorf("%d blocks matched, want 1", got)
	}
	if rest := f.scan(); len(rest) != 0 {
		t.Error("polled again without new events")
	}
}

func TestFailedPollIsDelayed(t *testing.T) {
	f, _ := newFeed(t, fakeEngine(t, http.StatusServiceUnavailable, engineapi.CacheEventPage{}))
	f.poll(context.Background(), f.scan()[0])
	if f.failed.Get() != 1 {
		t.Error("failure not counted")
	}
	if due := f.scan(); len(due) != 0 {
		t.Error("polled again at once after a failure")
	}
}

func TestSpentByteBudgetStopsPolls(t *testing.T) {
	f, _ := newFeed(t, fakeEngine(t, http.StatusOK, engineapi.CacheEventPage{Incarnation: 4, Complete: true}))
	f.chargeBytes(bytesBurst)
	f.chargeBytes(bytesBurst)
	if due := f.scan(); len(due) != 0 {
		t.Error("an engine is polled although the byte budget is used up")
	}
}
