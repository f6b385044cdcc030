package controlhost

import (
	"context"
	"sync"
	"time"

	"filberthook/internal/replication/document"
)

// maxSharedAge bounds how old a read may be that answers another call, whatever the call allows.
const maxSharedAge = time.Second

// sharedReads lets the calls of many entry hosts use one read with a quorum, as all of them ask
// several times a second. Times are those of CLOCK_BOOTTIME, so that a read from before a freeze
// or a suspension of this host is as old as it is.
type sharedReads struct {
	now  func() time.Duration
	read func(context.Context) (document.Document, bool)

	mu      sync.Mutex
	last    *sharedRead // last one that was confirmed, nil for none
	running *sharedRead // nil for none
}

// sharedRead is one read with a quorum. The document is valid once done is closed.
type sharedRead struct {
	started   time.Duration
	done      chan struct{}
	document  document.Document
	confirmed bool
}

// newest returns the newest configuration and how long before the call the read began at which a
// quorum knew of none newer. A read that began after the call counts as begun with it, as the
// caller reckons from the time when it sent the call. It reports false if no quorum confirmed it.
func (s *sharedReads) newest(ctx context.Context, maxAge time.Duration) (d document.Document, age time.Duration, confirmed bool) {
	s.mu.Lock()
	received := s.now()
	if l := s.last; l != nil && received-l.started <= min(maxAge, maxSharedAge) {
		s.mu.Unlock()
		return l.document, received - l.started, true
	}
	r := s.running
	if r == nil {
		r = &sharedRead{started: received, done: make(chan struct{})}
		s.running = r
		s.mu.Unlock()
		s.run(ctx, r)
	} else {
		s.mu.Unlock()
	}
	select {
	case <-r.done:
		return r.document, received - r.started, r.confirmed
	case <-ctx.Done():
		return document.Document{}, 0, false
	}
}

// run makes a read for all calls that wait for it, also if the one that began it is given up.
func (s *sharedReads) run(ctx context.Context, r *sharedRead) {
	r.document, r.confirmed = s.read(context.WithoutCancel(ctx))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = nil
	if r.confirmed {
		s.last = r
	}
	close(r.done)
}
