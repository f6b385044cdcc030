package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
)

// MaxVoters bounds the number of voting replicas of a group.
const MaxVoters = 7

// maxMembers bounds a decoded membership: voters, learners and retired ids.
const maxMembers = 1 << 16

// Member is one replica of the group.
type Member struct {
	ID      uint64
	Address string
	Zone    string
	Learner bool
	// Incarnation is the random number of the member's data folder, 0 until it is
	// recorded. Once recorded for an id it never changes.
	Incarnation uint64
}

// Membership is the set of replicas, sorted by id. Methods that change it return a
// changed copy.
type Membership struct {
	Members []Member
	Retired []uint64 // ids of removed replicas, sorted; never used again
}

// NewMembership returns a membership of the given members.
func NewMembership(members []Member) Membership {
	m := Membership{Members: slices.Clone(members)}
	slices.SortFunc(m.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return m
}

// Find returns the member with the id.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the id is a voting member.
func (m Membership) IsVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// IsRetired reports whether the id was removed from the group.
func (m Membership) IsRetired(id uint64) bool {
	_, ok := slices.BinarySearch(m.Retired, id)
	return ok
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if !member.Learner {
			n++
		}
	}
	return n
}

// IncarnationsRecorded reports whether every voter's incarnation is recorded.
func (m Membership) IncarnationsRecorded() bool {
	for _, member := range m.Members {
		if !member.Learner && member.Incarnation == 0 {
			return false
		}
	}
	return true
}

// Quorum returns how many voters must agree: a majority, or all of them while an
// incarnation is not recorded. The first election of a group is unanimous, so a
// replica that lost its disk during bootstrap cannot help to start a second log.
func (m Membership) Quorum() int {
	if !m.IncarnationsRecorded() {
		return m.Voters()
	}
	return m.Voters()/2 + 1
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (m Membership) quorumValue(value func(id uint64) uint64) uint64 {
	var buf [MaxVoters]uint64
	values := buf[:0]
	for _, member := range m.Members {
		if !member.Learner {
			values = append(values, value(member.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b uint64) int { return cmp.Compare(b, a) })
	return values[m.Quorum()-1]
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Retired: slices.Clone(m.Retired)}
}

func (m Membership) withMember(member Member) Membership {
	next := m.clone()
	for i := range next.Members {
		if next.Members[i].ID == member.ID {
			next.Members[i] = member
			return next
		}
	}
	next.Members = append(next.Members, member)
	return Membership{Members: NewMembership(next.Members).Members, Retired: next.Retired}
}

// Retire returns the membership with ids added to those that are never used again.
func (m Membership) Retire(ids ...uint64) Membership {
	next := m.clone()
	next.Retired = append(next.Retired, ids...)
	slices.Sort(next.Retired)
	next.Retired = slices.Compact(next.Retired)
	return next
}

func (m Membership) without(id uint64) Membership {
	next := m.clone()
	next.Members = slices.DeleteFunc(next.Members, func(member Member) bool { return member.ID == id })
	next.Retired = append(next.Retired, id)
	slices.Sort(next.Retired)
	return next
}

// Encode returns the membership as stored in log entries.
func (m Membership) Encode() []byte {
	buf := binary.AppendUvarint(nil, uint64(len(m.Members)))
	for _, member := range m.Members {
		buf = binary.AppendUvarint(buf, member.ID)
		buf = binary.AppendUvarint(buf, member.Incarnation)
		buf = appendBool(buf, member.Learner)
		buf = appendBytes(buf, []byte(member.Address))
		buf = appendBytes(buf, []byte(member.Zone))
	}
	buf = binary.AppendUvarint(buf, uint64(len(m.Retired)))
	for _, id := range m.Retired {
		buf = binary.AppendUvarint(buf, id)
	}
	return buf
}

// DecodeMembership reads what Encode wrote.
func DecodeMembership(data []byte) (Membership, error) {
	d := decoder{buf: data}
	var m Membership
	n := d.count(maxMembers)
	for range n {
		member := Member{ID: d.uvarint(), Incarnation: d.uvarint(), Learner: d.bool()}
		member.Address = string(d.bytes(MaxEntryBytes))
		member.Zone = string(d.bytes(MaxEntryBytes))
		if d.err != nil {
			break
		}
		m.Members = append(m.Members, member)
	}
	n = d.count(maxMembers)
	for range n {
		m.Retired = append(m.Retired, d.uvarint())
		if d.err != nil {
			break
		}
	}
	if err := d.finish(); err != nil {
		return Membership{}, fmt.Errorf("decode membership: %w", err)
	}
	if err := m.validate(); err != nil {
		return Membership{}, fmt.Errorf("decode membership: %w", err)
	}
	return m, nil
}

func (m Membership) validate() error {
	for i, member := range m.Members {
		if member.ID == 0 {
			return &FormatError{Detail: "member id 0"}
		}
		if i > 0 && m.Members[i-1].ID >= member.ID {
			return &FormatError{Detail: "member ids not ascending"}
		}
	}
	if !slices.IsSorted(m.Retired) {
		return &FormatError{Detail: "retired ids not ascending"}
	}
	if m.Voters() > MaxVoters {
		return &FormatError{Detail: fmt.Sprintf("%d voters, at most %d", m.Voters(), MaxVoters)}
	}
	return nil
}
