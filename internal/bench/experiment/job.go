package experiment

import (
	"math"
	"time"

	"filberthook/internal/serve/routing"
)

// jobState is the lifecycle state of a request.
type jobState uint8

const (
	jobWaiting jobState = iota
	jobRunning
	jobDone
	jobRefused
	jobFailed
)

// gapBinMillis and gapBins size the histogram of the gaps between an answer's tokens.
const (
	gapBinMillis = 4
	gapBins      = 64
)

// job is one request and the progress that its caller has seen.
type job struct {
	id        int
	arrival   *arrival
	workload  *Workload
	entry     *entry
	state     jobState
	req       routing.Request
	decision  routing.Decision
	place     assignment
	prefilled bool // the prefill of the current attempt has finished
	attempts  int

	generated    int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	endedAt      time.Duration
	slowGaps     int // gaps above the class's target
	gaps         [gapBins]uint16
}

// assignment holds the engines that run a request. prefill is nil when decode runs the
// whole request.
type assignment struct {
	prefill *worker
	decode  *worker
}

// addToken records an output token and the gap since the one before.
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

// firstToken returns the time to the first token as the caller sees it.
func (j *job) firstToken(s *sim) time.Duration {
	return j.firstTokenAt - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// responseTime returns the time to the complete answer as the caller sees it.
func (j *job) responseTime(s *sim) time.Duration {
	return j.endedAt - j.arrival.at + 2*s.scenario.Fleet.ClientDelay.Duration
}

// allowedSlowGaps returns how many of n gaps may exceed the target so that 95% stay within
// it.
func allowedSlowGaps(n int) int { return n - int(math.Ceil(0.95*float64(n))) }

// good reports whether the request completed within the targets of its class.
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

// gapP95 returns the 95th percentile of the gaps, rounded up to a bin boundary.
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
