package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
)

// second is what one second of a run has seen. Requests count in the second of
// their arrival.
type second struct {
	Offered     [class.Count]int
	Good        [class.Count]int
	RoleChanges int
	FirstToken  []time.Duration // of the model answers that arrived then
	Gap         []time.Duration // 95th percentile of each answer's gaps
	Memory      float64         // share of engine memory in use
	Prompts     float64         // share of the engines that may compute prompts only
}

// record collects what a run shows.
type record struct {
	sim     *sim
	seconds []second

	changes    []roleChange
	retries    int
	cut        int // attempts cut by an order
	pauses     int
	refused    int
	failed     int
	unfinished int
	offered    int // counted requests
	good       int
	late       int                     // first token late
	slow       int                     // too many slow gaps
	firstToken *hdrhistogram.Histogram // microseconds
	gap        *hdrhistogram.Histogram // microseconds, of each answer's 95th percentile
	memoryPeak float64
}

func newRecord(s *sim) *record {
	const highest, digits = int64(10 * time.Minute / time.Microsecond), 3
	length := int(s.scenario.Duration.Seconds()) + 1
	return &record{
		sim:        s,
		seconds:    make([]second, length),
		firstToken: hdrhistogram.New(1, highest, digits),
		gap:        hdrhistogram.New(1, highest, digits),
	}
}

// at returns the entry of a time; later ones go to the last.
func (r *record) at(t time.Duration) *second {
	i := min(int(t/time.Second), len(r.seconds)-1)
	return &r.seconds[i]
}

// roleChange is one change of an engine's role, at the time its drain begins.
type roleChange struct {
	At       time.Duration
	Instance string
	From, To engineapi.Role
	Reason   string
}

// roleChange notes a role change that begins.
func (r *record) roleChange(c roleChange) {
	r.changes = append(r.changes, c)
	r.at(c.At).RoleChanges++
}

// ended takes in the latencies of a request that has ended.
func (r *record) ended(j *job) {
	if j.state != jobDone || j.workload.Endpoint != "" {
		return
	}
	first, gap := j.firstToken(r.sim), j.gapP95()
	s := r.at(j.arrival.at)
	s.FirstToken = append(s.FirstToken, first)
	s.Gap = append(s.Gap, gap)
	if j.arrival.at < r.sim.scenario.Warmup.Duration {
		return
	}
	_ = r.firstToken.RecordValue(min(first.Microseconds(), r.firstToken.HighestTrackableValue()))
	_ = r.gap.RecordValue(min(gap.Microseconds(), r.gap.HighestTrackableValue()))
}

// sample notes the state of the fleet.
func (r *record) sample() {
	now := r.sim.clock.now
	used, total, prompts, engines := 0, 0, 0, 0
	for _, w := range r.sim.workers {
		if !w.alive {
			continue
		}
		used += w.engine.Load(now).UsedKVBlocks
		total += r.sim.scenario.Fleet.Pieces
		engines++
		if w.role == engineapi.RolePrefill {
			prompts++
		}
	}
	if engines == 0 {
		return
	}
	s := r.at(now)
	s.Memory = float64(used) / float64(total)
	s.Prompts = float64(prompts) / float64(engines)
	r.memoryPeak = max(r.memoryPeak, s.Memory)
}

// close counts all requests once the run has ended.
func (r *record) close() {
	for _, j := range r.sim.jobs {
		r.count(j)
	}
}

func (r *record) count(j *job) {
	s := r.at(j.arrival.at)
	class := j.workload.Class
	good := j.good(r.sim)
	s.Offered[class]++
	if good {
		s.Good[class]++
	}
	if j.arrival.at < r.sim.scenario.Warmup.Duration {
		return
	}
	r.offered++
	switch {
	case good:
		r.good++
	case j.state == jobRefused:
		r.refused++
	case j.state == jobFailed:
		r.failed++
	case j.state != jobDone:
		r.unfinished++
	case j.workload.Endpoint == "" && j.firstToken(r.sim) > r.sim.targets(j).FirstToken.Duration:
		r.late++
	default:
		r.slow++
	}
}

// percentile returns a percentile of durations, or 0 when there are none.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
