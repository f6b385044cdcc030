package formation

import (
	"testing"
	"time"

	"filberthook/internal/replication/replica"
)

// sample is what a leader sees of a voter at one check.
type sample struct {
	silent, up time.Duration
	match      uint64
}

// watch returns the health of a voter after a series of checks, 100 ms apart. A change is
// committed before each check.
func watch(samples []sample) Health {
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	var a Availability
	var h Health
	for i, s := range samples {
		h = Health{Member: replica.Member{ID: 2, Zone: "b"}, Match: s.match, Silent: s.silent, Up: s.up, CaughtUp: s.match >= uint64(i)}
		members := []Health{h}
		a.Observe(members, 100*time.Millisecond, policy)
		h = members[0]
	}
	return h
}

// cycle returns the checks of a voter that is up and silent in turn. With restarts its process
// starts anew each time.
func cycle(length, up, down time.Duration, restarts bool) []sample {
	const check = 100 * time.Millisecond
	var out []sample
	for at := time.Duration(0); at < length; at += check {
		s := sample{up: time.Minute + at, match: uint64(at / check)}
		in := at % (up + down)
		if restarts {
			s.up = min(in, up)
		}
		if in > up {
			s.silent = in - up
			s.match = uint64((at - s.silent) / check)
		}
		out = append(out, s)
	}
	return out
}

func refusing(length time.Duration, until int) []sample {
	out := cycle(length, length, 0, false)
	for i := range out {
		out[i].match = min(out[i].match, uint64(until))
	}
	return out
}

func TestStateOfAVoterFollowsWhatItMissed(t *testing.T) {
	ms := time.Millisecond
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	recovered := append(cycle(time.Minute, 150*ms, 700*ms, true), cycle(6*time.Second, 6*time.Second, 0, true)...)
	for i := range recovered {
		recovered[i].match = uint64(i)
	}
	caughtUp := append(refusing(3*time.Second, 5), sample{up: 2 * time.Minute, match: 30})
	tests := []struct {
		name    string
		samples []sample
		want    State
	}{
		{"up", cycle(time.Minute, time.Minute, 0, false), Up},
		{"crashes and comes back for 5 s", cycle(5*time.Second, 150*ms, 700*ms, true), Unsteady},
		{"crashes at once, too soon to be silent", cycle(5*time.Second, 300*ms, 200*ms, true), Unsteady},
		{"silent and back for 5 s, the process goes on", cycle(5*time.Second, 200*ms, 700*ms, false), Unsteady},
		{"crashed once", cycle(4*time.Second, 3*time.Second, 900*ms, true), Up},
		{"crashes each 5 s", cycle(time.Minute, 4*time.Second, 900*ms, true), Up},
		{"a disk that takes 400 ms", cycle(time.Minute, 100*ms, 400*ms, false), Up},
		{"a disk that takes 600 ms at times", cycle(time.Minute, 2*time.Second, 600*ms, false), Up},
		{"has crashed for a minute and is up for 6 s", recovered, Up},
		{"silent", cycle(2700*ms, 1500*ms, 5*time.Second, false), Silent},
		{"a disk that refuses writes", refusing(3*time.Second, 5), Stalled},
		{"a disk that has refused writes and has caught up", caughtUp, Up},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := watch(tt.samples)
			if got := h.State(policy); got != tt.want {
				t.Errorf("%v, want %v: %+v", got, tt.want, h)
			}
		})
	}
}

func TestVoteOfAVoterInTroubleMovesToASteadyLearner(t *testing.T) {
	policy := Policy{Tolerance: Tolerance{Hosts: 1, Zones: 1}, ReplaceAfter: replaceAfter}
	unsteady := func(h Health) Health { h.Missed = 2 * time.Second; return h }
	young := func(h Health) Health { h.Up = 200 * time.Millisecond; return h }
	stalled := func(h Health) Health { h.Stalled, h.CaughtUp = 1100*time.Millisecond, false; return h }
	lost := func(h Health) Health { return silent(h, 1100*time.Millisecond) }
	a, b, c := member(1, "a", false), member(2, "b", false), member(3, "c", false)
	tests := []struct {
		name    string
		members []Health
		want    StepKind
		id      uint64
	}{
		{"a steady learner takes the vote", []Health{a, b, unsteady(c), member(4, "d", true)}, Promote, 4},
		{"then the unsteady voter is demoted", []Health{a, b, unsteady(c), member(4, "d", false)}, Demote, 3},
		{"an unsteady learner takes no vote from an unsteady voter", []Health{a, b, unsteady(c), unsteady(member(4, "d", true))}, NoStep, 0},
		{"a process that has just started takes no vote", []Health{a, b, lost(c), young(member(4, "d", true))}, NoStep, 0},
		{"a steady learner goes before an unsteady one in an empty zone", []Health{a, b, lost(c), unsteady(member(4, "d", true)), member(5, "b", true)}, Promote, 5},
		{"an unsteady learner is better than a voter that is lost", []Health{a, b, lost(c), unsteady(member(4, "d", true))}, Promote, 4},
		{"a voter that stores nothing loses its vote", []Health{a, b, stalled(c), member(4, "d", true)}, Promote, 4},
		{"then it is demoted", []Health{a, b, stalled(c), member(4, "d", false)}, Demote, 3},
		{"a lost voter goes before an unsteady one", []Health{a, unsteady(b), lost(c), member(4, "d", false)}, Demote, 3},
		{"a learner that stores nothing takes no vote", []Health{a, b, lost(c), stalled(member(4, "d", true))}, NoStep, 0},
		{"an unsteady host does not relieve a crowded zone", []Health{a, member(2, "a", false), c, unsteady(member(4, "b", true))}, NoStep, 0},
		{"a steady one does", []Health{a, member(2, "a", false), c, member(4, "b", true)}, Promote, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := NextStep(tt.members, 1, policy)
			if got.Kind != tt.want || got.ID != tt.id {
				t.Errorf("step %v of %d (%s), want %v of %d", got.Kind, got.ID, got.Reason, tt.want, tt.id)
			}
		})
	}
}
