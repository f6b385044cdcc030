package quarantine

import "testing"

func TestNextLeaderGrantsNoProbeWhileOneOfTheLeaderBeforeMayBeUnderWay(t *testing.T) {
	first, next := NewGrants(), NewGrants()
	ask := Probe{Suspect: "bad", AfterMS: 10_000}
	first.Lead(3, start)
	if !first.Ask(ask, 3, after(60_000)) {
		t.Fatal("the first leader grants no probe")
	}
	next.Lead(4, after(60_500))
	if next.Ask(ask, 4, after(60_500)) || next.Ask(ask, 4, after(70_400)) {
		t.Error("two hosts were granted a probe within 10 s")
	}
	if !next.Ask(ask, 4, after(70_500)) {
		t.Error("no probe is granted 10 s after the change of leader")
	}
	if first.Ask(ask, 5, after(80_000)) {
		t.Error("a leader that comes back grants a probe at once")
	}
}
