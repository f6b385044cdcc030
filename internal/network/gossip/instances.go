package gossip

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// syncBuckets is the number of buckets of instances whose hashes two hosts compare.
const syncBuckets = 32

// Limits of queued and transmitted updates.
const (
	maxPending               = 4096 // instances with a queued update; updates of further ones are dropped
	maxSyncPackets           = 64   // in the answer to one sync request
	stateTransmissionsBase   = 3    // transmissions of a change of state, whatever the number of hosts
	stateTransmissionsFactor = 1    // further transmissions, times log10 of the number of hosts
	loadTransmissions        = 3    // transmissions of a load; the next load replaces a lost one
)

// The loads of one instance are spread about once per interval. The interval grows with
// the number of instances, so that the bytes per host stay constant as the fleet grows.
// The registrar hosts of an instance select announcements by their sequence number, so
// that all of them spread the same ones; other hosts forward the loads that they receive.
const (
	ownZoneInterval    = 450 * time.Millisecond
	ownZoneSpacing     = 32 * time.Millisecond // per instance of the own availability zone
	otherZonesInterval = time.Second
	otherZonesSpacing  = 40 * time.Millisecond // per instance of the other zones
)

// priority orders updates; lower values are sent first.
type priority uint8

const (
	stateChange priority = iota // a change of state or the end of a lease
	loadUpdate                  // a lease renewal with its load
)

// pendingUpdate is an update of one instance that is still to be transmitted.
type pendingUpdate struct {
	instance   string
	priority   priority
	endVersion directory.Version // the version whose lease ended, if leaseEnded
	leaseEnded bool
	allZones   bool // goes to hosts of all zones
	sent       int
	queuedAt   time.Duration
}

// instances spreads changes of the directory. It is guarded by the node's lock.
type instances struct {
	zone           string
	dir            *directory.Directory
	queue          map[string]*pendingUpdate
	missingRecords uint64 // number of received renewals whose record was unknown
}

func newInstances(zone string, dir *directory.Directory) *instances {
	return &instances{
		zone:  zone,
		dir:   dir,
		queue: make(map[string]*pendingUpdate),
	}
}

// receiveAnnouncement stores an announcement made to this host. It queues a changed state,
// or a load that is due, and reports whether the announcement was new.
func (s *instances) receiveAnnouncement(now time.Duration, a engineapi.Announcement) (bool, error) {
	before := s.dir.Find(a.Instance)
	changed, err := s.dir.Put(now, a)
	if !changed {
		return changed, err
	}
	if before == nil || s.knownState(a.Instance) != stateVersion(before) {
		s.enqueueState(now, a.Instance)
		return true, nil
	}
	own, others := s.countInstances()
	period := announcePeriod(now, before, &a)
	number := a.Sequence + xxhash.Sum64String(a.Instance) // spreads instances that started together
	if due(number, period, max(otherZonesInterval, time.Duration(others)*otherZonesSpacing)) {
		s.enqueueLoad(now, a.Instance, true)
	} else if due(number, period, max(ownZoneInterval, time.Duration(own)*ownZoneSpacing)) {
		s.enqueueLoad(now, a.Instance, false)
	}
	return true, nil
}

// announcePeriod returns the time between two announcements of an instance.
func announcePeriod(now time.Duration, before *directory.Record, a *engineapi.Announcement) time.Duration {
	steps := a.Sequence - before.Announcement.Sequence
	if steps == 0 || now <= before.HeardAt {
		return 0
	}
	return (now - before.HeardAt) / time.Duration(steps)
}

// due reports whether to spread the announcement with a number. About one announcement
// per interval is due.
func due(number uint64, period, interval time.Duration) bool {
	if period <= 0 {
		return true
	}
	every := (interval + period/2) / period
	return every <= 1 || number%uint64(every) == 0
}

// countInstances returns the number of instances of the own zone and of other zones.
func (s *instances) countInstances() (own, others int) {
	records := s.dir.Snapshot().Records
	for _, r := range records {
		if r.Announcement.Zone == s.zone {
			own++
		}
	}
	return own, len(records) - own
}

// knownState returns the state version of an instance in the directory, zero if unknown.
func (s *instances) knownState(instance string) directory.Version {
	r := s.dir.Find(instance)
	if r == nil {
		return directory.Version{}
	}
	return stateVersion(r)
}

func stateVersion(r *directory.Record) directory.Version {
	return directory.Version{Incarnation: r.Announcement.Incarnation, Sequence: r.StateSequence}
}

// enqueueState queues a change of state.
func (s *instances) enqueueState(now time.Duration, instance string) {
	s.enqueue(&pendingUpdate{instance: instance, priority: stateChange, allZones: true, queuedAt: now})
}

// enqueueLoad queues a load unless a change of state is queued, which carries the newest
// load. A load for the own zone replaces a queued one for all zones and still goes to the
// own zone only: otherwise, while the queue is long, each newer load would be sent to all
// zones.
func (s *instances) enqueueLoad(now time.Duration, instance string, allZones bool) {
	old := s.queue[instance]
	if old != nil && old.priority == stateChange {
		return
	}
	s.enqueue(&pendingUpdate{instance: instance, priority: loadUpdate, allZones: allZones, queuedAt: now})
}

func (s *instances) enqueue(p *pendingUpdate) {
	if _, ok := s.queue[p.instance]; !ok && len(s.queue) >= maxPending {
		return
	}
	s.queue[p.instance] = p
}

// expire ends the leases that have run out and queues their ends.
func (s *instances) expire(now time.Duration) {
	for _, r := range s.dir.Expire(now) {
		s.enqueueLeaseEnd(now, r.Announcement.Instance, r.Version())
	}
}

