// Package directory keeps what an entry host knows about endpoint instances:
// who has announced itself, until when its lease runs, and its latest load.
//
// It does not receive announcements from the network and does not spread them;
// it is told of both. It has no clock: every method takes the time on the
// host's monotonic clock. All methods of Directory may be called by many
// goroutines at once.
package directory

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"filberthook/internal/engines/engineapi"
)

// Limits of an announcement.
const (
	MinLease          = 500 * time.Millisecond
	MaxLease          = 3 * time.Second
	MaxNameBytes      = 128
	MaxModels         = 64
	MaxAdapters       = 256
	MaxPieces         = 1 << 20
	BackstopLease     = 2 * time.Minute // of instances heard of through other hosts only
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

// Record is what is known about one instance. A Record is never changed after
// it has been stored; a newer one takes its place.
type Record struct {
	Announcement engineapi.Announcement
	HeardAt      time.Duration // when the announcement left the instance, on the local clock, at the latest
	LoadAt       time.Duration // when the figures in Announcement.Load were true, on the local clock

	// StateSequence is the sequence of the announcement that last changed
	// anything but the load. Hosts that have it need only the load of later ones.
	StateSequence uint64
	// direct is true when the instance itself has announced to this host lately,
	// directAt tells when. Such a host watches the lease and tells the others
	// when it ends; the others keep the instance for BackstopLease.
	direct   bool
	directAt time.Duration
}

// directDuration is how long a host that an instance has announced to watches
// the lease without another announcement.
const directDuration = 10 * time.Second

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

// Expires returns when this host gives the instance up, on the local clock.
func (r *Record) Expires() time.Duration {
	if r.direct && r.HeardAt-r.directAt < directDuration {
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
	d := time.Duration(r.Announcement.LeaseSeconds * float64(time.Second))
	return min(max(d, MinLease), MaxLease)
}

// Age returns how long ago the announcement was heard first. Hosts pass it on
// with the record, so that the lease ends everywhere at about the same time.
func (r *Record) Age(now time.Duration) time.Duration { return max(0, now-r.HeardAt) }

// InvalidError refuses an announcement.
type InvalidError struct{ Field, Problem string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement refused: %s %s; correct the instance's settings", e.Field, e.Problem)
}

// Validate checks what a stranger could have sent.
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
	if a.KVBlocks < 0 || a.KVBlocks > MaxPieces {
		return &InvalidError{"pieces", fmt.Sprintf("must be between 0 and %d", MaxPieces)}
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
