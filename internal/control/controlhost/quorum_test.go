package controlhost

import (
	"testing"
	"time"
)

func TestLostQuorumIsReportedOnceAndItsReturnOnce(t *testing.T) {
	var watch quorumWatch
	begin := time.Unix(1_800_000_000, 0)
	events := map[quorumEvent][]time.Duration{}
	for at := time.Duration(0); at < 20*time.Second; at += quorumInterval {
		shortElection := at >= time.Second && at < time.Second+quorumLostAfter/2
		lost := at >= 5*time.Second && at < 12*time.Second
		if event, without := watch.observe(!shortElection && !lost, begin.Add(at)); event != quorumUnchanged {
			events[event] = append(events[event], without)
		}
	}
	if got := events[quorumLost]; len(got) != 1 || got[0] < quorumLostAfter || got[0] > quorumLostAfter+quorumInterval {
		t.Errorf("losses reported after %v, want one after %v", got, quorumLostAfter)
	}
	if got := events[quorumRegained]; len(got) != 1 || got[0] < 7*time.Second {
		t.Errorf("returns reported after %v, want one after 7 s", got)
	}
}
