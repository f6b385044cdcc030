// Package fleet holds the configuration that operators set: endpoints with
// their approvals, calling teams with their keys, operators, declarations of
// models per engine and the policy. Each is an aggregate with its own rules.
//
// The package is pure: no I/O, no clock, no goroutines. The same commands in
// the same order give the same state at every replica.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"filberthook/internal/process/invariant"
)

// Limits on one command.
const (
	MaxChanges       = 1024
	MaxChangeIDBytes = 128
)

// Command is one list of changes by one operator. It is applied as a whole or
// not at all.
type Command struct {
	ChangeID         string   `json:"change_id"`
	ExpectedRevision uint64   `json:"expected_revision"`
	Actor            Actor    `json:"actor"`
	AtMillis         int64    `json:"at_ms"` // leader's wall clock, for the audit trail only
	Changes          []Change `json:"changes"`
}

// digest identifies the changes of a command, so that reuse of a change id for
// other changes is detected. It leaves out the expected revision and the time: a
// script that resends its changes may have read a newer revision in the meantime,
// and must still receive the first outcome.
func (c Command) digest() string {
	data, err := json.Marshal(c.Changes)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// Result is the outcome of a command. Exactly one of Delta and Err is set for
// a first outcome; a repeated accepted outcome has neither.
type Result struct {
	Revision uint64 // revision that the command made
	Repeated bool   // the command is a resend
	Delta    *Delta // what changed
	Before   *Delta // values before the change, for showing a diff
	Err      *Error
}

// Fleet is the configuration with the history of outcomes and the audit
// trail. It is not safe for concurrent use.
type Fleet struct {
	config   Configuration
	outcomes outcomeHistory
	audit    auditTrail
}

// New returns an empty configuration at revision 0.
func New() *Fleet {
	return &Fleet{config: newConfiguration(), outcomes: newOutcomeHistory()}
}

// Revision returns the newest revision. It never decreases.
func (f *Fleet) Revision() uint64 { return f.config.Revision }

// Configuration returns the newest configuration. The caller must not change
// it; later commands do not change it either.
func (f *Fleet) Configuration() Configuration { return f.config }

// Audit returns up to limit accepted commands, newest first.
func (f *Fleet) Audit(limit int) []AuditEntry { return f.audit.newest(limit) }

// Apply applies a command. A command that was applied before, by the same
// operator under the same change id, returns its first outcome.
func (f *Fleet) Apply(cmd Command) Result {
	key := outcomeKey{Operator: cmd.Actor.Name, ChangeID: cmd.ChangeID}
	digest := cmd.digest()
	if first, ok := f.outcomes.get(key); ok {
		return f.repeat(cmd, first, digest)
	}
	result := f.evaluate(cmd)
	if storable(cmd) {
		f.outcomes.put(outcome{Key: key, Digest: digest, Revision: result.Revision, Err: result.Err.withoutCurrent()})
	}
	if result.Err == nil {
		f.commit(cmd, result)
	}
	return result
}

// DryRun returns the result that Apply would give now and changes nothing.
func (f *Fleet) DryRun(cmd Command) Result {
	key := outcomeKey{Operator: cmd.Actor.Name, ChangeID: cmd.ChangeID}
	if first, ok := f.outcomes.get(key); ok {
		return f.repeat(cmd, first, cmd.digest())
	}
	return f.evaluate(cmd)
}

// storable reports whether the outcome of a command may enter the outcome history.
// Outcomes of commands without a valid change id would displace useful ones.
func storable(cmd Command) bool {
	return cmd.ChangeID != "" && len(cmd.ChangeID) <= MaxChangeIDBytes
}

func (f *Fleet) repeat(cmd Command, first outcome, digest string) Result {
	if first.Digest != digest {
		return Result{Revision: f.config.Revision, Err: errChangeIDReused(cmd.ChangeID)}
	}
	result := Result{Revision: first.Revision, Repeated: true, Err: first.Err}
	if first.Err != nil && first.Err.Code == CodeConflict {
		result.Err = f.conflict(cmd)
		result.Err.Message = first.Err.Message
	}
	return result
}

func (f *Fleet) evaluate(cmd Command) Result {
	draft, err := f.draft(cmd)
	if err != nil {
		return Result{Revision: f.config.Revision, Err: err}
	}
	before := f.config.currentOf(draft.delta)
	return Result{Revision: draft.delta.Revision, Delta: &draft.delta, Before: &before}
}

// draft applies the changes of a command to a draft of the configuration.
func (f *Fleet) draft(cmd Command) (*draft, *Error) {
	if err := checkCommand(cmd); err != nil {
		return nil, err
	}
	if _, err := f.config.RoleOf(cmd.Actor); err != nil {
		return nil, err
	}
	if cmd.ExpectedRevision != f.config.Revision {
		return nil, f.conflict(cmd)
	}
	d := newDraft(&f.config)
	for i, change := range cmd.Changes {
		if err := d.apply(cmd.Actor, change); err != nil {
			return nil, err.at(i)
		}
	}
	return d, nil
}

func (f *Fleet) conflict(cmd Command) *Error {
	var affected Delta
	for _, change := range cmd.Changes {
		if a, err := change.action(); err == nil {
			a.addAffected(&affected)
		}
	}
	current := f.config.currentOf(affected)
	return errConflict(cmd.ExpectedRevision, f.config.Revision, &current)
}

// commit makes the result of an accepted command the newest configuration.
func (f *Fleet) commit(cmd Command, result Result) {
	invariant.Check(result.Delta.Revision == f.config.Revision+1, "revision-grows",
		"configuration revision would go from %d to %d", f.config.Revision, result.Delta.Revision)
	f.config = f.config.With(*result.Delta)
	f.audit.add(AuditEntry{
		Revision: f.config.Revision,
		ChangeID: cmd.ChangeID,
		Operator: cmd.Actor.Name,
		AtMillis: cmd.AtMillis,
		Summary:  Summarize(cmd.Changes),
	})
}

func checkCommand(cmd Command) *Error {
	switch {
	case cmd.ChangeID == "":
		return errInvalid("the change id is empty", "choose a change id that is unique for the operator")
	case len(cmd.ChangeID) > MaxChangeIDBytes:
		return errInvalid("the change id is too long", fmt.Sprintf("use at most %d bytes", MaxChangeIDBytes))
	case len(cmd.Changes) == 0:
		return errInvalid("the list of changes is empty", "send at least one change")
	case len(cmd.Changes) > MaxChanges:
		return errInvalid(fmt.Sprintf("the list has %d changes", len(cmd.Changes)),
			fmt.Sprintf("send at most %d changes at once", MaxChanges))
	}
	return nil
}
