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
	id        int
	arrival   *arrival
	workload  *Workload
	entry     *entry
	state     jobState
	req       routing.Request
	decision  routing.Decision
	place     assignment
	prefilled bool // the prompt part of the present attempt has finished
	attempts  int

	generated    int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	endedAt      time.Duration
	slowGaps     int // gaps above the class's target
	gaps         [gapBins]uint16
}

// assignment is where the parts of a request run. Prompt is nil for a request
// that runs whole.
type assignment struct {
	prefill *worker
	decode  *worker
}

// addToken notes an output token.
func (j *job) addToken(s *sim, at time.Duration) {
	j.generated++
	if j.generated == 1 {
		j.firstTokenAt = at
		j.lastTokenAt = at
		return
	}
	gap := at - j.lastTokenAt
	j.lastTokenAt = at
	if gap > s.targets(j).Gap.Duration {
		j.slowGaps++
	}
	bin := min(gapBins-1, int(gap.Milliseconds())/gapBinMillis)
	j.gaps[bin]++
}

// firstToken returns the caller's wait for the first token.
func (j *job) firstToken(s *sim) time.Duration {
	return j.firstTokenAt - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// responseTime returns the caller's wait for the whole answer.
func (j *job) responseTime(s *sim) time.Duration {
	return j.endedAt - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// allowedSlowGaps returns how many of n gaps may exceed the target when 95 in 100
// must not.
func allowedSlowGaps(n int) int { return n - int(math.Ceil(0.95*float64(n))) }

// good reports whether the whole answer met the targets of its class.
func (j *job) good(s *sim) bool {
	if j.state != jobDone {
		return false
	}
	if deadline := j.workload.Deadline.Duration; deadline > 0 && j.responseTime(s) > deadline {
		return false
	}
	if j.workload.Endpoint != "" {
		return true
	}
	return j.firstToken(s) <= s.targets(j).FirstToken.Duration && j.slowGaps <= allowedSlowGaps(j.generated-1)
}

// gapP95 returns the 95th percentile of the gaps, rounded up to a bin.
func (j *job) gapP95() time.Duration {
	total := j.generated - 1
	rest := allowedSlowGaps(max(0, total))
	for bin := gapBins - 1; bin >= 0; bin-- {
		rest -= int(j.gaps[bin])
		if rest < 0 {
			return time.Duration((bin+1)*gapBinMillis) * time.Millisecond
		}
	}
	return 0
}
