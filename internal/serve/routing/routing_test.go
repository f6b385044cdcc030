package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/prefix"
)

func newRouter(zone string, seed uint64) *Router {
	cfg := DefaultConfig()
	cfg.Zone = zone
	return New(cfg, rand.New(rand.NewPCG(seed, 1)))
}

func engine(name, zone string, role engineapi.Role) Candidate {
	return Candidate{
		Instance: name, Incarnation: 1, Kind: engineapi.KindModel, Zone: zone, Role: role, KVBlocks: 200,
		Models: []engineapi.Model{{Name: "m", Version: "1", Adapters: []string{"a"}}},
	}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

func TestPick(t *testing.T) {
	busy := func(c *Candidate) { c.Load.Running = 60 }
	queue := func(c *Candidate) { c.Load.QueuedPrefill = 40000 }
	full := func(c *Candidate) { c.Load.UsedKVBlocks = 199 }
	request := Request{Model: "m", PromptTokens: 8000, ExpectedOutput: 200, Class: class.Summary}
	tests := []struct {
		name        string
		req         Request
		cands       []Candidate
		want, split string // instance, and the prefill instance if the request is split
	}{
		{"least busy", request, []Candidate{with(engine("w1", "a", "mixed"), busy), engine("w2", "a", "mixed")}, "w2", ""},
		{"shorter backlog", request, []Candidate{with(engine("w1", "a", "mixed"), queue), engine("w2", "a", "mixed")}, "w2", ""},
		{"own zone first", request, []Candidate{engine("w1", "b", "mixed"), engine("w2", "a", "mixed")}, "w2", ""},
		{"spill to another zone", request, []Candidate{engine("w1", "b", "mixed"), with(engine("w2", "a", "mixed"), queue)}, "w1", ""},
		{"split over two roles", request, []Candidate{engine("w1", "a", "prefill"), engine("w2", "a", "decode")}, "w2", "w1"},
		{"split stays within a zone", request, []Candidate{engine("w1", "a", "prefill"), engine("w2", "b", "decode"), engine("w3", "b", "prefill")}, "w2", "w3"},
		{"memory full", request, []Candidate{with(engine("w1", "a", "mixed"), full), engine("w2", "b", "mixed")}, "w2", ""},
		{"adapter", Request{Model: "m", Adapter: "a", PromptTokens: 10}, []Candidate{with(engine("w1", "a", "mixed"), func(c *Candidate) { c.Models = []engineapi.Model{{Name: "m"}} }), engine("w2", "b", "mixed")}, "w2", ""},
		{"excluded", Request{Model: "m", PromptTokens: 10, Exclude: []string{"w1"}}, []Candidate{engine("w1", "a", "mixed"), engine("w2", "b", "mixed")}, "w2", ""},
		{"plain service", Request{Endpoint: "bookings"}, []Candidate{engine("w1", "a", "mixed"), {Instance: "s1", Kind: engineapi.KindService, Endpoint: "status"}, {Instance: "s2", Kind: engineapi.KindService, Endpoint: "bookings"}}, "s2", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter("a", 1)
			r.Prepare(tt.cands)
			d, err := r.Pick(0, &tt.req, tt.cands)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]string{tt.want, tt.split}, []string{d.Instance, d.Prefill}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPickRefusals(t *testing.T) {
	tests := []struct {
		name      string
		req       Request
		change    func(*Candidate)
		reason    Reason
		temporary bool
	}{
		{"model", Request{Model: "other", PromptTokens: 1}, func(*Candidate) {}, ReasonModel, false},
		{"version", Request{Model: "m", Version: "2", PromptTokens: 1}, func(*Candidate) {}, ReasonModel, false},
		{"no service", Request{Endpoint: "bookings"}, func(*Candidate) {}, ReasonKind, false},
		{"decode engine alone", Request{Model: "m", PromptTokens: 1}, func(c *Candidate) { c.Role = engineapi.RoleDecode }, ReasonRole, true},
		{"draining", Request{Model: "m", PromptTokens: 1}, func(c *Candidate) { c.Draining = true }, ReasonDraining, true},
		{"changing", Request{Model: "m", PromptTokens: 1}, func(c *Candidate) { c.Changing = true }, ReasonChanging, true},
		{"lease", Request{Model: "m", PromptTokens: 1}, func(c *Candidate) { c.Fenced = true }, ReasonLease, true},
		{"memory now", Request{Model: "m", PromptTokens: 4000}, func(c *Candidate) { c.Load.UsedKVBlocks = 200 }, ReasonMemory, true},
		{"memory ever", Request{Model: "m", PromptTokens: 500000}, func(*Candidate) {}, ReasonTooLarge, false},
		{"deadline", Request{Model: "m", PromptTokens: 8000, ExpectedOutput: 900, Deadline: time.Second}, func(*Candidate) {}, ReasonDeadline, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter("a", 1)
			cands := []Candidate{with(engine("w1", "a", "mixed"), tt.change)}
			r.Prepare(cands)
			_, err := r.Pick(0, &tt.req, cands)
			var refused *NoCandidateError
			if !errors.As(err, &refused) {
				t.Fatalf("error = %v, want a NoCandidateError", err)
			}
			if refused.MainReason() != tt.reason || refused.Temporary() != tt.temporary {
				t.Errorf("reason %s temporary %v, want %s %v", refused.MainReason(), refused.Temporary(), tt.reason, tt.temporary)
			}
			if !strings.Contains(err.Error(), reasonRemedies[tt.reason]) {
				t.Errorf("%q names no remedy", err)
			}
		})
	}
}

func TestPickPrefersCachedPrefix(t *testing.T) {
	r := newRouter("a", 1)
	cands := []Candidate{engine("w1", "a", "prefill"), engine("w2", "b", "prefill"), engine("w3", "a", "decode"), engine("w4", "b", "decode")}
	r.Prepare(cands)
	events := []engineapi.CacheEvent{{Sequence: 1, Kind: engineapi.CacheStored, Prefix: 7}, {Sequence: 2, Kind: engineapi.CacheStored, Prefix: 8}}
	page := prefix.Page{Instance: "w2", CacheEventPage: engineapi.CacheEventPage{Incarnation: 1, Complete: true, Events: events, Next: 2}}
	r.Prefixes().Apply(0, page)
	req := Request{Model: "m", PromptTokens: 5000, Prefixes: []uint64{7, 8}}
	d, err := r.Pick(0, &req, cands)
	if err != nil || d.Prefill != "w2" || d.CachedTokens != 4000 {
		t.Errorf("decision %+v, %v; want the prompt on w2 with 4000 cached tokens", d, err)
	}
}

// TestInFlightRequestsCountBeforeReports sends requests while the load reports stay
// the same: the router's own requests in flight must spread them over the engines.
func TestInFlightRequestsCountBeforeReports(t *testing.T) {
	r := newRouter("a", 3)
	cands := []Candidate{engine("w1", "a", "prefill"), engine("w2", "a", "prefill"), engine("w3", "a", "prefill"), engine("d1", "a", "decode"), engine("d2", "a", "decode")}
	r.Prepare(cands)
	req := Request{Model: "m", PromptTokens: 2000, ExpectedOutput: 100}
	counts := map[string]int{}
	var decisions []Decision
	for i := range 30 {
		now := time.Duration(i+1) * time.Millisecond
		d, err := r.Pick(now, &req, cands)
		if err != nil {
			t.Fatal(err)
		}
		r.Started(now, &d, &req)
		counts[d.Prefill]++
		counts[d.Instance]++
		decisions = append(decisions, d)
	}
	for name, n := range counts {
		engines := 2
		if name[0] == 'w' {
			engines = 3
		}
		if share := 30 / engines; n < share-3 || n > share+3 {
			t.Errorf("%s got %d of 30, want about %d", name, n, share)
		}
	}
	for i := range decisions {
		r.PrefillDone(time.Second, &decisions[i], &req)
		r.Finished(time.Second, &decisions[i], &req)
	}
	for i := range cands {
		if load := estimateLoad(2*time.Second, &cands[i], 16000); load.running != 0 || load.blocks != 0 || load.backlog != 0 {
			t.Errorf("%s still has load %+v after all requests finished", cands[i].Instance, load)
		}
	}
}

// TestMixedEnginesSeparatePrefillAndDecode sends split requests to mixed engines: no
// engine runs both prefill and decode.
func TestMixedEnginesSeparatePrefillAndDecode(t *testing.T) {
	r := newRouter("a", 3)
	cands := []Candidate{engine("w1", "a", "mixed"), engine("w2", "a", "mixed"), engine("w3", "a", "mixed")}
	r.Prepare(cands)
	req := Request{Model: "m", PromptTokens: 4000, ExpectedOutput: 100}
	prompts, answers := map[string]bool{}, map[string]bool{}
	for i := range 20 {
		now := time.Duration(i+1) * 300 * time.Millisecond
		d, err := r.Pick(now, &req, cands)
		if err != nil {
			t.Fatal(err)
		}
		r.Started(now, &d, &req)
		r.PrefillDone(now+280*time.Millisecond, &d, &req)
		prompts[d.Prefill], answers[d.Instance] = true, true
	}
	for name := range prompts {
		if name == "" || answers[name] {
			t.Errorf("engine %q runs both prefill and decode", name)
		}
	}
}

// TestShortPromptsAreNotSplit checks that a prompt far below the prefill chunk size
// is not split over mixed engines: that costs two more calls and saves nothing.
func TestShortPromptsAreNotSplit(t *testing.T) {
	r := newRouter("bio", 1)
	var cands []Candidate
	for i := range 4 {
		cands = append(cands, engine(fmt.Sprint("e", i), "bio", engineapi.RoleMixed))
	}
	r.Prepare(cands)
	for i := range 20 {
		req := Request{ID: fmt.Sprint(i), Model: "m", PromptTokens: 100, ExpectedOutput: 50}
		d, err := r.Pick(0, &req, cands)
		if err != nil {
			t.Fatal(err)
		}
		if d.Prefill != "" {
			t.Fatalf("request %d: prompt of 100 tokens on %s, answer on %s", i, d.Prefill, d.Instance)
		}
		r.Started(0, &d, &req)
	}
}

func TestPreferredEngines(t *testing.T) {
	tests := []struct {
		name      string
		hosts     []string
		preferred int     // least number of engines of the role that each host prefers
		senders   float64 // hosts that share a preferred engine
	}{
		{"more engines than hosts", []string{"e2", "e1"}, 1, 1},
		{"as many", []string{"e1", "e2", "e3"}, 1, 1},
		{"more hosts than engines", []string{"e1", "e2", "e3", "e4", "e5", "e6"}, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			preferred := map[string]int{}
			for _, self := range tt.hosts {
				r := newRouter("a", 1)
				r.SetPeers(self, tt.hosts, 8)
				cands := []Candidate{engine("d1", "a", "decode"), engine("d2", "a", "decode"), engine("d3", "a", "decode"), engine("x1", "b", "decode")}
				r.Prepare(cands)
				own := 0
				for _, c := range cands[:3] {
					if c.nonPreferred {
						continue
					}
					own++
					preferred[c.Instance]++
					if c.senders != tt.senders {
						t.Errorf("%s: %v hosts share %s, want %v", self, c.senders, c.Instance, tt.senders)
					}
				}
				if own < tt.preferred {
					t.Errorf("%s prefers %d engines, want at least %d", self, own, tt.preferred)
				}
				if cands[3].nonPreferred || cands[3].senders != 8 {
					t.Errorf("%s: engines of other zones are shared by all hosts: %+v", self, cands[3])
				}
			}
			if len(preferred) != 3 {
				t.Errorf("only %v are preferred by a host, want all 3 engines", preferred)
			}
		})
	}
}

func TestSplitRequestReleasesOwnLoad(t *testing.T) {
	r := newRouter("a", 1)
	cands := []Candidate{engine("p", "a", "prefill"), engine("d", "a", "decode")}
	r.Prepare(cands)
	req := Request{Model: "m", PromptTokens: 4000, ExpectedOutput: 100}
	d, err := r.Pick(0, &req, cands)
	if err != nil {
		t.Fatal(err)
	}
	r.Started(time.Millisecond, &d, &req)
	if got := estimateLoad(time.Millisecond, &cands[0], 16000); got.backlog != 4000 || got.blocks != 2 {
		t.Errorf("prefill engine estimate %+v, want 4000 tokens of backlog and 2 KV blocks", got)
	}
	r.PrefillDone(time.Second, &d, &req)
	r.Finished(2*time.Second, &d, &req)
	for _, c := range cands {
		if load := estimateLoad(3*time.Second, &c, 16000); load.running != 0 || load.blocks != 0 {
			t.Errorf("%s still has load %+v after the request finished", c.Instance, load)
		}
	}
}

func TestExplainNamesFilterScoreAndChoice(t *testing.T) {
	r := newRouter("a", 1)
	cands := []Candidate{engine("w1", "a", "mixed"), with(engine("w2", "a", "mixed"), func(c *Candidate) { c.Draining = true })}
	r.Prepare(cands)
	req := Request{Model: "m", PromptTokens: 10, Explain: true}
	d, err := r.Pick(0, &req, cands)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, step := range d.Steps {
		got = append(got, step.Instance+" "+step.Stage+" "+step.Reason)
	}
	want := []string{"w2 filter draining", "w1 score whole", "w1 choice whole"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// fleet returns n engines over four zones, a third of them prefill engines.
func fleet(n int) []Candidate {
	cands := make([]Candidate, n)
	for i := range cands {
		role := engineapi.RoleDecode
		if i%3 == 0 {
			role = engineapi.RolePrefill
		}
		cands[i] = engine(fmt.Sprintf("w%d", i), fmt.Sprintf("z%d", i/3%4), role)
		cands[i].Load = engineapi.LoadReport{Running: i % 40, UsedKVBlocks: i % 100, QueuedPrefill: i * 37 % 9000}
	}
	return cands
}

// TestConcurrentUse picks, starts and ends requests while snapshots, prefixes and
// peers change; at the end no tracked load may remain.
func TestConcurrentUse(t *testing.T) {
	r := newRouter("z0", 1)
	r.Prepare(fleet(18))
	var group errgroup.Group
	for worker := range 4 {
		group.Go(func() error {
			for i := range 200 {
				now := time.Duration(i) * time.Millisecond
				cands := fleet(18)
				r.SetPeers("e1", []string{"e1", "e2"}, 8)
				r.Prepare(cands)
				req := Request{Model: "m", PromptTokens: 4000, ExpectedOutput: 100, Prefixes: []uint64{uint64(worker), uint64(i)}}
				d, err := r.Pick(now, &req, cands)
				if err != nil {
					return err
				}
				r.Started(now, &d, &req)
				r.Prefixes().Observe(now, d.Instance, 1, uint64(i))
				r.PrefillDone(now, &d, &req)
				r.Finished(now, &d, &req)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for name, own := range r.own {
		if own.running != 0 || own.blocks != 0 || own.prefillTokens != 0 {
			t.Errorf("%s still has %d requests, %d KV blocks, %d prompt tokens", name, own.running, own.blocks, own.prefillTokens)
		}
	}
}

// BenchmarkPickParallel shows lock contention between concurrent decisions.
func BenchmarkPickParallel(b *testing.B) {
	r := newRouter("z0", 1)
	cands := fleet(120)
	r.Prepare(cands)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := Request{Model: "m", PromptTokens: 8000, ExpectedOutput: 200, Prefixes: []uint64{1, 2, 3, 4}}
		for pb.Next() {
			if _, err := r.Pick(time.Second, &req, cands); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 18, 120, 600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			r := newRouter("z0", 1)
			cands := fleet(n)
			r.Prepare(cands)
			req := Request{Model: "m", PromptTokens: 8000, ExpectedOutput: 200, Prefixes: []uint64{1, 2, 3, 4}}
			r.Prefixes().Expect(0, "w0", req.Prefixes)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Pick(time.Second, &req, cands); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
