// Package logsink writes log lines without blocking the code that logs. Lines are
// put into a bounded queue; when it is full, new ones are dropped and counted, and a
// log line reports how many.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines limits the queued lines to a few seconds of a busy host's log.
	queueLines = 4096
	// batchBytes is the size from which a write takes no further queued lines.
	batchBytes = 64 << 10
	// closeTimeout limits how long Close waits for a blocked output.
	closeTimeout = 300 * time.Millisecond
)

// Sink is an io.Writer that takes one line per call. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // not yet reported
	total   atomic.Int64 // dropped since the start
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// New returns a Sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.drop()
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop()
	}
	return len(line), nil
}

func (s *Sink) drop() {
	s.dropped.Add(1)
	s.total.Add(1)
}

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Close writes the queued lines and waits for that up to closeTimeout.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		batch := s.collect(line)
		if n := s.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped: the output is too slow\",\"lines\":%d}\n", n)
		}
		// A failed write cannot be reported: this is the output of the log itself.
		_, _ = s.out.Write(batch)
	}
}

// collect appends the lines that are already queued, without waiting for more.
func (s *Sink) collect(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
