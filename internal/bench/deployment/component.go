package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filberthook/internal/bench/loopback"
)

// stopTimeout bounds how long a part may take to stop.
const stopTimeout = 30 * time.Second

// Component is one running process of the deployment, inside this one.
type Component struct {
	Name string

	start func() (run func(ctx context.Context) error, err error)

	mu     sync.Mutex // guards the fields below
	cancel context.CancelFunc
	done   chan struct{} // closed when the part has ended
	err    error         // outcome; read after done is closed
}

// Start starts the part.
func (p *Component) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return fmt.Errorf("%s runs already: stop it first", p.Name)
	}
	run, err := p.start()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.cancel, p.done = cancel, done
	go func() {
		p.err = run(ctx)
		close(done)
	}()
	return nil
}

// Stop stops the part gracefully and returns how it ended. Stopping a part
// that does not run does nothing.
func (p *Component) Stop() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		return nil
	}
	p.cancel()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not stop within %v", p.Name, stopTimeout)
	}
	p.cancel = nil
	if p.err != nil && !errors.Is(p.err, context.Canceled) {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// Running reports whether the part runs.
func (p *Component) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancel != nil
}

// reserve returns n loopback addresses that nothing else in this process or in
// the ports of its connections uses.
func reserve(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = loopback.String()
	}
	return out
}
