package formation

import (
	"testing"
	"time"

	"filberthook/internal/replication/replica"
)

const replaceAfter = 4 * time.Second

func member(id uint64, zone string, learner bool) Health {
	return Health{Member: replica.Member{ID: id, Zone: zone, Learner: learner}, CaughtUp: true}
}

func silent(h Health, d time.Duration) Health {
	h.CaughtUp, h.Silent = false, d
	return h
}

func leaving(h Health) Health {
	h.Leaving = true
	return h
}

func TestNextStep(t *testing.T) {
	one := Tolerance{Hosts: 1, Zones: 1}
	two := Tolerance{Hosts: 2, Zones: 1}
	three := []Health{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	with := func(list []Health, more ...Health) []Health { return append(append([]Health{}, list...), more...) }
	lost, brief := 1100*time.Millisecond, 900*time.Millisecond
	seven := []Health{member(1, "a", false), member(2, "b", false), member(3, "c", false), member(4, "d", false),
		member(5, "a", false), member(6, "b", false), member(7, "c", false)}
	tests := []struct {
		name      string
		members   []Health
		tolerance Tolerance
		want      StepKind
		id        uint64
	}{
		{"three voters and a learner are enough for one loss", with(three, member(4, "d", true)), one, NoStep, 0},
		{"five voters for two losses", with(three, member(4, "d", true), member(5, "a", true)), two, Promote, 4},
		{"a learner that is behind waits", with(three, silent(member(4, "d", true), 0), Health{Member: replica.Member{ID: 5, Learner: true}}), two, NoStep, 0},
		{"a short silence changes nothing", with([]Health{three[0], three[1], silent(three[2], brief)}, member(4, "d", true)), one, NoStep, 0},
		{"a learner is promoted for a voter that is silent", with([]Health{three[0], three[1], silent(three[2], lost)}, member(4, "d", true)), one, Promote, 4},
		{"then the voter is demoted", with([]Health{three[0], three[1], silent(three[2], lost)}, member(4, "d", false)), one, Demote, 3},
		{"a former voter that is back stays a learner", with([]Health{three[0], three[1], member(4, "d", false)}, member(3, "c", true)), one, NoStep, 0},
		{"a voter that leaves is replaced at once", with([]Health{three[0], three[1], leaving(three[2])}, member(4, "d", true)), one, Promote, 4},
		{"then it is demoted", with([]Health{three[0], three[1], leaving(three[2])}, member(4, "d", false)), one, Demote, 3},
		{"a learner that leaves takes no vote", with([]Health{three[0], three[1], silent(three[2], lost)}, leaving(member(4, "d", true))), one, NoStep, 0},
		{"the silent one goes before the one that leaves", with([]Health{three[0], leaving(three[1]), silent(three[2], lost)}, member(4, "d", false)), one, Demote, 3},
		{"without a learner the voter stays", []Health{three[0], three[1], silent(three[2], time.Minute)}, one, NoStep, 0},
		{"without a learner a voter that leaves stays", []Health{three[0], three[1], leaving(three[2])}, one, NoStep, 0},
		{"the leader keeps its vote", []Health{silent(three[0], time.Minute), three[1], three[2], member(4, "d", false)}, one, NoStep, 0},
		{"of seven voters the silent one is demoted before the learner is promoted", with(seven[:6], silent(seven[6], lost), member(8, "d", true)), Tolerance{Hosts: 3}, Demote, 7},
		{"a learner that is silent for good is removed", with(three, silent(member(4, "d", true), 5*replaceAfter)), one, Remove, 4},
		{"a learner that is silent for long stays", with(three, silent(member(4, "d", true), 5*replaceAfter-time.Second)), one, NoStep, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := NextStep(tt.members, 1, Policy{Tolerance: tt.tolerance, ReplaceAfter: replaceAfter})
			if got.Kind != tt.want || got.ID != tt.id {
				t.Errorf("step %v of %d, want %v of %d", got.Kind, got.ID, tt.want, tt.id)
			}
		})
	}
}

