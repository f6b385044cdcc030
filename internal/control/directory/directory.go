package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/invariant"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of independently locked parts of a Directory.
const shardCount = 16

// Directory holds the records of all known instances in shards.
type Directory struct {
	shards     [shardCount]shard
	generation atomic.Uint64 // grows with every change visible to readers
	snapshot   atomic.Pointer[Snapshot]
	buildMu    sync.Mutex // held while a snapshot is built; ordered before shard locks
}

type shard struct {
	mu         sync.RWMutex // guards the maps below
	records    map[string]*Record
	tombstones map[string]tombstone // of removed instances
}

// tombstone is the last version of a removed instance. Until expiresAt this and
// older versions are refused.
type tombstone struct {
	version   Version
	expiresAt time.Duration
}

// Snapshot is an immutable view of the live instances, sorted by name.
type Snapshot struct {
	Generation uint64
	Records    []*Record
}

// Find returns the record of an instance, nil when it is not known.
func (s *Snapshot) Find(instance string) *Record {
	i, ok := slices.BinarySearchFunc(s.Records, instance, func(r *Record, name string) int {
		return cmp.Compare(r.Announcement.Instance, name)
	})
	if !ok {
		return nil
	}
	return s.Records[i]
}

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{}
	for i := range d.shards {
		d.shards[i].records = make(map[string]*Record)
		d.shards[i].tombstones = make(map[string]tombstone)
	}
	d.snapshot.Store(&Snapshot{})
	return d
}

func (d *Directory) shard(instance string) *shard {
	return &d.shards[xxhash.Sum64String(instance)%shardCount]
}

