package replica

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// listCall is one client call on the command log: an append, or a read of its length.
type listCall struct {
	command string // empty for a read
}

type listAnswer struct {
	length int
	known  bool
}

// listModel checks the lengths that appends and reads return. Its state is the
// length; an append without a known outcome may have happened or not.
var listModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		length, call, answer := state.(int), input.(listCall), output.(listAnswer)
		if call.command != "" {
			length++
		}
		return !answer.known || answer.length == length, length
	},
}

// history collects the calls of all clients.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex // guards calls
	calls []porcupine.Operation
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, op)
}

// TestConcurrentClientsAreLinearizable runs clients against replicas whose links are
// cut and which crash, and checks that the answers are linearizable.
func TestConcurrentClientsAreLinearizable(t *testing.T) {
	c := newCluster(t, 3, 10)
	c.barrier(1)
	var h history
	const clients, callsEach = 4, 25
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			for i := range callsEach {
				c.call(&h, client, fmt.Sprintf("%d.%d", client, i), rng)
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wg.Wait()
	}()
	rng := rand.New(rand.NewPCG(2, 0))
	for running := true; running; {
		c.injectFault(rng)
		select {
		case <-ended:
			running = false
		default:
		}
	}
	if got := porcupine.CheckOperationsTimeout(listModel, h.calls, 20*time.Second); got != porcupine.Ok {
		t.Errorf("history of %d calls is not linearizable: %s", len(h.calls), got)
	}
	for id := uint64(1); id <= 3; id++ {
		c.barrier(id)
	}
	want := fmt.Sprint(c.node(1).machine.list())
	for id := uint64(2); id <= 3; id++ {
		if got := fmt.Sprint(c.node(id).machine.list()); got != want {
			t.Errorf("replica %d has %s, want %s", id, got, want)
		}
	}
}

// call makes one call at a random replica and records it.
func (c *cluster) call(h *history, client int, command string, rng *rand.Rand) {
	n := c.node(1 + rng.Uint64N(3))
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	op := porcupine.Operation{ClientId: client, Call: h.clock.Add(1)}
	if rng.IntN(3) == 0 {
		if n.replica.ReadBarrier(ctx) != nil {
			return
		}
		op.Input, op.Output = listCall{}, listAnswer{length: len(n.machine.list()), known: true}
		op.Return = h.clock.Add(1)
		h.add(op)
		return
	}
	op.Input = listCall{command: command}
	length, err := n.replica.Propose(ctx, []byte(command))
	op.Return = h.clock.Add(1)
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		op.Output = listAnswer{length: length.(int), known: true}
	case errors.As(err, &unknown):
		op.Output, op.Return = listAnswer{}, math.MaxInt64
	default:
		return // refused without effect
	}
	h.add(op)
}

// injectFault cuts off or crashes one replica for a while.
func (c *cluster) injectFault(rng *rand.Rand) {
	id := 1 + rng.Uint64N(3)
	if rng.IntN(2) == 0 {
		c.setCut(id, true)
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		c.setCut(id, false)
	} else {
		fs := c.stop(id)
		fs.Crash(nil)
		c.start(id, fs, nil)
	}
	c.barrier(id)
}