// Applying steps until none is left gives the number of voters that the tolerance
// requires, and no zone has more voters than may be lost.
func TestVotersSpreadEvenlyOverZones(t *testing.T) {
	tests := []struct {
		hosts, zones, losses, want int
	}{
		{3, 3, 1, 3}, {4, 4, 1, 3}, {5, 5, 2, 5}, {7, 4, 2, 5}, {8, 4, 2, 5}, {8, 4, 3, 7}, {1, 1, 0, 1},
	}
	for _, tt := range tests {
		var members []Health
		for i := range tt.hosts {
			zone := string(rune('a' + i%tt.zones))
			members = append(members, member(uint64(i+1), zone, i >= 3))
		}
		for range 20 {
			step := NextStep(members, 1, Policy{Tolerance: Tolerance{Hosts: tt.losses, Zones: 1}, ReplaceAfter: replaceAfter})
			if step.Kind == NoStep {
				break
			}
			for i := range members {
				if members[i].ID == step.ID {
					members[i].Learner = false
				}
			}
		}
		voters, inZone := 0, map[string]int{}
		for _, m := range members {
			if !m.Learner {
				voters++
				inZone[m.Zone]++
			}
		}
		if voters != tt.want {
			t.Errorf("%+v: %d voters", tt, voters)
		}
		for zone, n := range inZone {
			if n > max(1, tt.losses) {
				t.Errorf("%+v: %d voters in zone %s", tt, n, zone)
			}
		}
	}
}

// Founders are given, and hosts come back to a zone after their votes have moved.
func TestZoneWhoseLossWouldCostTheQuorumLosesAVote(t *testing.T) {
	tests := []struct {
		name      string
		voters    []string // zones
		learners  []string // zones
		tolerance Tolerance
		zones     int // voters in the fullest zone afterwards
	}{
		{"two of three founders in a zone", []string{"a", "a", "b"}, []string{"c", "d"}, Tolerance{Hosts: 1, Zones: 1}, 1},
		{"three of five voters in a zone", []string{"a", "a", "a", "b", "c"}, []string{"b"}, Tolerance{Hosts: 2, Zones: 1}, 2},
		{"four of seven voters in a zone", []string{"a", "a", "a", "a", "b", "c", "c"}, []string{"b"}, Tolerance{Hosts: 3, Zones: 1}, 3},
		{"no host elsewhere", []string{"a", "a", "b"}, []string{"a", "b"}, Tolerance{Hosts: 1, Zones: 1}, 2},
		{"no zone is to be borne", []string{"a", "a", "b"}, []string{"c"}, Tolerance{Hosts: 1}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var members []Health
			for i, zone := range append(append([]string{}, tt.voters...), tt.learners...) {
				members = append(members, member(uint64(i+1), zone, i >= len(tt.voters)))
			}
			steps := 0
			for ; steps < 20; steps++ {
				step := NextStep(members, 1, Policy{Tolerance: tt.tolerance, ReplaceAfter: replaceAfter})
				if step.Kind == NoStep {
					break
				}
				for i := range members {
					if members[i].ID == step.ID {
						members[i].Learner = step.Kind == Demote
					}
				}
			}
			voters, inZone, fullest := 0, map[string]int{}, 0
			for _, m := range members {
				if !m.Learner {
					voters++
					inZone[m.Zone]++
					fullest = max(fullest, inZone[m.Zone])
				}
			}
			if voters != len(tt.voters) || fullest != tt.zones || steps == 20 {
				t.Errorf("%d voters %v after %d steps, want %d with at most %d in a zone", voters, inZone, steps, len(tt.voters), tt.zones)
			}
		})
	}
}

func TestEndIsNotSettledWhileALearnerThatIsBehindCanTakeTheVote(t *testing.T) {
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	ends := leaving(member(2, "b", false))
	tests := []struct {
		name    string
		members []Health
		want    bool
	}{
		{"a learner that is behind", []Health{ends, silent(member(4, "d", true), 0)}, false},
		{"a learner that is silent for a moment", []Health{ends, silent(member(4, "d", true), replaceAfter-time.Millisecond)}, false},
		{"a learner that is silent for good", []Health{ends, silent(member(4, "d", true), replaceAfter)}, true},
		{"a learner that leaves too", []Health{ends, leaving(member(4, "d", true))}, true},
		{"no learner", []Health{ends}, true},
		{"its vote has moved", []Health{leaving(member(2, "b", true)), member(4, "d", false)}, true},
	}
	for _, tt := range tests {
		if got := Settled(2, append([]Health{member(1, "a", false)}, tt.members...), policy); got != tt.want {
			t.Errorf("%s: settled %v", tt.name, got)
		}
	}
}
