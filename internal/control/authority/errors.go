package authority

import (
	"fmt"
	"time"
)

// NotHolderError refuses an order because this process does not hold the lease.
// The order was not sent.
type NotHolderError struct{ Zone string }

// Error implements error.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("this host does not hold the lease of zone %q; order not sent, leave the engines to the holder", e.Zone)
}

// SettlingError refuses an order because orders of the former holder may still
// be in flight.
type SettlingError struct{ Remaining time.Duration }

// Error implements error.
func (e *SettlingError) Error() string {
	return fmt.Sprintf("orders of the former holder may still be in flight; order not sent, try again in %s", e.Remaining)
}

// UnknownEngineError refuses an order to an engine that is not known here.
type UnknownEngineError struct{ Instance string }

// Error implements error.
func (e *UnknownEngineError) Error() string {
	return fmt.Sprintf("engine %q is not known; order not sent, wait for its announcement", e.Instance)
}

// StateUnreadError refuses an order because the engine's state has not been read
// under the current lease.
type StateUnreadError struct{ Instance string }

// Error implements error.
func (e *StateUnreadError) Error() string {
	return fmt.Sprintf("the state of engine %q has not been read under this lease; order not sent, try again shortly", e.Instance)
}

// BusyError refuses an order because another one is outstanding.
type BusyError struct{ Instance, Order string }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("order %s is outstanding at engine %q; order not sent, wait until it ends", e.Order, e.Instance)
}

// NotSentError reports that an order did not leave this process.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("order not sent: %v; try again", e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// OvertakenError refuses an order because the engine has accepted one of a
// newer lease. This process must drop its own lease.
type OvertakenError struct {
	Instance string
	Fence    uint64
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("engine %q has accepted an order with the newer fencing number %d; order not sent, leave the engines to the newer holder", e.Instance, e.Fence)
}

// UnknownOrderError reports that an engine does not know an order.
type UnknownOrderError struct{ Order string }

// Error implements error.
func (e *UnknownOrderError) Error() string {
	return fmt.Sprintf("the engine does not know order %s; read its state", e.Order)
}
