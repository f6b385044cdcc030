package experiment

import (
	"math"
	"time"

	"filberthook/internal/serve/routing"
)

// jobState is the place of a request in its life.
type jobState uint8

const (
	jobWaiting jobState = iota
	jobRunning
	jobDone
	jobRefused
	jobFailed
)

// gapBinMillis and gapBins size the histogram of one answer's token gaps.
const (
	gapBinMillis = 4
	gapBins      = 64
)

// job is one request on its way and what its caller has seen of it.
type job struct {
	id       int
	arrival  *arrival
	workload *Workload
	entry    *entry
	state    jobState
	req      routing.Request
	decision routing.Decision
	place    placement
	prompted bool // the prompt part of the present attempt has finished
	attempts int

	generated int
	first     time.Duration
	last      time.Duration
	ended     time.Duration
	slow      int // gaps above the class's target
	gaps      [gapBins]uint16
}

// placement is where the parts of a request run. Prompt is nil for a request
// that runs whole.
type placement struct {
	prompt *worker
	answer *worker
}

// token notes an output token.
func (j *job) token(s *sim, at time.Duration) {
	j.generated++
	if j.generated == 1 {
		j.first = at
		j.last = at
		return
	}
	gap := at - j.last
	j.last = at
	if gap > s.targets(j).Gap.Duration {
		j.slow++
	}
	bin := min(gapBins-1, int(gap.Milliseconds())/gapBinMillis)
	j.gaps[bin]++
}

// firstToken returns the caller's wait for the first token.
func (j *job) firstToken(s *sim) time.Duration {
	return j.first - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// whole returns the caller's wait for the whole answer.
func (j *job) whole(s *sim) time.Duration {
	return j.ended - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// allowedSlow returns how many of n gaps may exceed the target when 95 in 100
// must not.
func allowedSlow(n int) int { return n - int(math.Ceil(0.95*float64(n))) }

// good reports whether the whole answer met the targets of its class.
func (j *job) good(s *sim) bool {
	if j.state != jobDone {
		return false
	}
	if deadline := j.workload.Deadline.Duration; deadline > 0 && j.whole(s) > deadline {
		return false
	}
	if j.workload.Endpoint != "" {
		return true
	}
	return j.firstToken(s) <= s.targets(j).FirstToken.Duration && j.slow <= allowedSlow(j.generated-1)
}

// gapP95 returns the 95th percentile of the gaps, rounded up to a bin.
func (j *job) gapP95() time.Duration {
	total := j.generated - 1
	rest := allowedSlow(max(0, total))
	for bin := gapBins - 1; bin >= 0; bin-- {
		rest -= int(j.gaps[bin])
		if rest < 0 {
			return time.Duration((bin+1)*gapBinMillis) * time.Millisecond
		}
	}
	return 0
}
