package formation_test

import (
	"fmt"
	"testing"
	"time"

	"filberthook/internal/control/formation"
)

// A zone is lost and comes back, then another one is lost: votes that moved out of the
// first must not leave the second with a majority of them.
func TestQuorumSurvivesTheLossOfOneZoneAfterAnother(t *testing.T) {
	for _, l := range []layout{{4, 4, 1}, {6, 3, 1}, {6, 3, 2}, {8, 4, 2}, {9, 3, 2}} {
		t.Run(fmt.Sprintf("%d hosts in %d zones, %d lost", l.size, l.zones, l.tolerated), func(t *testing.T) {
			failed := 0
			for seed := range uint64(20) {
				o := newOverlap(seed, l)
				o.run(5 * time.Second)
				for round := range 3 * l.zones {
					zone := fmt.Sprint("z", round%l.zones)
					for _, h := range o.up() {
						if h.zone == zone {
							o.group[h] = 1
						}
					}
					for end := o.now + ticks(contact+ackWindow); o.now < end && o.failure == nil; o.observe() {
						o.run(tick)
					}
					if o.failure == nil && o.now-o.grewAt > ticks(ackWindow) {
						o.fail("zone %s is cut off and the others have committed nothing for %v", zone, time.Duration(o.now-o.grewAt)*tick)
					}
					clear(o.group)
					o.run(catchUp)
				}
				if o.failure != nil {
					if failed == 0 {
						t.Logf("seed %d: %v", seed, o.failure)
					}
					failed++
				}
			}
			if failed > 0 {
				t.Errorf("no quorum while one zone was lost in %d of 20 schedules", failed)
			}
		})
	}
}

func TestSilenceOfALostLeaderCountsFromItsLastMessage(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(seed, 4, 4, formation.Policy{Tolerance: formation.Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: catchUp})
		m.run(3 * time.Second)
		lost, at := m.leader(), m.now
		m.kill(lost)
		for m.leader() == nil && m.now < at+ticks(5*time.Second) {
			m.run(tick)
		}
		if m.leader() == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		for _, s := range m.leader().core.Status().Members {
			if s.ID == lost.id && s.SilentTicks < m.now-at-1 {
				t.Errorf("seed %d: silent for %d ticks, %d after its end", seed, s.SilentTicks, m.now-at)
			}
		}
	}
}

// More learners than zones, listed so that the first ones are in a zone that has a voter.
func TestLearnersOfZonesWithoutVotersTakeVotesFirst(t *testing.T) {
	policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: 2, Zones: 1}, ReplaceAfter: catchUp}
	member := func(id uint64, zone string, learner bool) formation.Health {
		h := formation.Health{CaughtUp: true}
		h.ID, h.Zone, h.Learner = id, zone, learner
		return h
	}
	members := []formation.Health{
		member(1, "a", false), member(2, "b", false), member(3, "c", false),
		member(4, "a", true), member(5, "b", true), member(6, "d", true),
	}
	if step := formation.NextStep(members, 1, policy); step.Kind != formation.Promote || step.ID != 6 {
		t.Errorf("step %v of %d, want the promotion of 6", step.Kind, step.ID)
	}
}