func (s *instances) enqueueLeaseEnd(now time.Duration, instance string, v directory.Version) {
	s.enqueue(&pendingUpdate{instance: instance, priority: stateChange, leaseEnded: true, allZones: true, endVersion: v, queuedAt: now})
}

// fill adds queued updates to a packet, up to a size of limit bytes. An update that no packet
// has room for is the only one in its packet, so that it keeps none of the others.
func (s *instances) fill(now time.Duration, p *gossipv1.Packet, toZone string, hosts, limit int) {
	if len(s.queue) == 0 {
		return
	}
	size := proto.Size(p)
	for _, item := range s.byPriority() {
		if !item.allZones && toZone != s.zone {
			continue
		}
		u := s.update(now, item)
		if u == nil {
			delete(s.queue, item.instance)
			continue
		}
		bytes := proto.Size(u) + updateOverheadBytes
		size += bytes
		tooLargeForAny := bytes > limit-packetReserveBytes
		if size > limit && !(tooLargeForAny && len(p.GetInstances()) == 0) {
			return
		}
		p.Instances = append(p.Instances, u)
		item.sent++
		if item.sent >= maxTransmissions(item.priority, hosts) {
			delete(s.queue, item.instance)
		}
	}
}

// updateOverheadBytes is the framing of one update in a packet.
const updateOverheadBytes = 4

func (s *instances) byPriority() []*pendingUpdate {
	items := make([]*pendingUpdate, 0, len(s.queue))
	for _, item := range s.queue {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *pendingUpdate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.queuedAt, b.queuedAt),
			cmp.Compare(a.instance, b.instance),
		)
	})
	return items
}

func maxTransmissions(u priority, hosts int) int {
	if u == loadUpdate {
		return loadTransmissions
	}
	return stateTransmissionsBase + stateTransmissionsFactor*int(math.Ceil(math.Log10(float64(hosts+1))))
}

func (s *instances) update(now time.Duration, item *pendingUpdate) *gossipv1.InstanceUpdate {
	if item.leaseEnded {
		return &gossipv1.InstanceUpdate{
			Instance:    item.instance,
			Incarnation: item.endVersion.Incarnation,
			Sequence:    item.endVersion.Sequence,
			Expired:     true,
		}
	}
	r := s.dir.Find(item.instance)
	if r == nil {
		return nil
	}
	if item.priority == stateChange {
		return fullUpdate(now, r)
	}
	u := renewal(now, r)
	u.Wide = item.allZones
	return u
}

// merge applies the updates of a received packet.
func (s *instances) merge(now time.Duration, updates []*gossipv1.InstanceUpdate) {
	for _, u := range updates {
		s.mergeOne(now, u)
	}
}

func (s *instances) mergeOne(now time.Duration, u *gossipv1.InstanceUpdate) {
	version := directory.Version{Incarnation: u.GetIncarnation(), Sequence: u.GetSequence()}
	age := time.Duration(u.GetAgeMs()) * time.Millisecond
	switch {
	case u.GetExpired():
		if s.dir.End(now, u.GetInstance(), version) {
			s.enqueueLeaseEnd(now, u.GetInstance(), version)
		}
	case u.GetAnnouncement() != nil:
		before := s.knownState(u.GetInstance())
		changed, err := s.dir.Learn(now, age, fromUpdate(u), u.GetStateSequence())
		if err == nil && changed && before != s.knownState(u.GetInstance()) {
			s.enqueueState(now, u.GetInstance())
		}
	case u.GetLoad() != nil:
		s.renew(now, age, version, u)
	}
}

func (s *instances) renew(now, age time.Duration, version directory.Version, u *gossipv1.InstanceUpdate) {
	changed, missing := s.dir.Renew(now, age, directory.Renewal{
		Instance:      u.GetInstance(),
		Version:       version,
		StateSequence: u.GetStateSequence(),
		Load:          fromLoad(u.GetLoad()),
	})
	if missing {
		s.missingRecords++
	}
	if changed {
		s.enqueueLoad(now, u.GetInstance(), u.GetWide())
	}
}

// hashes returns one hash per bucket over the state versions of all instances.
func (s *instances) hashes() []uint64 {
	out := make([]uint64, syncBuckets)
	for _, r := range s.dir.Snapshot().Records {
		out[bucket(r.Announcement.Instance)] += stateHash(r)
	}
	return out
}

func bucket(instance string) int { return int(xxhash.Sum64String(instance) % syncBuckets) }

func stateHash(r *directory.Record) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Announcement.Instance)
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], r.Announcement.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.StateSequence)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// answerSync returns packets with the full records of the buckets that differ.
func (s *instances) answerSync(now time.Duration, theirs []uint64, newPacket func() *gossipv1.Packet) []*gossipv1.Packet {
	if len(theirs) != syncBuckets {
		return nil
	}
	ours := s.hashes()
	var out []*gossipv1.Packet
	size := 0
	for _, r := range s.dir.Snapshot().Records {
		if b := bucket(r.Announcement.Instance); ours[b] == theirs[b] {
			continue
		}
		u := fullUpdate(now, r)
		bytes := proto.Size(u) + updateOverheadBytes
		if len(out) == 0 || size+bytes > maxPacketBytes-packetReserveBytes {
			if len(out) == maxSyncPackets {
				return out
			}
			out = append(out, newPacket())
			size = 0
		}
		size += bytes
		last := out[len(out)-1]
		last.Instances = append(last.Instances, u)
	}
	return out
}
