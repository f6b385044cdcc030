package controlhost

import (
	"testing"

	"filberthook/internal/control/formation"
	"filberthook/internal/replication/replica"
)

func TestNewLeaderMovesNoVoteToALearnerThatHasNotAnsweredIt(t *testing.T) {
	t.Parallel()
	policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: 4e9}
	k := voteKeeper{policy: policy}
	member := func(id uint64, zone string, learner bool, match uint64) replica.MemberStatus {
		return replica.MemberStatus{Member: replica.Member{ID: id, Zone: zone, Learner: learner}, Match: match}
	}
	status := replica.Status{ID: 1, Role: replica.RoleLeader, Commit: 70, Members: []replica.MemberStatus{
		member(1, "a", false, 70), member(2, "b", false, 70), member(3, "c", false, 70), member(4, "d", true, 0),
	}}
	leaving := map[uint64]bool{3: true}
	if step := formation.NextStep(k.health(status, leaving), 1, policy); step.Kind != formation.NoStep {
		t.Errorf("%v of member %d, which may be gone", step.Kind, step.ID)
	}
	status.Members[3].Match = 70
	if step := formation.NextStep(k.health(status, leaving), 1, policy); step.Kind != formation.Promote || step.ID != 4 {
		t.Errorf("%v of member %d once the learner has answered", step.Kind, step.ID)
	}
}
