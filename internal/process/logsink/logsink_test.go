package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowOutput blocks until it is released.
type slowOutput struct {
	release chan struct{}
	mu      sync.Mutex
	data    bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *slowOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	s := New(out)
	// The lines are as long as request log lines, so that the queue and the batch of the
	// blocked write cannot hold all of them.
	line := []byte(strings.Repeat("x", 499) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			if _, err := s.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped though the queue is bounded")
	}
	close(out.release)
	s.Close()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("dropped lines are not reported")
	}
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &slowOutput{release: make(chan struct{})}
	close(out.release)
	s := New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := s.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if got := out.String(); got != "a\nb\nc\n" {
		t.Errorf("wrote %q", got)
	}
	if _, err := s.Write([]byte("late\n")); err != nil || s.Dropped() != 1 {
		t.Errorf("a line after Close: %v, %d dropped", err, s.Dropped())
	}
}
