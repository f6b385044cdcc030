package scheduler

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/directory"
	"filberthook/internal/engineapi"
	"filberthook/internal/routing"
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
	return New(func() time.Duration { return time.Second }, dir, router), dir
}

func engine(name string) engineapi.Announcement {
	return engineapi.Announcement{
		Instance:     name,
		Incarnation:  1,
		Sequence:     1,
		Kind:         engineapi.KindModel,
		Zone:         "bio",
		Address:      "127.0.0.1:9000",
		Pieces:       100,
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
