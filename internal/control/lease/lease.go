// Package lease grants the right to order the engines of an availability zone to
// one planner at a time. Each grant carries a fencing number that only grows.
//
// The package does no I/O, reads no clock and starts no goroutine. Time is the
// logical time of the replicated log, which never runs ahead of real time, so a
// lease never expires here before its holder considers it expired.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"filberthook/internal/process/invariant"
)

// Limits on the duration of a lease.
const (
	MinTTL = 500 * time.Millisecond
	MaxTTL = time.Minute
)

// Holder identifies a process that requests leases. A restarted process has a new
// session and counts as another holder.
type Holder struct {
	Host    string `json:"host"`
	Session string `json:"session"`
}

// Lease is the newest grant of one scope.
type Lease struct {
	Scope    string        `json:"scope"` // availability zone
	Holder   Holder        `json:"holder"`
	Fence    uint64        `json:"fence"`
	TTL      time.Duration `json:"ttl"`      // of the newest grant or renewal
	Expires  time.Duration `json:"expires"`  // logical time
	Released bool          `json:"released"` // by the holder, with no order in flight
	Settle   bool          `json:"settle"`   // see Result.Settle
}

// heldAt reports whether the lease excludes other holders at a logical time.
func (l Lease) heldAt(now time.Duration) bool { return !l.Released && now < l.Expires }

// Kind is the kind of a Command.
type Kind string

// Kinds of commands.
const (
	Acquire Kind = "acquire" // takes a free lease
	Renew   Kind = "renew"   // extends a held lease under the same fencing number
	Release Kind = "release" // ends a lease early; the holder has no order in flight
)

// Known reports whether the kind is one of the above.
func (k Kind) Known() bool { return k == Acquire || k == Renew || k == Release }

// Command requests a change of one lease.
type Command struct {
	Kind   Kind          `json:"kind"`
	Scope  string        `json:"scope"`
	Holder Holder        `json:"holder"`
	Fence  uint64        `json:"fence,omitempty"` // for Renew and Release
	TTL    time.Duration `json:"ttl,omitempty"`   // for Acquire and Renew
}

// Result is the outcome of a command.
type Result struct {
	Fence uint64 `json:"fence,omitempty"`
	// Settle is true when the previous lease expired instead of being released:
	// its holder's last orders may still be in flight at the time of the grant.
	Settle bool   `json:"settle,omitempty"`
	Err    *Error `json:"err,omitempty"`
}

// Code is the stable machine-readable reason of a refusal.
type Code string

// Codes of refusals.
const (
	CodeHeld    Code = "held"
	CodeLost    Code = "lost"
	CodeInvalid Code = "invalid"
)

