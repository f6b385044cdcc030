package consensus_test

import (
	"testing"

	"filberthook/internal/replication/consensus"
)

// seededFaults lists the defects that the checks must catch, each with the first seed to
// try or the script that exposes it.
var seededFaults = []struct {
	name      string
	settings  settings
	firstSeed uint64
	voters    int // of the script
	script    scenario
}{
	{name: "vote twice in a term", settings: settings{fault: consensus.FaultVoteTwice}},
	{name: "forget the vote over a restart", settings: settings{fault: consensus.FaultForgetVote}, firstSeed: 120},
	{name: "vote for a candidate with an older log", settings: settings{fault: consensus.FaultVoteStaleLog}},
	{name: "commit an old term's entry by count", settings: settings{fault: consensus.FaultCommitOldTerm}, voters: 5, script: oldTermOnMajority},
	{name: "accept an append of an old leader", settings: settings{fault: consensus.FaultAcceptStaleAppend}, voters: 3, script: delayedAppend},
	{name: "append without comparing the previous entry", settings: settings{fault: consensus.FaultSkipLogCheck}, firstSeed: 100},
	{name: "apply before commit", settings: settings{fault: consensus.FaultApplyUncommitted}},
	{name: "read without a quorum", settings: settings{fault: consensus.FaultReadWithoutQuorum}, voters: 3, script: readAtOldLeader},
	{name: "count the vote of an empty disk", settings: settings{fault: consensus.FaultIgnoreIncarnation}},
	{name: "take votes given to a lost disk", settings: settings{fault: consensus.FaultIgnoreIncarnation}, voters: 3, script: votesForLostDisk},
	{name: "promote a learner that lags", settings: settings{fault: consensus.FaultPromoteEarly}},
	{name: "two membership changes at once", settings: settings{fault: consensus.FaultOverlappingChanges}, firstSeed: 160},
	{name: "change members before a commit in the term", settings: settings{fault: consensus.FaultChangeBeforeCommit}, voters: 5, script: changeBeforeCommit},
	{name: "skip the sync of files", settings: settings{ignoreSync: true}},
	{name: "send before the state is durable", settings: settings{sendBeforeSave: true}},
}

// maxFaultSeeds bounds the schedules searched for one defect.
const maxFaultSeeds = 300

// TestSeededFaultsAreCaught shows that the checks can fail: with each defect switched
// on, some schedule violates a safety property and the checks report it.
func TestSeededFaultsAreCaught(t *testing.T) {
	covered := map[consensus.Fault]bool{consensus.FaultNone: true}
	for _, f := range seededFaults {
		covered[f.settings.fault] = true
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			if f.script != nil {
				s := newFaultFreeSim(f.voters, f.settings.fault)
				err := s.guard(func() { f.script(s) })
				if err == nil {
					t.Fatal("not caught by its script")
				}
				t.Logf("caught by its script: %v", err)
				return
			}
			for seed := f.firstSeed; seed < f.firstSeed+maxFaultSeeds; seed++ {
				o := f.settings
				o.seed, o.ticks = seed, runTicks
				if _, err := run(o); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not caught in %d schedules", maxFaultSeeds)
		})
	}
	for f := consensus.FaultNone; f < consensus.FaultEnd; f++ {
		if !covered[f] {
			t.Errorf("fault %s is not shown to be caught", f)
		}
	}
}
