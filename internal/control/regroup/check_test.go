package regroup

import (
	"errors"
	"fmt"
	"slices"
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
		unknown     *UnknownHostError
		silent      *SilentError
		noStatus    *NoStatusError
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
		return "unknown host"
	case errors.As(err, &silent):
		return fmt.Sprint("silent ", len(silent.Addresses))
	case errors.As(err, &noStatus):
		return "no status"
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
	behind := answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 5, Last: 99})
	for name, c := range map[string]struct {
		disk    *Disk
		lost    []string
		answers []Answer
		want    string
	}{
		"nothing confirmed":                 {three, nil, nil, "silent 3"},
		"one of two confirmed":              {three, lost(2, 4), nil, "silent 1"},
		"both confirmed":                    {three, lost(2, 3, 4), nil, "new group"},
		"both confirmed, not the learner":   {three, lost(2, 3), nil, "silent 1"},
		"both confirmed, a learner answers": {three, lost(2, 3), []Answer{behind}, "new group"},
		"confirmed twice":                   {three, lost(2, 2, 4), nil, "silent 1"},
		"the host itself confirmed":         {three, lost(1, 2), nil, "unknown host"},
		"a host that nothing names":         {three, lost(2, 3, 4, 5), nil, "unknown host"},
		"a learner in place of a voter":     {three, lost(2, 4), nil, "silent 1"},
		"two of four":                       {disk(membership(1, 2, 3, 4)), lost(2, 3), nil, "silent 1"},
		"two of five":                       {disk(membership(1, 2, 3, 4, 5)), lost(2, 3), nil, "silent 2"},
		"three of five":                     {disk(membership(1, 2, 3, 4, 5)), lost(2, 3, 4), nil, "silent 1"},
		"four of five":                      {disk(membership(1, 2, 3, 4, 5)), lost(2, 3, 4, 5), nil, "new group"},
		"the only voter":                    {disk(membership(1, -2)), lost(2), nil, "unconfirmed 1"},
		"a learner's disk":                  {learner, lost(2, 3, 4), nil, "new group"},
		"a learner's disk, one confirmed":   {learner, lost(2), nil, "silent 2"},
		"no member":                         {none, lost(2, 3), nil, "no member"},
		"empty log":                         {empty, lost(2, 3), nil, "no member"},
		"change of voters under way":        {disk(membership(1, 2, 3), membership(1, 2, 3, 4)), lost(2, 4), nil, "silent 1"},
		"change of voters, three lost":      {disk(membership(1, 2, 3), membership(1, 2, 3, 4)), lost(2, 3, 4), nil, "new group"},
		"change of voters, new disks":       {disk(membership(1, 2, 3), membership(1, 2, 3, 4)), lost(2, 4), []Answer{answer(3, controlapi.GroupStatus{Replica: 77})}, "unconfirmed 1"},
		"a voter answers though confirmed":  {three, lost(2, 3, 4), []Answer{answer(2, controlapi.GroupStatus{Replica: 2, Member: true, Voter: true})}, "voter answers"},
		"a voter that cannot tell":          {three, lost(2, 3, 4), []Answer{{Address: address(3), Reached: true}}, "no status"},
		"a voter whose replica is closed":   {three, lost(2, 3, 4), []Answer{answer(3, controlapi.GroupStatus{})}, "no status"},
		"a seed that cannot tell":           {three, lost(2, 3, 4, 9), []Answer{{Address: address(9), Reached: true}}, "no status"},
		"a seed whose replica is closed":    {three, lost(2, 3, 4, 9), []Answer{answer(9, controlapi.GroupStatus{})}, "no status"},
		"a seed that is silent":             {three, lost(2, 3, 4), []Answer{{Address: address(9)}}, "silent 1"},
		"a seed that is lost":               {three, lost(2, 3, 4, 9), []Answer{{Address: address(9)}}, "new group"},
		"a host that only an answer names":  {three, lost(2, 3, 4), []Answer{answer(8, controlapi.GroupStatus{Replica: 8, Members: []controlapi.GroupMember{{Address: address(9)}}})}, "silent 1"},
		"a voter at another address":        {three, lost(2, 3, 4), []Answer{answer(9, controlapi.GroupStatus{Replica: 3, Member: true, Voter: true})}, "voter answers"},
		"a voter that this log lacks":       {three, lost(2, 3, 4), []Answer{answer(9, controlapi.GroupStatus{Replica: 9, Member: true, Voter: true})}, "voter answers"},
		"a host without a log in its place": {three, lost(2, 3, 4), []Answer{answer(3, controlapi.GroupStatus{Replica: 77})}, "new group"},
		"hosts without logs, disks not lost": {three, lost(4), []Answer{
			answer(2, controlapi.GroupStatus{Replica: 76}), answer(3, controlapi.GroupStatus{Replica: 77}),
		}, "unconfirmed 2"},
		"no answer":                  {three, lost(2, 3, 4), []Answer{{Address: address(2)}, {Address: address(3)}}, "new group"},
		"some host follows a leader": {three, lost(2, 3, 4), []Answer{answer(9, controlapi.GroupStatus{Replica: 9, Leader: address(8)})}, "leader"},
		"a learner that holds less":  {three, lost(2, 3), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 5, Last: 99})}, "new group"},
		"a learner that holds more":  {three, lost(2, 3, 4), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 5, Last: 101})}, "behind"},
		"a learner of a later term":  {three, lost(2, 3, 4), []Answer{answer(4, controlapi.GroupStatus{Replica: 4, Member: true, LastTerm: 6, Last: 80})}, "behind"},
	} {
		if got := outcome(c.disk.Check(c.lost, c.answers)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestNoNewGroupWhileSeedsOutsideAnOldDiskDoNotAnswer(t *testing.T) {
	d := disk(membership(1, 2, 3))
	answers := []Answer{{Address: address(2)}, {Address: address(3)}, {Address: address(4)}, {Address: address(5)}, {Address: address(6)}}
	var silent *SilentError
	if err := d.Check(lost(2, 3), answers); !errors.As(err, &silent) || !slices.Equal(silent.Addresses, lost(4, 5, 6)) {
		t.Errorf("%v, though voters 4, 5 and 6 may be a quorum where this host does not reach them", err)
	}
}

func TestNoNewGroupWhileAHostOutsideAnOldDiskCannotTellItsGroup(t *testing.T) {
	d := disk(membership(1, 2, 3))
	answers := []Answer{{Address: address(2)}, {Address: address(3)}, {Address: address(4), Reached: true}}
	for _, confirmed := range [][]string{lost(2, 3), lost(2, 3, 4)} {
		var untold *NoStatusError
		if err := d.Check(confirmed, answers); !errors.As(err, &untold) || !slices.Equal(untold.Addresses, lost(4)) {
			t.Errorf("%v, though the host at a seed runs and may vote in the group", err)
		}
	}
}

func TestVotersThatAreNotHeardMayHoldMore(t *testing.T) {
	d := disk(membership(1, 2, 3, 4, 5, -6))
	answers := []Answer{
		answer(2, controlapi.GroupStatus{Replica: 2, Member: true, Voter: true}), {Address: address(3)},
		answer(4, controlapi.GroupStatus{Replica: 77}), {Address: address(5), Reached: true},
	}
	if got := d.Unheard(answers); !slices.Equal(got, lost(3, 4, 5)) {
		t.Errorf("%v may hold more, want the voters 3, 4 and 5", got)
	}
}
