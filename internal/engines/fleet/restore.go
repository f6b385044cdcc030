package fleet

import (
	"fmt"
	"reflect"
)

// Restore replaces the configuration by that of a backup, as a new revision.
// The revision never decreases.
type Restore struct {
	Backup     Configuration `json:"backup"`
	AllowOlder bool          `json:"allow_older"` // the backup may be older than the configuration
}

func (a Restore) addAffected(*Delta) {}

func (a Restore) summary() string {
	return fmt.Sprintf("restore the backup of revision %d", a.Backup.Revision)
}

func (a Restore) apply(d *draft, _ Actor) *Error {
	if a.Backup.Revision < d.base.Revision && !a.AllowOlder {
		return errInvalid(
			fmt.Sprintf("the backup of revision %d is older than the configuration at revision %d", a.Backup.Revision, d.base.Revision),
			"check the difference with a dry run, then allow an older backup explicitly")
	}
	rev := d.delta.Revision
	replace(&d.delta.Endpoints, d.base.Endpoints, a.Backup.Endpoints, func(e *Endpoint) *uint64 { return &e.Revision }, rev)
	replace(&d.delta.Teams, d.base.Teams, a.Backup.Teams, func(t *Team) *uint64 { return &t.Revision }, rev)
	replace(&d.delta.Operators, d.base.Operators, a.Backup.Operators, func(o *Operator) *uint64 { return &o.Revision }, rev)
	replace(&d.delta.Declarations, d.base.Declarations, a.Backup.Declarations, func(e *Declaration) *uint64 { return &e.Revision }, rev)
	policy := a.Backup.Policy
	policy.Revision = d.base.Policy.Revision
	if policy != d.base.Policy {
		policy.Revision = rev
		d.delta.Policy = &policy
	}
	return nil
}

// replace adds the changes that turn the values of base into those of backup, at
// revision rev. Values that differ only in their revision stay.
func replace[V any](changes *map[string]*V, base, backup map[string]V, revision func(*V) *uint64, rev uint64) {
	for name := range base {
		if _, ok := backup[name]; !ok {
			set(changes, name, nil)
		}
	}
	for name, v := range backup {
		current, ok := base[name]
		*revision(&v) = *revision(&current)
		if ok && reflect.DeepEqual(v, current) {
			continue
		}
		*revision(&v) = rev
		set(changes, name, &v)
	}
}
