package logsink

import (
	"sync"
	"time"
)

// Sampler limits how many lines of one kind are written per second. It is safe for
// concurrent use.
type Sampler struct {
	perSecond int

	mu         sync.Mutex
	second     int64 // current one, Unix time
	lines      int   // in the current second
	suppressed int   // not yet reported
}

// NewSampler returns a Sampler that allows perSecond lines per second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Allow reports whether a line may be written. The first call in a second also returns
// how many lines were suppressed before it.
func (s *Sampler) Allow(now time.Time) (allowed bool, suppressed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now.Unix(); second != s.second {
		s.second, s.lines = second, 0
		suppressed, s.suppressed = s.suppressed, 0
	}
	s.lines++
	if s.lines > s.perSecond {
		s.suppressed++
		return false, suppressed
	}
	return true, suppressed
}
