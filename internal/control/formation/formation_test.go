package formation

import (
	"testing"
	"time"

	"filberthook/internal/replication/replica"
)

const replaceAfter = 4 * time.Second

func member(id uint64, zone string, learner bool) Health {
	return Health{Member: replica.Member{ID: id, Zone: zone, Learner: learner}, Active: true, CaughtUp: true}
}

func inactive(h Health, d time.Duration) Health {
	h.Active, h.CaughtUp, h.InactiveFor = false, false, d
	return h
}

func TestFoundersAreTheSameOnEveryHost(t *testing.T) {
	orders := [][]string{
		{"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
		{"10.3.0.1:80", "10.1.0.1:80", "10.2.0.1:80"},
		{"10.2.0.1:80", "10.2.0.1:80", "10.3.0.1:80", "10.1.0.1:80"},
	}
	first := Founders(orders[0], 7000)
	if len(first) != 3 || first[0].Address[len(first[0].Address)-5:] != ":7000" {
		t.Fatalf("founders %+v", first)
	}
	for _, seeds := range orders[1:] {
		got := Founders(seeds, 7000)
		if len(got) != len(first) {
			t.Fatalf("founders %+v of %v", got, seeds)
		}
		for i := range got {
			if got[i] != first[i] {
				t.Errorf("founder %+v of %v, want %+v", got[i], seeds, first[i])
			}
		}
	}
}

func TestNextStep(t *testing.T) {
	one := Tolerance{Hosts: 1, Zones: 1}
	two := Tolerance{Hosts: 2, Zones: 1}
	three := []Health{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	with := func(list []Health, more ...Health) []Health { return append(append([]Health{}, list...), more...) }
	tests := []struct {
		name      string
		members   []Health
		tolerance Tolerance
		want      StepKind
		id        uint64
	}{
		{"three voters and a learner are enough for one loss", with(three, member(4, "d", true)), one, NoStep, 0},
		{"five voters for two losses", with(three, member(4, "d", true), member(5, "a", true)), two, Promote, 4},
		{"a learner that is behind waits", with(three, inactive(member(4, "d", true), 0), Health{Member: replica.Member{ID: 5, Learner: true}, Active: true}), two, NoStep, 0},
		{"a short absence changes nothing", with([]Health{three[0], three[1], inactive(three[2], 3*time.Second)}, member(4, "d", true)), one, NoStep, 0},
		{"a learner is promoted for a voter that is gone", with([]Health{three[0], three[1], inactive(three[2], 5*time.Second)}, member(4, "d", true)), one, Promote, 4},
		{"then the voter is removed", with([]Health{three[0], three[1], inactive(three[2], 5*time.Second)}, member(4, "d", false)), one, Remove, 3},
		{"without a learner the voter stays", []Health{three[0], three[1], inactive(three[2], time.Minute)}, one, NoStep, 0},
		{"the leader is never removed", []Health{inactive(three[0], time.Minute), three[1], three[2], member(4, "d", false)}, one, NoStep, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := NextStep(tt.members, 1, tt.tolerance, replaceAfter)
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
			step := NextStep(members, 1, Tolerance{Hosts: tt.losses, Zones: 1}, replaceAfter)
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
