package regroup

import (
	"errors"
	"fmt"
	"testing"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/replication/consensus"
)

func address(n int) string { return fmt.Sprintf("10.0.%d.1:7601", n) }

// membership returns one of the given voters, and of learners with negative numbers.
func membership(numbers ...int) consensus.Membership {
	var members []consensus.Member
	for _, n := range numbers {
		learner := n < 0
		n = max(n, -n)
		members = append(members, consensus.Member{ID: uint64(n), Address: address(n), Learner: learner, Incarnation: 1})
	}
	return consensus.NewMembership(members)
}

func disk(memberships ...consensus.Membership) *Disk {
	return &Disk{ID: 1, Address: address(1), Term: 5, LastTerm: 5, Last: 100, Commit: 90, Memberships: memberships}
}

func lost(numbers ...int) []string {
	var out []string
	for _, n := range numbers {
		out = append(out, address(n))
	}
	return out
}

func answer(n int, s controlapi.GroupStatus) Answer {
	return Answer{Address: address(n), Reached: true, Status: &s}
}

// outcome names the type of an error.
func outcome(err error) string {
	var (
		leader      *LeaderError
		voter       *VoterAnswersError
		behind      *BehindError
		unconfirmed *UnconfirmedError
		unknown     *UnknownVoterError
		noMember    *NoMemberError
	)
	switch {
	case err == nil:
		return "new group"
	case errors.As(err, &leader):
		return "leader"
	case errors.As(err, &voter):
		return "voter answers"
	case errors.As(err, &behind):
		return "behind"
	case errors.As(err, &unconfirmed):
		return fmt.Sprint("unconfirmed ", unconfirmed.Missing)
	case errors.As(err, &unknown):
		return "unknown voter"
	case errors.As(err, &noMember):
		return "no member"
	}
	return err.Error()
}

func TestNewGroupOnlyWhereNoQuorumCanLive(t *testing.T) {
	three := disk(membership(1, 2, 3, -4))
	learner := disk(membership(-1, 2, 3, 4))
	none := disk(membership(2, 3))
	empty := disk(membership(1, 2, 3))
	empty.Last = 0
	for name, c := range map[string]struct {
		disk    *Disk
		lost    []string
		answers []Answer
		want    string
	}{
		"nothing confirmed":                 {three, nil, nil, "unconfirmed 2"},
		"one of two confirmed":              {three, lost(2), nil, "unconfirmed 1"},
		"both confirmed":                    {three, lost(2, 3), nil, "new group"},
		"confirmed twice":                   {three, lost(2, 2), nil, "unconfirmed 1"},
		"the host itself confirmed":         {three, lost(1, 2), nil, "unknown voter"},
		"a learner confirmed":               {three, lost(2, 4), nil, "unknown voter"},
		"two of four":                       {disk(membership(1, 2, 3, 4)), lost(2, 3), nil, "new group"},
		"two of five":                       {disk(membership(1, 2, 3, 4, 5)), lost(2, 3), nil, "unconfirmed 1"},
		"the only voter":                    {disk(membership(1, -2)), nil, nil, "unconfirmed 1"},
		"a learner's disk":                  {learner, lost(2, 3), nil, "new group"},
		"a learner's disk, one confirmed":   {learner, lost(2), nil, "unconfirmed 1"},
		"no member":                         {none, lost(2, 3), nil, "no member"},
		"empty log":                         {empty, lost(2, 3), nil, "no member"},
		"change of voters under way":        {disk(membership(1, 2, 3), membership(1, 2, 3, 4)), lost(2, 4), nil, "unconfirmed 1"},
		"change of voters, three lost":      {disk(membership(1, 2, 3), membership(1, 2, 3, 4)), lost(2, 3), nil, "new group"},
		"a voter answers though confirmed":  {three, lost(2, 3), []Answer{answer(2, controlapi.GroupStatus{Replica: 2, Member: true, Voter: true})}, "voter answers"},
		"a voter that cannot tell":          {three, lost(2, 3), []Answer{{Address: address(3), Reached: true}}, "voter answers"},
		"a voter whose replica is closed":   {three, lost(2, 3), []Answer{answer(3, controlapi.GroupStatus{})}, "voter answers"},
		"a voter at another address":        {three, lost(2, 3), []Answer{answer(9, controlapi.GroupStatus{Replica: 3, Member: true, Voter: true})}, "voter answers"},
		"a voter that this log lacks":       {three, lost(2, 3), []Answer{answer(9, controlapi.GroupStatus{Replica: 9, Member: true, Voter: true})}, "voter answers"},
		"a host without a log in its place": {three, lost(2, 3), []Answer{answer(3, controlapi.GroupStatus{Replica: 77})}, "new group"},
		"no answer":                         {three, lost(2, 3), []Answer{{Address: address(2)}, {Address: address(3)}}, "new group"},
		"some host follows a leader":        {three, lost(2, 3), []Answer{answer(9, controlapi.GroupStatus{Replica: 9, Leader: address(8)})}, "leader"},
		"a learner that holds less":         {three, lost(2, 3), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 5, Last: 99})}, "new group"},
		"a learner that holds more":         {three, lost(2, 3), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 5, Last: 101})}, "behind"},
		"a learner of a later term":         {three, lost(2, 3), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 6, Last: 80})}, "behind"},
	} {
		if got := outcome(c.disk.Check(c.lost, c.answers)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
