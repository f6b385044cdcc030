package controlhost

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
)

// busyReport returns a report of a host in a large deployment: 20 of 140 engines have
// prompts, and the cache updates are those of a third of a second.
func busyReport(host int) controlapi.LoadReport {
	r := controlapi.LoadReport{
		Tokens: map[string][]int64{}, Demand: map[string]controlapi.Demand{"lm": {PromptTokens: 20_000, OutputTokens: 200}},
	}
	for e := range 20 {
		id := fmt.Sprintf("i-%010x", (host*20+e)%140)
		r.Tokens[id] = []int64{0, 1700, 12000}
		r.Updates = append(r.Updates, placement.CacheUpdate{Instance: id, PrefixKeys: placement.PrefixKeys{uint64(host)<<40 | uint64(e), 1 << 60}})
	}
	return r
}

// The answer to a host that has no updates yet must stay small on a link of 10 Mbit/s,
// even after 64 hosts have reported for ten seconds. All hosts are in this position when
// the leader changes.
func TestUpdatesForANewHostAreBounded(t *testing.T) {
	l := newLoads("1")
	now := time.Unix(1_800_000_000, 0)
	for round := range 28 {
		for host := range 64 {
			report := busyReport(host)
			for i := range report.Updates { // half of the prefixes are used at every host
				report.Updates[i].PrefixKeys = placement.PrefixKeys{uint64(i), uint64(host)<<40 | uint64(round)<<20 | uint64(i)}
			}
			l.exchange(fmt.Sprint(host), report, now)
		}
		now = now.Add(360 * time.Millisecond)
	}
	answer, err := json.Marshal(l.exchange("new", controlapi.LoadReport{}, now))
	if err != nil {
		t.Fatal(err)
	}
	// The link carries this in 100 ms.
	if len(answer) > 125_000 {
		t.Errorf("answer of %d bytes, want at most 125000", len(answer))
	}
	if n := len(l.updates.entries); n > maxLoggedUpdates+64*40 {
		t.Errorf("%d entries are in the log", n)
	}
}

func TestRepeatedUpdatesAreLoggedOnce(t *testing.T) {
	var l updateLog
	now := time.Unix(1_800_000_000, 0)
	updates := func(keys, prefilled placement.PrefixKeys) []placement.CacheUpdate {
		return []placement.CacheUpdate{{Instance: "i", PrefixKeys: keys, Prefilled: prefilled}}
	}
	l.add(updateSource{host: "a"}, updates(placement.PrefixKeys{7}, nil), now)
	l.add(updateSource{host: "b"}, updates(placement.PrefixKeys{7}, nil), now.Add(time.Second))
	first := l.since("c", 0)
	if len(first) != 1 || len(first[0].PrefixKeys) != 1 {
		t.Errorf("updates %v, want one key once", first)
	}
	at := l.last
	l.add(updateSource{host: "b"}, updates(nil, placement.PrefixKeys{7}), now.Add(2*time.Second))
	if more := l.since("c", at); len(more) != 1 || len(more[0].Prefilled) != 1 {
		t.Errorf("updates %v, want the key as prefilled", more)
	}
	at = l.last
	l.add(updateSource{host: "a"}, updates(placement.PrefixKeys{7}, nil), now.Add(2500*time.Millisecond))
	if more := l.since("c", at); len(more) != 0 {
		t.Errorf("updates %v of a prefix that is known to be prefilled", more)
	}
	l.add(updateSource{host: "a"}, updates(nil, placement.PrefixKeys{7}), now.Add(2*time.Second+updateDedupWindow))
	if more := l.since("c", at); len(more) != 1 {
		t.Errorf("updates %v, want the key again after %v", more, updateDedupWindow)
	}
	if own := l.since("a", at); len(own) != 0 {
		t.Errorf("a host gets its own updates: %v", own)
	}
	l.add(updateSource{host: "a"}, nil, now.Add(time.Minute))
	if len(l.entries) != 0 || len(l.newest) != 0 {
		t.Errorf("%d entries are in the log after a minute", len(l.entries))
	}
}

// BenchmarkExchange measures one exchange of load in a group of 64 entry hosts, including
// decoding and encoding.
func BenchmarkExchange(b *testing.B) {
	l := newLoads("1")
	now := time.Unix(1_800_000_000, 0)
	position := make([]uint64, 64)
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h := i % 64
		now = now.Add(360 * time.Millisecond / 64)
		report := busyReport(h)
		report.UpdatesEpoch, report.UpdatesPosition = "1", position[h]
		request, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		var got controlapi.LoadReport
		if err := json.Unmarshal(request, &got); err != nil {
			b.Fatal(err)
		}
		answer := l.exchange(fmt.Sprint(h), got, now)
		position[h] = answer.UpdatesPosition
		out, err := json.Marshal(answer)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(out)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "answer-bytes/op")
}

