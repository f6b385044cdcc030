package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func admits(l *Ledger, now time.Time, blocks ...Suspect) bool {
	return l.Admit(l.Request(blocks), now).Answer == Pass
}

func TestHeldBlockIsRefusedByAllHostsUntilAnOperatorReleasesIt(t *testing.T) {
	control, first, second := NewRelay(), newLedger(), newLedger()
	control.Hold("bad", after(0))
	first.Learn(control.Report(after(10)), after(15))
	second.Learn(first.Report(after(20)), after(25)) // while the control hosts restart
	begin(first, after(100), "bad")
	for _, l := range []*Ledger{first, second} {
		if admits(l, after(200), "bad") || !admits(l, after(200), "sound") {
			t.Error("a host does not hold the block, or not only that")
		}
		if due := l.DueProbes(after(60_000)); len(due) > 0 {
			t.Errorf("probes %v of a block that an operator holds", due)
		}
	}
	restarted := NewRelay()
	restarted.Learn(second.Report(after(300)), after(310))
	restarted.Release("bad", after(400))
	for _, l := range []*Ledger{first, second} {
		l.Learn(restarted.Report(after(410)), after(420))
		if !admits(l, after(430), "bad") {
			t.Error("a host still refuses the block")
		}
	}
	first.Learn(control.Report(after(500)), after(510)) // from a control host that was cut off
	if !admits(first, after(520), "bad") {
		t.Error("an older word counts again")
	}
}

func TestReleasedBlockIsBlamedByLaterEndsOnly(t *testing.T) {
	l := newLedger()
	for n := range endsToBlame {
		endWith(l, n, after(1000*n), "bad")
	}
	if admits(l, after(4000), "bad") {
		t.Fatal("the block is not in quarantine")
	}
	l.Release("bad", after(5000))
	if !admits(l, after(5010), "bad") {
		t.Error("the released block is refused")
	}
	for n := range endsToBlame + 2 {
		for i := range othersBegun {
			begin(l, after(6001+1000*n+i), "sound")
		}
		endWith(l, 10+n, after(6000+1000*n), "bad")
	}
	if admits(l, after(12_000), "bad") {
		t.Error("a block that was released by mistake is never blamed again")
	}
}

func TestWordsOfOperatorsAreBounded(t *testing.T) {
	l := newLedger()
	for n := range maxVerdicts {
		if !l.Hold(Suspect(fmt.Sprint(n)), after(n)) {
			t.Fatalf("block %d was not taken", n)
		}
	}
	if l.Hold("one more", after(maxVerdicts)) || len(l.Verdicts()) != maxVerdicts {
		t.Error("more blocks are held than there is room for")
	}
	if !l.Release("1", after(1000)) {
		t.Error("a block cannot be released while there is no room for more")
	}
}

func TestEntriesNameTheEndsThatBlamedABlock(t *testing.T) {
	l := newLedger()
	for n := range endsToBlame {
		endWith(l, n, after(1000*n), "first", "bad")
		begin(l, after(1000*n+10), "first")
	}
	list := l.Entries(after(3000))
	if len(list) != 1 || list[0].Suspect != "bad" || list[0].ByOperator || list[0].Ends != endsToBlame || len(list[0].Instances) != endsToBlame {
		t.Fatalf("entries %+v", list)
	}
	if e := list[0].Instances[0]; e.Instance != "i-0" || e.AgeMS != 3000 || e.Suspects != 2 {
		t.Errorf("oldest end %+v", e)
	}
}
