package placement

import (
	"fmt"
	"testing"
	"time"

	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
	"filberthook/internal/serve/dialect"
)

// largeFleet returns the view of an entry host of 320 engines that have 6,000 prefixes
// cached.
func largeFleet() *Fleet {
	f := New(DefaultSettings(), func() float64 { return 0.5 }, func(string) bool { return true })
	s := &instances.Snapshot{ByEndpoint: map[string][]instances.Instance{}}
	for n := range 320 {
		stage := instances.Prefill
		if n%5 == 0 {
			stage = instances.Decode
		}
		id := fmt.Sprintf("i-%010x", n*7919)
		s.ByEndpoint["lm"] = append(s.ByEndpoint["lm"], instances.Instance{
			ID: id, Born: 1, Endpoint: "lm", Address: id, Zone: fmt.Sprint("z", n%6), Slots: 16, Stage: stage,
		})
	}
	f.Update(s)
	return f
}

func largePrompt(n int) *Prompt {
	return &Prompt{
		Endpoint: "lm", Model: "m", Tokens: 17_000, OutputTokens: 120, Goal: 600 * time.Millisecond, TimeLeft: 5 * time.Second,
		PrefixBlocks: []dialect.PrefixBlock{{ID: fmt.Sprint("s", n), Tokens: 13_300}, {ID: fmt.Sprint("u", n), Tokens: 3_700}},
	}
}

// BenchmarkPlaceLargeFleet measures the placement of one prompt on 320 engines.
func BenchmarkPlaceLargeFleet(b *testing.B) {
	f := largeFleet()
	now := time.Unix(1_800_000_000, 0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := f.Place(largePrompt(n%2063), now); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPlaceLargeFleetWithLimits measures the same when every engine has named a limit.
func BenchmarkPlaceLargeFleetWithLimits(b *testing.B) {
	f := largeFleet()
	now := time.Unix(1_800_000_000, 0)
	f.SetPeers(294)
	var reports []notice.Report
	for id := range f.byID {
		reports = append(reports, notice.Report{Instance: id, Born: 1, Limit: 3})
	}
	f.LearnNotices(reports, now)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(285 * time.Millisecond)
		_, _ = f.Place(largePrompt(n%2063), now) // refused if no permit is valid
	}
}