// Put stores an announcement that the instance sent to this host. changed reports
// whether it was newer than the known one, so that it has to be forwarded.
func (d *Directory) Put(now time.Duration, a engineapi.Announcement) (changed bool, err error) {
	rec, err := newRecord(now, 0, a)
	if err != nil {
		return false, err
	}
	rec.direct = true
	rec.directAt = now
	rec.StateSequence = a.Sequence
	s := d.shard(a.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepts(a.Instance, rec.Version()) {
		return false, nil
	}
	if old, ok := s.records[a.Instance]; ok && sameState(&old.Announcement, &rec.Announcement) {
		rec.StateSequence = old.StateSequence
	}
	d.put(s, rec)
	return true, nil
}

// Learn stores a full record received from another host; age is the time since the
// instance sent the announcement.
func (d *Directory) Learn(now, age time.Duration, a engineapi.Announcement, stateSequence uint64) (changed bool, err error) {
	rec, err := newRecord(now, age, a)
	if err != nil {
		return false, err
	}
	rec.StateSequence = stateSequence
	s := d.shard(a.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.Expires() <= now || !s.accepts(a.Instance, rec.Version()) {
		return false, nil
	}
	if old, ok := s.records[a.Instance]; ok {
		rec.direct, rec.directAt = old.direct, old.directAt
	}
	d.put(s, rec)
	return true, nil
}

// Renew stores a renewal received from another host. changed reports whether it was
// newer, missing whether this host lacks the full record that it builds on.
func (d *Directory) Renew(now, age time.Duration, r Renewal) (changed, missing bool) {
	s := d.shard(r.Instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accepts(r.Instance, r.Version) {
		return false, false
	}
	old, ok := s.records[r.Instance]
	if !ok || old.Announcement.Incarnation != r.Version.Incarnation || old.StateSequence != r.StateSequence {
		return false, true
	}
	r.Load = boundLoad(r.Load)
	rec := *old
	rec.Announcement.Sequence = r.Version.Sequence
	rec.Announcement.Load = r.Load
	rec.HeardAt = max(old.HeardAt, now-age)
	rec.LoadAt = now - age - time.Duration(r.Load.AgeMillis)*time.Millisecond
	d.put(s, &rec)
	return true, false
}

// End removes an instance whose lease another host has seen end, unless a newer
// version is known. It reports whether the instance was removed.
func (d *Directory) End(now time.Duration, instance string, v Version) (changed bool) {
	s := d.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[instance]
	if !ok || old.Version().Newer(v) {
		return false
	}
	s.remove(now, old)
	d.generation.Add(1)
	return true
}

// EndZone removes the instances of an unreachable availability zone, except those
// that announce to this host.
func (d *Directory) EndZone(now time.Duration, zone string) {
	for i := range d.shards {
		d.shards[i].endZone(now, zone)
	}
	d.generation.Add(1)
}

func (s *shard) endZone(now time.Duration, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range s.records {
		watched := rec.direct && now-rec.directAt < directTimeout
		if rec.Announcement.Zone == zone && !watched {
			s.remove(now, rec)
		}
	}
}

func newRecord(now, age time.Duration, a engineapi.Announcement) (*Record, error) {
	if err := Validate(&a); err != nil {
		return nil, err
	}
	a.Load = boundLoad(a.Load)
	shortenReasons(&a.State)
	heard := now - max(age, 0)
	return &Record{
		Announcement: a,
		HeardAt:      heard,
		LoadAt:       heard - time.Duration(a.Load.AgeMillis)*time.Millisecond,
	}, nil
}

// accepts reports whether a version is newer than the instance's record and
// tombstone. The caller holds s.mu.
func (s *shard) accepts(instance string, v Version) bool {
	if t, ok := s.tombstones[instance]; ok && !v.Newer(t.version) {
		return false
	}
	old, ok := s.records[instance]
	return !ok || v.Newer(old.Version())
}

// put stores a record with the newest known load report. The caller holds s.mu.
func (d *Directory) put(s *shard, rec *Record) {
	name := rec.Announcement.Instance
	if old, ok := s.records[name]; ok {
		invariant.Check(rec.Version().Newer(old.Version()), "directory-version-grows",
			"instance %s: %v after %v", name, rec.Version(), old.Version())
		sameRun := old.Announcement.Incarnation == rec.Announcement.Incarnation
		if sameRun && old.Announcement.Load.Sequence > rec.Announcement.Load.Sequence {
			rec.Announcement.Load = old.Announcement.Load
			rec.LoadAt = old.LoadAt
		}
	}
	s.records[name] = rec
	delete(s.tombstones, name)
	d.generation.Add(1)
}

// ObserveLoad stores a load report that came with a response, if it is newer than
// the known one.
func (d *Directory) ObserveLoad(now time.Duration, instance string, incarnation uint64, load engineapi.LoadReport) {
	s := d.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[instance]
	if !ok || old.Announcement.Incarnation != incarnation || load.Sequence <= old.Announcement.Load.Sequence {
		return
	}
	load = boundLoad(load)
	rec := *old
	rec.Announcement.Load = load
	rec.LoadAt = now - time.Duration(load.AgeMillis)*time.Millisecond
	s.records[instance] = &rec
	d.generation.Add(1)
}

// MarkDraining records that an instance refused a request because it is draining,
// before its announcement of that arrives.
func (d *Directory) MarkDraining(instance string, incarnation uint64) {
	s := d.shard(instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[instance]
	if !ok || old.Announcement.Incarnation != incarnation || old.Announcement.Draining {
		return
	}
	rec := *old
	rec.Announcement.Draining = true
	s.records[instance] = &rec
	d.generation.Add(1)
}

// Expire removes the instances whose lease has expired and returns them.
func (d *Directory) Expire(now time.Duration) []*Record {
	var gone []*Record
	for i := range d.shards {
		gone = append(gone, d.shards[i].expire(now)...)
	}
	if len(gone) > 0 {
		d.generation.Add(1)
	}
	return gone
}

func (s *shard) expire(now time.Duration) []*Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []*Record
	for _, rec := range s.records {
		if rec.Expires() <= now {
			gone = append(gone, rec)
			s.remove(now, rec)
		}
	}
	for name, t := range s.tombstones {
		if t.expiresAt <= now {
			delete(s.tombstones, name)
		}
	}
	return gone
}

// remove replaces a record by a tombstone. The caller holds s.mu.
func (s *shard) remove(now time.Duration, rec *Record) {
	name := rec.Announcement.Instance
	delete(s.records, name)
	s.tombstones[name] = tombstone{version: rec.Version(), expiresAt: now + TombstoneDuration}
}

// Find returns the record of one instance, nil when it is not known. It looks
// at one shard only and builds no snapshot.
func (d *Directory) Find(instance string) *Record {
	s := d.shard(instance)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.records[instance]
}

// Snapshot returns the newest view. It builds a new one only after a change.
func (d *Directory) Snapshot() *Snapshot {
	snap := d.snapshot.Load()
	if snap.Generation == d.generation.Load() {
		return snap
	}
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	gen := d.generation.Load()
	if snap = d.snapshot.Load(); snap.Generation == gen {
		return snap
	}
	snap = &Snapshot{Generation: gen, Records: d.collect()}
	d.snapshot.Store(snap)
	return snap
}

func (d *Directory) collect() []*Record {
	var all []*Record
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.RLock()
		for _, rec := range s.records {
			all = append(all, rec)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b *Record) int {
		return cmp.Compare(a.Announcement.Instance, b.Announcement.Instance)
	})
	return all
}
