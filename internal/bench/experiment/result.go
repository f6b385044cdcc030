package experiment

import (
	"time"

	"filberthook/internal/engines/engineapi"
)

const blockTokens = engineapi.KVBlockTokens

// Result is the outcome of one run of one policy. Ratios and request outcomes cover the
// requests that arrived after the warm-up.
type Result struct {
	Policy      string        `json:"policy"`
	Seed        uint64        `json:"seed"`
	Offered     int           `json:"offered"`
	Good        int           `json:"good"`
	Bound       int           `json:"bound"`
	OfOffered   float64       `json:"good_of_offered"`
	OfBound     float64       `json:"good_of_bound"`
	GoodPerSec  float64       `json:"good_per_second"`
	RoleChanges int           `json:"role_changes"`
	Late        int           `json:"first_token_late"`
	Slow        int           `json:"gaps_or_deadline_missed"`
	Refused     int           `json:"refused"`
	Failed      int           `json:"failed"`
	Unfinished  int           `json:"unfinished"`
	Retries     int           `json:"retries"`
	Cut         int           `json:"attempts_cut_by_orders"`
	Pauses      int           `json:"pauses_for_memory"`
	FirstP50    time.Duration `json:"first_token_p50_ns"`
	FirstP95    time.Duration `json:"first_token_p95_ns"`
	FirstP99    time.Duration `json:"first_token_p99_ns"`
	GapP95      time.Duration `json:"gap_p95_ns"` // 95th percentile over all answers of each answer's 95th percentile
	MemoryPeak  float64       `json:"memory_peak"`

	seconds []second
	changes []roleChange
}

func newResult(r *record, policy string, seed uint64, bound Bound) Result {
	s := r.sim.scenario
	counted := (s.Duration.Duration - s.Warmup.Duration).Seconds()
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Result{
		Policy:      policy,
		Seed:        seed,
		Offered:     r.offered,
		Good:        r.good,
		Bound:       bound.Good,
		OfOffered:   share(r.good, r.offered),
		OfBound:     share(r.good, bound.Good),
		GoodPerSec:  float64(r.good) / counted,
		RoleChanges: len(r.changes),
		Late:        r.late,
		Slow:        r.slow,
		Refused:     r.refused,
		Failed:      r.failed,
		Unfinished:  r.unfinished,
		Retries:     r.retries,
		Cut:         r.cut,
		Pauses:      r.pauses,
		FirstP50:    micros(r.firstToken.ValueAtQuantile(50)),
		FirstP95:    micros(r.firstToken.ValueAtQuantile(95)),
		FirstP99:    micros(r.firstToken.ValueAtQuantile(99)),
		GapP95:      micros(r.gap.ValueAtQuantile(95)),
		MemoryPeak:  r.memoryPeak,
		seconds:     r.seconds,
		changes:     r.changes,
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Spread holds the mean, minimum and maximum of a figure over seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spreadOf(results []Result, figure func(*Result) float64) Spread {
	s := Spread{Min: figure(&results[0]), Max: figure(&results[0])}
	for i := range results {
		v := figure(&results[i])
		s.Mean += v / float64(len(results))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// Summary holds a policy's figures over all seeds of a scenario.
type Summary struct {
	Policy      string `json:"policy"`
	Seeds       int    `json:"seeds"`
	OfOffered   Spread `json:"good_of_offered"`
	OfBound     Spread `json:"good_of_bound"`
	GoodPerSec  Spread `json:"good_per_second"`
	RoleChanges Spread `json:"role_changes"`
	FirstP95    Spread `json:"first_token_p95_seconds"`
	GapP95      Spread `json:"gap_p95_millis"`
	Late        Spread `json:"first_token_late"`
	Slow        Spread `json:"gaps_or_deadline_missed"`
	NotRun      Spread `json:"refused_failed_unfinished"`
}

func newSummary(results []Result) Summary {
	return Summary{
		Policy:      results[0].Policy,
		Seeds:       len(results),
		OfOffered:   spreadOf(results, func(r *Result) float64 { return r.OfOffered }),
		OfBound:     spreadOf(results, func(r *Result) float64 { return r.OfBound }),
		GoodPerSec:  spreadOf(results, func(r *Result) float64 { return r.GoodPerSec }),
		RoleChanges: spreadOf(results, func(r *Result) float64 { return float64(r.RoleChanges) }),
		FirstP95:    spreadOf(results, func(r *Result) float64 { return r.FirstP95.Seconds() }),
		GapP95:      spreadOf(results, func(r *Result) float64 { return float64(r.GapP95.Microseconds()) / 1000 }),
		Late:        spreadOf(results, func(r *Result) float64 { return float64(r.Late) }),
		Slow:        spreadOf(results, func(r *Result) float64 { return float64(r.Slow) }),
		NotRun:      spreadOf(results, func(r *Result) float64 { return float64(r.Refused + r.Failed + r.Unfinished) }),
	}
}

// Comparison holds all runs of a scenario.
type Comparison struct {
	Scenario  string    `json:"scenario"`
	Summaries []Summary `json:"summaries"`
	Runs      []Result  `json:"runs"`
}
