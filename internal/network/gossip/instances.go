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

// syncBuckets is the number of hashes by which two hosts compare their records.
const syncBuckets = 32

// Limits of the news that is held and sent.
const (
	maxPending       = 4096
	maxSyncPackets   = 64
	stateSendsBase   = 3 // transmissions of a change of state, whatever the number of hosts
	stateSendsFactor = 1 // further transmissions, times log10 of the number of hosts
	loadSends        = 3 // transmissions of a load; the next load makes up for a lost one
)

// The loads of one instance are spread about once per interval. The interval
// grows with the number of instances, so that the bytes per host stay flat as
// the fleet grows. The hosts that an instance announces to decide by the number
// of the announcement, so that they choose the same ones; the others pass on
// what they get.
const (
	ownZoneInterval    = 450 * time.Millisecond
	ownZoneSpacing     = 32 * time.Millisecond // per instance of the own availability zone
	otherZonesInterval = time.Second
	otherZonesSpacing  = 40 * time.Millisecond // per instance of the other zones
)

// urgency orders news; lower values are sent first.
type urgency uint8

const (
	urgentState urgency = iota // a change of state or the end of a lease
	routineLoad                // a lease renewal with its load
)

// pending is news of one instance that still has to be passed on.
type pending struct {
	instance string
	urgency  urgency
	ended    directory.Version // set when the news is the end of the lease
	isEnd    bool
	wide     bool // goes to hosts of all zones
	sent     int
	queuedAt time.Duration
}

// instances spreads the directory's news. It is used by one goroutine at a
// time; the node's lock guards it.
type instances struct {
	zone    string
	dir     *directory.Directory
	queue   map[string]*pending
	missing uint64 // renewals whose full record was not known
}

func newInstances(zone string, dir *directory.Directory) *instances {
	return &instances{
		zone:  zone,
		dir:   dir,
		queue: make(map[string]*pending),
	}
}

// announced takes an announcement made to this host.
func (s *instances) announced(now time.Duration, a engineapi.Announcement) (bool, error) {
	before := s.dir.Find(a.Instance)
	news, err := s.dir.Put(now, a)
	if !news {
		return news, err
	}
	if before == nil || s.stateSequence(a.Instance) != stateOf(before) {
		s.enqueueState(now, a.Instance)
		return true, nil
	}
	own, others := s.counts()
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

// due reports whether the announcement with a number is one of those that are
// spread, about one per interval.
func due(number uint64, period, interval time.Duration) bool {
	if period <= 0 {
		return true
	}
	every := (interval + period/2) / period
	return every <= 1 || number%uint64(every) == 0
}

// counts returns the number of instances of the own zone and of other zones.
func (s *instances) counts() (own, others int) {
	records := s.dir.Snapshot().Records
	for _, r := range records {
		if r.Announcement.Zone == s.zone {
			own++
		}
	}
	return own, len(records) - own
}

// stateSequence returns the state that the directory holds of an instance.
func (s *instances) stateSequence(instance string) directory.Version {
	r := s.dir.Find(instance)
	if r == nil {
		return directory.Version{}
	}
	return stateOf(r)
}

func stateOf(r *directory.Record) directory.Version {
	return directory.Version{Incarnation: r.Announcement.Incarnation, Sequence: r.StateSequence}
}

// enqueueState queues a change of state.
func (s *instances) enqueueState(now time.Duration, instance string) {
	s.put(&pending{instance: instance, urgency: urgentState, wide: true, queuedAt: now})
}

// enqueueLoad queues a load, unless a change of state waits: the newest load
// travels with it. A newer load of the own zone takes the place of one meant for
// all zones: to send each newer one everywhere in its stead would never end while
// the queue is long.
func (s *instances) enqueueLoad(now time.Duration, instance string, wide bool) {
	old := s.queue[instance]
	if old != nil && old.urgency == urgentState {
		return
	}
	s.put(&pending{instance: instance, urgency: routineLoad, wide: wide, queuedAt: now})
}

func (s *instances) put(p *pending) {
	if _, ok := s.queue[p.instance]; !ok && len(s.queue) >= maxPending {
		return
	}
	s.queue[p.instance] = p
}

// expire ends the leases that have run out and queues the news.
func (s *instances) expire(now time.Duration) {
	for _, r := range s.dir.Expire(now) {
		s.ended(now, r.Announcement.Instance, r.Version())
	}
}

func (s *instances) ended(now time.Duration, instance string, v directory.Version) {
	s.put(&pending{instance: instance, urgency: urgentState, isEnd: true, wide: true, ended: v, queuedAt: now})
}

// fill adds news to a packet for as long as it stays within the byte limit.
func (s *instances) fill(now time.Duration, p *gossipv1.Packet, toZone string, hosts, limit int) {
	if len(s.queue) == 0 {
		return
	}
	size := proto.Size(p)
	for _, item := range s.byUrgency() {
		if !item.wide && toZone != s.zone {
			continue
		}
		u := s.update(now, item)
		if u == nil {
			delete(s.queue, item.instance)
			continue
		}
		size += proto.Size(u) + updateOverheadBytes
		if size > limit {
			return
		}
		p.Instances = append(p.Instances, u)
		item.sent++
		if item.sent >= sends(item.urgency, hosts) {
			delete(s.queue, item.instance)
		}
	}
}

// updateOverheadBytes is the framing of one update in a packet.
const updateOverheadBytes = 4

func (s *instances) byUrgency() []*pending {
	items := make([]*pending, 0, len(s.queue))
	for _, item := range s.queue {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *pending) int {
		return cmp.Or(
			cmp.Compare(a.urgency, b.urgency),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.queuedAt, b.queuedAt),
			cmp.Compare(a.instance, b.instance),
		)
	})
	return items
}

