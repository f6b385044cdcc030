package logsink

import (
	"sync"
	"time"
)

// Sampler bounds how many lines of one kind are written in a second. It is safe for
// concurrent use.
type Sampler struct {
	perSecond int

	mu         sync.Mutex
	second     int64 // that is counted, Unix time
	lines      int   // of it
	suppressed int   // since they were last told
}

// NewSampler returns a Sampler that lets so many lines a second pass.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Allow reports whether a line may be written. The first line of a second is told how
// many were left out before it.
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
