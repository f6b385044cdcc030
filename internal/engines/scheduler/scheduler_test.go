package scheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/demand"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/admission"
	"filberthook/internal/serve/routing"

	"github.com/VictoriaMetrics/metrics"
)

func newScheduler(t *testing.T, announcements ...engineapi.Announcement) (*Scheduler, *directory.Directory) {
	t.Helper()
	dir := directory.New()
	for _, a := range announcements {
		if _, err := dir.Put(0, a); err != nil {
			t.Fatal(err)
		}
	}
	cfg := routing.DefaultConfig()
	cfg.Zone = "bio"
	router := routing.New(cfg, rand.New(rand.NewPCG(1, 2)))
	settings := Settings{Routing: cfg, Admission: admission.DefaultConfig()}
	now := func() time.Duration { return time.Second }
	return New(settings, now, dir, router, &demand.Meter{}, metrics.NewSet()), dir
}

func engine(name string) engineapi.Announcement {
	return engineapi.Announcement{
		Instance:     name,
		Incarnation:  1,
		Sequence:     1,
		Kind:         engineapi.KindModel,
		Zone:         "bio",
		Address:      "127.0.0.1:9000",
		KVBlocks:     100,
		LeaseSeconds: 3,
		State:        engineapi.EngineState{Role: engineapi.RoleMixed, Models: []engineapi.Model{{Name: "m", Version: "1"}}},
	}
}

func request() *routing.Request {
	return &routing.Request{ID: "r", Model: "m", Kind: engineapi.KindModel, PromptTokens: 100, ExpectedOutput: 10}
}

func TestPickFollowsTheDirectory(t *testing.T) {
	s, dir := newScheduler(t, engine("w1"))
	d, err := s.Pick(request())
	if err != nil || d.Instance != "w1" {
		t.Fatalf("picked %q, %v", d.Instance, err)
	}
	s.Draining("w1", 1)
	var none *routing.NoCandidateError
	if _, err := s.Pick(request()); !errors.As(err, &none) {
		t.Errorf("got %v after the drain, want a NoCandidateError", err)
	}
	if _, err := dir.Put(0, engine("w2")); err != nil {
		t.Fatal(err)
	}
	if d, err := s.Pick(request()); err != nil || d.Instance != "w2" {
		t.Errorf("picked %q, %v, want w2", d.Instance, err)
	}
}

func TestUnchangedDirectoryKeepsCandidates(t *testing.T) {
	s, _ := newScheduler(t, engine("w1"), engine("w2"))
	first := &s.Candidates()[0]
	if first != &s.Candidates()[0] {
		t.Error("candidates were built twice for one generation")
	}
}

// TestRequestWaitsForFullEngine checks that a request is queued while its engine
// is full, is placed when capacity is freed, and leaves the queue empty.
func TestRequestWaitsForFullEngine(t *testing.T) {
	small := engine("w1")
	small.KVBlocks = 2
	s, _ := newScheduler(t, small)
	big := func() *routing.Request {
		r := request()
		r.PromptTokens = 3000
		return r
	}
	place := Placement{Team: "t", Endpoint: "e", TimeLeft: time.Minute, MaxTokens: 100}
	first := big()
	d, err := s.Place(context.Background(), place, first)
	if err != nil {
		t.Fatal(err)
	}
	placed := make(chan error, 1)
	go func() {
		_, err := s.Place(context.Background(), place, big())
		placed <- err
	}()
	for s.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.dispatchAll()
	if s.Waiting() != 1 {
		t.Fatal("placed although the engine is full")
	}
	s.Finished(&d, first)
	s.dispatchAll()
	if err := <-placed; err != nil {
		t.Errorf("second request: %v", err)
	}
}

func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	small := engine("w1")
	small.KVBlocks = 2
	s, _ := newScheduler(t, small)
	r := request()
	r.PromptTokens = 3000
	place := Placement{Team: "t", Endpoint: "e", TimeLeft: time.Minute, MaxTokens: 100}
	if _, err := s.Place(context.Background(), place, r); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	second := request()
	second.PromptTokens = 3000
	var canceled *CanceledError
	if _, err := s.Place(ctx, place, second); !errors.As(err, &canceled) {
		t.Errorf("got %v, want a CanceledError", err)
	}
	if s.Waiting() != 0 {
		t.Error("the canceled request is still queued")
	}
}

func TestImpossibleRequestIsRefusedAtOnce(t *testing.T) {
	s, _ := newScheduler(t, engine("w1"))
	r := request()
	r.Model = "unknown"
	var none *routing.NoCandidateError
	if _, err := s.Place(context.Background(), Placement{TimeLeft: time.Minute}, r); !errors.As(err, &none) {
		t.Errorf("got %v, want a NoCandidateError", err)
	}
}