func sends(u urgency, hosts int) int {
	if u == routineLoad {
		return loadSends
	}
	return stateSendsBase + stateSendsFactor*int(math.Ceil(math.Log10(float64(hosts+1))))
}

func (s *instances) update(now time.Duration, item *pending) *gossipv1.InstanceUpdate {
	if item.isEnd {
		return &gossipv1.InstanceUpdate{
			Instance:    item.instance,
			Incarnation: item.ended.Incarnation,
			Sequence:    item.ended.Sequence,
			Expired:     true,
		}
	}
	r := s.dir.Find(item.instance)
	if r == nil {
		return nil
	}
	if item.urgency == urgentState {
		return fullUpdate(now, r)
	}
	u := renewal(now, r)
	u.Wide = item.wide
	return u
}

// absorb takes the news of a packet.
func (s *instances) absorb(now time.Duration, updates []*gossipv1.InstanceUpdate) {
	for _, u := range updates {
		s.absorbOne(now, u)
	}
}

func (s *instances) absorbOne(now time.Duration, u *gossipv1.InstanceUpdate) {
	version := directory.Version{Incarnation: u.GetIncarnation(), Sequence: u.GetSequence()}
	age := time.Duration(u.GetAgeMs()) * time.Millisecond
	switch {
	case u.GetExpired():
		if s.dir.End(now, u.GetInstance(), version) {
			s.ended(now, u.GetInstance(), version)
		}
	case u.GetAnnouncement() != nil:
		before := s.stateSequence(u.GetInstance())
		news, err := s.dir.Learn(now, age, fromUpdate(u), u.GetStateSequence())
		if err == nil && news && before != s.stateSequence(u.GetInstance()) {
			s.enqueueState(now, u.GetInstance())
		}
	case u.GetLoad() != nil:
		s.renew(now, age, version, u)
	}
}

func (s *instances) renew(now, age time.Duration, version directory.Version, u *gossipv1.InstanceUpdate) {
	news, missing := s.dir.Renew(now, age, directory.Renewal{
		Instance:      u.GetInstance(),
		Version:       version,
		StateSequence: u.GetStateSequence(),
		Load:          fromLoad(u.GetLoad()),
	})
	if missing {
		s.missing++
	}
	if news {
		s.enqueueLoad(now, u.GetInstance(), u.GetWide())
	}
}

// hashes returns one hash per bucket over the states of all instances.
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