// Error is a refused command. Its message names the remedy.
type Error struct {
	Code      Code          `json:"code"`
	Scope     string        `json:"scope"`
	Holder    string        `json:"holder,omitempty"`    // host that holds the lease
	Remaining time.Duration `json:"remaining,omitempty"` // until the lease may expire
	Detail    string        `json:"detail,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Code {
	case CodeHeld:
		return fmt.Sprintf("the lease of zone %q is held by %s; ask again in %s", e.Scope, e.Holder, e.Remaining)
	case CodeLost:
		return fmt.Sprintf("the lease of zone %q has ended; send no order and acquire it again", e.Scope)
	default:
		return fmt.Sprintf("lease command refused: %s", e.Detail)
	}
}

// Table holds the leases of all scopes. It is not safe for concurrent use.
type Table struct {
	leases map[string]Lease
	fence  uint64 // newest fencing number of any scope; only grows
}

// NewTable returns a table without leases.
func NewTable() *Table { return &Table{leases: map[string]Lease{}} }

// Lease returns the newest grant of a scope.
func (t *Table) Lease(scope string) (Lease, bool) {
	l, ok := t.leases[scope]
	return l, ok
}

// Leases returns the newest grant of each scope, including ended ones.
func (t *Table) Leases() []Lease {
	all := make([]Lease, 0, len(t.leases))
	for _, l := range t.leases {
		all = append(all, l)
	}
	return all
}

// Apply applies a command at a logical time.
func (t *Table) Apply(now time.Duration, cmd Command) Result {
	if err := cmd.check(); err != nil {
		return Result{Err: err}
	}
	switch cmd.Kind {
	case Acquire:
		return t.acquire(now, cmd)
	case Renew:
		return t.renew(now, cmd)
	default:
		return t.release(now, cmd)
	}
}

func (c Command) check() *Error {
	invalid := func(detail string) *Error { return &Error{Code: CodeInvalid, Scope: c.Scope, Detail: detail} }
	switch {
	case !c.Kind.Known():
		return invalid(fmt.Sprintf("kind %q is unknown; use acquire, renew or release", c.Kind))
	case c.Scope == "":
		return invalid("the scope is empty; name the availability zone")
	case c.Holder.Host == "" || c.Holder.Session == "":
		return invalid("the holder is incomplete; set host and session")
	case c.Kind != Release && (c.TTL < MinTTL || c.TTL > MaxTTL):
		return invalid(fmt.Sprintf("the duration %s is out of range; use %s to %s", c.TTL, MinTTL, MaxTTL))
	}
	return nil
}

// acquire grants a free lease. A holder that repeats the command after a lost
// response gets the same fencing number.
func (t *Table) acquire(now time.Duration, cmd Command) Result {
	current, exists := t.leases[cmd.Scope]
	held := exists && current.heldAt(now)
	if held && current.Holder == cmd.Holder {
		return t.extend(now, current, cmd.TTL)
	}
	if held {
		return Result{Err: &Error{Code: CodeHeld, Scope: cmd.Scope, Holder: current.Holder.Host, Remaining: current.Expires - now}}
	}
	next := Lease{
		Scope:   cmd.Scope,
		Holder:  cmd.Holder,
		Fence:   t.fence + 1,
		TTL:     cmd.TTL,
		Expires: now + cmd.TTL,
		Settle:  exists && !current.Released,
	}
	invariant.Check(next.Fence > current.Fence, "fence-grows",
		"zone %s would be granted fence %d after %d", cmd.Scope, next.Fence, current.Fence)
	t.fence = next.Fence
	t.leases[cmd.Scope] = next
	return Result{Fence: next.Fence, Settle: next.Settle}
}

func (t *Table) renew(now time.Duration, cmd Command) Result {
	current, ok := t.owned(now, cmd)
	if !ok {
		return Result{Err: &Error{Code: CodeLost, Scope: cmd.Scope}}
	}
	return t.extend(now, current, cmd.TTL)
}

func (t *Table) release(now time.Duration, cmd Command) Result {
	current, ok := t.owned(now, cmd)
	if !ok {
		return Result{Err: &Error{Code: CodeLost, Scope: cmd.Scope}}
	}
	current.Released = true
	t.leases[cmd.Scope] = current
	return Result{Fence: current.Fence}
}

// owned returns the lease of a scope and whether the sender still holds it.
func (t *Table) owned(now time.Duration, cmd Command) (Lease, bool) {
	current, ok := t.leases[cmd.Scope]
	owned := ok && current.heldAt(now) && current.Holder == cmd.Holder && current.Fence == cmd.Fence
	return current, owned
}

// extend renews a lease and never shortens it: its holder may rely on an earlier
// response.
func (t *Table) extend(now time.Duration, current Lease, ttl time.Duration) Result {
	current.TTL = ttl
	current.Expires = max(current.Expires, now+ttl)
	t.leases[current.Scope] = current
	return Result{Fence: current.Fence, Settle: current.Settle}
}

// encodedTable is the encoded form of a Table.
type encodedTable struct {
	Leases map[string]Lease `json:"leases"`
	Fence  uint64           `json:"fence"`
}

// Encode returns the state of the table as JSON.
func (t *Table) Encode() ([]byte, error) {
	return json.Marshal(encodedTable{Leases: t.leases, Fence: t.fence})
}

// Decode returns the state that Encode wrote.
func Decode(data []byte) (*Table, error) {
	var enc encodedTable
	if err := json.Unmarshal(data, &enc); err != nil {
		return nil, fmt.Errorf("decode leases: %w", err)
	}
	t := NewTable()
	t.fence = enc.Fence
	for scope, l := range enc.Leases {
		t.leases[scope] = l
	}
	return t, nil
}
