package controlnode

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"filberthook/internal/claim"
)

// claims drives the claims of non-repeatable calls by the replicated log. Its
// commands are batches. It implements statemachine.SubMachine.
type claims struct {
	machine *claim.Machine
	count   atomic.Int64 // claims kept, for the sweep
}

func newClaims() *claims { return &claims{machine: claim.NewMachine(claim.DefaultLimits())} }

// Apply implements statemachine.SubMachine. The claims' clock follows the
// logical time of the log; it starts at 1 ms because 0 means that it is not set.
func (c *claims) Apply(now time.Duration, data json.RawMessage) json.RawMessage {
	var batch []claim.Command
	if err := json.Unmarshal(data, &batch); err != nil {
		return encodeResults([]claim.Result{{Status: claim.Invalid}})
	}
	c.machine.Apply(claim.Command{Kind: claim.KindExpire, NowMillis: now.Milliseconds() + 1})
	results := c.machine.ApplyAll(batch)
	c.count.Store(int64(c.machine.Len()))
	return encodeResults(results)
}

func encodeResults(results []claim.Result) json.RawMessage {
	data, err := json.Marshal(results)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot implements statemachine.SubMachine.
func (c *claims) Snapshot() ([]byte, error) { return c.machine.Snapshot() }

// Restore implements statemachine.SubMachine.
func (c *claims) Restore(data []byte) error {
	err := c.machine.Restore(data)
	c.count.Store(int64(c.machine.Len()))
	return err
}
