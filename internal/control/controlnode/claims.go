package controlnode

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"filberthook/internal/serve/claim"
)

// claims applies commands of the replicated log to the claims of non-repeatable calls. It
// implements statemachine.SubMachine and publishes the number of claims for other
// goroutines.
type claims struct {
	replica claim.Replica
	count   atomic.Int64
}

func newClaims() *claims { return &claims{replica: claim.NewReplica(claim.DefaultLimits())} }

// Apply implements statemachine.SubMachine.
func (c *claims) Apply(now time.Duration, data json.RawMessage) json.RawMessage {
	result := c.replica.Apply(now, data)
	c.count.Store(int64(c.replica.Len()))
	return result
}

// Snapshot implements statemachine.SubMachine.
func (c *claims) Snapshot() ([]byte, error) { return c.replica.Snapshot() }

// Restore implements statemachine.SubMachine.
func (c *claims) Restore(data []byte) error {
	err := c.replica.Restore(data)
	c.count.Store(int64(c.replica.Len()))
	return err
}
