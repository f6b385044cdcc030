package deployment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filberthook/internal/bench/loopback"
)

// stopTimeout limits how long a component may take to stop.
const stopTimeout = 30 * time.Second

// Component is one daemon or stand-in of the deployment, run inside this process.
type Component struct {
	Name string

	start func() (run func(ctx context.Context) error, err error)

	mu     sync.Mutex // guards the fields below
	cancel context.CancelFunc
	done   chan struct{} // closed when the component has ended
	err    error         // outcome; read after done is closed
}

func (p *Component) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return fmt.Errorf("%s is already running: stop it first", p.Name)
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

// Stop stops the component gracefully and returns the error that it ended with. It does
// nothing if the component is not running.
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

func (p *Component) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancel != nil
}

// reserve returns n loopback addresses that nothing else in this process uses, not even as
// the source address of a connection.
func reserve(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = loopback.String()
	}
	return out
}
