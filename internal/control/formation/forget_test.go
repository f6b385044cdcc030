package formation

import (
	"fmt"
	"testing"
	"time"

	"filberthook/internal/replication/replica"
)

func TestHostsThatAreGoneAreForgottenWhileLeadersAreReplaced(t *testing.T) {
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	const hosts, replacements = 4, 60
	members := []Health{member(1, "z1", false), member(2, "z2", false), member(3, "z3", false), member(4, "z0", true)}
	for n := uint64(1); n <= replacements; n++ {
		gone := n // the hosts are replaced in the order of their starts, the leader among them
		members = append(members, Health{Member: replica.Member{ID: n + hosts, Zone: fmt.Sprint("z", (n+hosts)%hosts), Learner: true}, CaughtUp: true})
		leader := uint64(0)
		for i := range members {
			m := &members[i]
			m.Silent = 0 // the next leader counts from its election
			if m.ID <= gone {
				m.Silent, m.CaughtUp = policy.VoteTimeout(), false
			} else if !m.Learner && leader == 0 {
				leader = m.ID
			}
		}
		for range 8 {
			step := NextStep(members, leader, policy)
			if step.Kind == NoStep {
				break
			}
			members = applied(members, step)
		}
		if most := hosts + 1 + maxSilentLearners; len(members) > most {
			t.Fatalf("%d members after %d replacements, at most %d wanted", len(members), n, most)
		}
		voters := 0
		for _, m := range members {
			if !m.Learner && m.ID <= gone {
				t.Fatalf("member %d is gone and votes after replacement %d", m.ID, n)
			}
			if !m.Learner {
				voters++
			}
		}
		if voters != 3 {
			t.Fatalf("%d voters after replacement %d", voters, n)
		}
	}
}

// applied returns the members after a step.
func applied(members []Health, step Step) []Health {
	var out []Health
	for _, m := range members {
		if m.ID == step.ID {
			if step.Kind == Remove {
				continue
			}
			m.Learner = step.Kind == Demote
		}
		out = append(out, m)
	}
	return out
}

func TestFewSilentLearnersAreKeptForTheirReturn(t *testing.T) {
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	members := []Health{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	for n := range uint64(maxSilentLearners) {
		members = append(members, silent(member(10+n, "a", true), policy.forgetAfter()-time.Second))
	}
	if step := NextStep(members, 1, policy); step.Kind != NoStep {
		t.Errorf("%v of member %d: %s", step.Kind, step.ID, step.Reason)
	}
}
