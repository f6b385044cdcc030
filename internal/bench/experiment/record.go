package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
)

// second holds the figures of one second of a run. Requests count in the second of their
// arrival.
type second struct {
	Offered        [class.Count]int
	Good           [class.Count]int
	RoleChanges    int
	FirstToken     []time.Duration // of the model requests that arrived in it
	Gap            []time.Duration // 95th percentile of each answer's gaps
	Memory         float64         // share of engine memory in use
	PrefillEngines float64         // share of live engines in the prefill role
}

// record collects the measurements of a run.
type record struct {
	sim     *sim
	seconds []second

	changes    []roleChange
	retries    int
	cut        int // attempts ended by an order
	pauses     int
	refused    int
	failed     int
	unfinished int
	offered    int // requests after the warm-up
	good       int
	late       int                     // first token after its target
	slow       int                     // too many gaps above target, or deadline missed
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

// at returns the second that contains t; times after the scenario's end belong to the last one.
func (r *record) at(t time.Duration) *second {
	i := min(int(t/time.Second), len(r.seconds)-1)
	return &r.seconds[i]
}

// roleChange is one change of an engine's role; At is when its drain begins.
type roleChange struct {
	At       time.Duration
	Instance string
	From, To engineapi.Role
	Reason   string
}

// addRoleChange records the start of a role change.
func (r *record) addRoleChange(c roleChange) {
	r.changes = append(r.changes, c)
	r.at(c.At).RoleChanges++
}

// addLatencies records the latencies of a request if it is a completed model request. Those
// of the warm-up enter the per-second figures only.
func (r *record) addLatencies(j *job) {
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

// sample records memory use and the share of prefill engines.
func (r *record) sample() {
	now := r.sim.clock.now
	used, total, prefills, engines := 0, 0, 0, 0
	for _, w := range r.sim.workers {
		if !w.alive {
			continue
		}
		used += w.engine.Load(now).UsedKVBlocks
		total += r.sim.scenario.Fleet.KVBlocks
		engines++
		if w.role == engineapi.RolePrefill {
			prefills++
		}
	}
	if engines == 0 {
		return
	}
	s := r.at(now)
	s.Memory = float64(used) / float64(total)
	s.PrefillEngines = float64(prefills) / float64(engines)
	r.memoryPeak = max(r.memoryPeak, s.Memory)
}

// close counts the outcomes of all requests after the run.
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
