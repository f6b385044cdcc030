// Package directory stores what an entry host knows about endpoint instances:
// their announcements, the ends of their leases and their latest load.
//
// It does no network I/O; the caller receives announcements and forwards changes
// to other hosts. It reads no clock: methods take the time of the host's monotonic
// clock. Directory is safe for concurrent use.
package directory

import (
	"reflect"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/saturate"
)

// Times of records.
const (
	MinLease          = 500 * time.Millisecond
	MaxLease          = 3 * time.Second
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
