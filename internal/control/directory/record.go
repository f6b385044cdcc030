// Package directory stores what an entry host knows about endpoint instances:
// their announcements, the ends of their leases and their latest load.
//
// It does no network I/O; the caller receives announcements and forwards changes
// to other hosts. It reads no clock: methods take the time of the host's monotonic
// clock. Directory is safe for concurrent use.
package directory

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
)

// Limits of an announcement.
const (
	MinLease          = 500 * time.Millisecond
	MaxLease          = 3 * time.Second
	MaxNameBytes      = 128
	MaxModels         = 64
	MaxAdapters       = 256
	MaxKVBlocks       = 1 << 20
	BackstopLease     = 2 * time.Minute // of instances that do not announce to this host
	TombstoneDuration = 3 * time.Minute // how long an expired instance's version is remembered
)

// Version orders the announcements of one instance. A higher incarnation wins,
// then a higher sequence.
type Version struct {
	Incarnation uint64
	Sequence    uint64
}

// Newer reports whether v is newer than o.
func (v Version) Newer(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation > o.Incarnation
	}
	return v.Sequence > o.Sequence
}

// Record is what is known about one instance. A stored Record is immutable; updates
// replace it.
type Record struct {
	Announcement engineapi.Announcement
	HeardAt      time.Duration // latest time at which the instance can have sent the announcement, on the local clock
	LoadAt       time.Duration // when Announcement.Load was measured, on the local clock

	// StateSequence is the sequence of the announcement that last changed anything
	// but the load. Hosts that have that state need only the load of later ones.
	StateSequence uint64
	// direct is true when the instance has announced to this host itself, last at
	// directAt. Such a host watches the lease and notifies the other hosts when it
	// ends; the others keep the instance for BackstopLease.
	direct   bool
	directAt time.Duration
}

// directTimeout is how long after a direct announcement a host watches the
// instance's lease.
const directTimeout = 10 * time.Second

// Renewal extends the lease of an instance whose full record is known.
type Renewal struct {
	Instance      string
	Version       Version
	StateSequence uint64
	Load          engineapi.LoadReport
}

// Version returns the record's version.
func (r *Record) Version() Version {
	return Version{Incarnation: r.Announcement.Incarnation, Sequence: r.Announcement.Sequence}
}

// Expires returns when this host removes the instance, on the local clock.
func (r *Record) Expires() time.Duration {
	if r.direct && r.HeardAt-r.directAt < directTimeout {
		return r.HeardAt + r.lease()
	}
	return r.HeardAt + BackstopLease
}

// sameState reports whether two announcements differ in nothing but the load.
func sameState(a, b *engineapi.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Endpoint == b.Endpoint && a.Kind == b.Kind &&
		a.Zone == b.Zone && a.Address == b.Address && a.KVBlocks == b.KVBlocks &&
		a.ChecksFence == b.ChecksFence && a.Draining == b.Draining &&
		a.LeaseSeconds == b.LeaseSeconds && reflect.DeepEqual(a.State, b.State)
}

func (r *Record) lease() time.Duration {
	d := saturate.Seconds(r.Announcement.LeaseSeconds)
	return min(max(d, MinLease), MaxLease)
}

// Age returns the time since HeardAt. Hosts forward it with the record, so that the
// lease ends everywhere at about the same time.
func (r *Record) Age(now time.Duration) time.Duration { return max(0, now-r.HeardAt) }

// InvalidError reports a refused announcement.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement refused: %s %s; correct the instance's settings", e.Field, e.Problem)
}

// Validate checks the fields of an announcement, which may come from any sender.
func Validate(a *engineapi.Announcement) error {
	if err := validateName("instance", a.Instance); err != nil {
		return err
	}
	if err := validateName("zone", a.Zone); err != nil {
		return err
	}
	if len(a.Endpoint) > MaxNameBytes {
		return &InvalidError{"endpoint", "is too long"}
	}
	if a.Kind != engineapi.KindModel && a.Kind != engineapi.KindService {
		return &InvalidError{"kind", "must be model or service"}
	}
	if a.Kind == engineapi.KindService && a.Endpoint == "" {
		return &InvalidError{"endpoint", "must be set for a service"}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return &InvalidError{"address", "must be an IP number and a port"}
	}
	if a.Incarnation == 0 {
		return &InvalidError{"incarnation", "must be above 0"}
	}
	return validateSizes(a)
}

func validateSizes(a *engineapi.Announcement) error {
	if a.KVBlocks < 0 || a.KVBlocks > MaxKVBlocks {
		return &InvalidError{"pieces", fmt.Sprintf("must be between 0 and %d", MaxKVBlocks)}
	}
	if len(a.State.Models) > MaxModels {
		return &InvalidError{"models", fmt.Sprintf("must not be more than %d", MaxModels)}
	}
	for _, m := range a.State.Models {
		if len(m.Adapters) > MaxAdapters {
			return &InvalidError{"adapters", fmt.Sprintf("must not be more than %d for a model", MaxAdapters)}
		}
	}
	return nil
}

func validateName(field, v string) error {
	if v == "" {
		return &InvalidError{field, "must be set"}
	}
	if len(v) > MaxNameBytes {
		return &InvalidError{field, fmt.Sprintf("must not be longer than %d bytes", MaxNameBytes)}
	}
	return nil
}