func TestReportsOfAnyContentDoNotPanic(t *testing.T) {
	ids := rapid.SampledFrom([]string{"", "i", "j"})
	evidence := rapid.Custom(func(t *rapid.T) *quarantine.Report {
		block, age := quarantine.Suspect(ids.Draw(t, "block")), rapid.Int64()
		return &quarantine.Report{
			Ends:     []quarantine.EndReport{{Instance: ids.Draw(t, "id"), Born: rapid.Int64().Draw(t, "born"), AgeMS: age.Draw(t, "end"), Suspects: []quarantine.Suspect{block}}},
			Begins:   []quarantine.BeginReport{{Suspect: block, AgeMS: age.Draw(t, "begin")}},
			Verdicts: []quarantine.VerdictReport{{Suspect: block, Ends: rapid.Int().Draw(t, "ends"), SinceMS: age.Draw(t, "since"), LastEndMS: age.Draw(t, "last"), Probes: rapid.Int().Draw(t, "probes"), ProbedMS: age.Draw(t, "probed")}},
			Words:    []quarantine.WordReport{{Suspect: block, AgeMS: age.Draw(t, "said"), Hold: rapid.Bool().Draw(t, "hold")}},
		}
	})
	report := rapid.Custom(func(t *rapid.T) controlapi.LoadReport {
		r := controlapi.LoadReport{
			IntervalMS:   rapid.Int64().Draw(t, "interval"),
			Tokens:       rapid.MapOfN(ids, rapid.SliceOfN(rapid.Int64(), 0, 12), 0, 3).Draw(t, "tokens"),
			Requests:     rapid.MapOfN(ids, rapid.Float64(), 0, 3).Draw(t, "requests"),
			UpdatesEpoch: rapid.SampledFrom([]string{"", "one"}).Draw(t, "epoch"), UpdatesPosition: rapid.Uint64().Draw(t, "position"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "updates") {
			r.Updates = append(r.Updates, placement.CacheUpdate{
				Instance: ids.Draw(t, "id"), PrefixKeys: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "sent"),
				Prefilled: rapid.SliceOfN(rapid.Uint64(), 0, 3).Draw(t, "prefilled"), PrefillRate: rapid.Float64().Draw(t, "rate"),
			})
		}
		if rapid.Bool().Draw(t, "evidence") {
			r.Evidence = evidence.Draw(t, "evidence")
		}
		for range rapid.IntRange(0, 3).Draw(t, "notices") {
			r.Notices = append(r.Notices, notice.Report{
				Instance: ids.Draw(t, "id"), Born: rapid.Int64().Draw(t, "born"), Limit: rapid.Float64().Draw(t, "limit"),
				Leaving: rapid.Bool().Draw(t, "leaving"), Age: time.Duration(rapid.Int64().Draw(t, "age")),
			})
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		l, now := newLoads("one"), time.Unix(1_800_000_000, 0)
		ledger := quarantine.New(rand.Float64)
		fleet := placement.New(placement.DefaultSettings(), rand.Float64, func(string) bool { return true })
		fleet.Update(&instances.Snapshot{ByEndpoint: map[string][]instances.Instance{"e": {{ID: "i", Born: 1, Endpoint: "e"}, {ID: "j", Born: 2, Endpoint: "e"}}}})
		for range rapid.IntRange(1, 8).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "digest") {
				l.receiveDigest("c", report.Draw(t, "report"), now)
				continue
			}
			answer := l.exchange(ids.Draw(t, "host"), report.Draw(t, "report"), now)
			fleet.SetPeers(2)
			fleet.SetPeerRequests(answer.Requests, now)
			fleet.LearnNotices(answer.Notices, now)
			fleet.ApplyUpdates(answer.Updates, now)
			if answer.Evidence != nil {
				ledger.Learn(*answer.Evidence, now)
			}
			ledger.DueProbes(now)
			ledger.Admit(ledger.Request([]quarantine.Suspect{"i"}), now)
			_, _ = fleet.PlaceService("e", "z", nil, now) // may find no instance
			l.digest(0, now)
			l.Demand()
		}
	})
}
