package quarantine

import (
	"testing"
	"time"
)

func TestSecondTryWaitsForWordThatTheBlocksAreSound(t *testing.T) {
	l := newLedger()
	in := Instance{ID: "i", Born: 1}
	lose := func(blocks ...Suspect) *Request {
		r := l.Request(blocks)
		l.Lost(r, in, "a", after(0))
		l.Ended(r, in, after(1))
		return r
	}
	unknown, other := lose("first", "unknown"), lose("first", "other")
	if d := l.Admit(unknown, after(10)); d.Answer != Wait {
		t.Errorf("right after the end: %+v, want to wait", d)
	}
	l.Learn(Report{Begins: []BeginReport{{"first", 1000}, {"other", 20_000}}}, after(300))
	if d := l.Admit(other, after(310)); d.Answer != Pass {
		t.Errorf("another host has seen its blocks begin lately: %+v, want to pass", d)
	}
	if d := l.Admit(unknown, after(610)); d.Answer != Refuse || d.Quarantined {
		t.Errorf("without word: %+v, want no second try", d)
	}
}

func TestOneRequestAtATimeTestsASuspectBlock(t *testing.T) {
	l := newLedger()
	endWith(l, 1, after(0), "suspect")
	first, second := l.Request([]Suspect{"suspect"}), l.Request([]Suspect{"suspect", "x"})
	if d := l.Admit(first, after(1100)); d.Answer != Contain || d.Suspect != "suspect" {
		t.Fatalf("the first request: %+v", d)
	}
	if d := l.Admit(second, after(1110)); d.Answer != Wait {
		t.Errorf("a second request at the same time: %+v", d)
	}
	l.Begun(first, after(1200))
	if d := l.Admit(second, after(1210)); d.Answer != Pass {
		t.Errorf("after the first has begun: %+v", d)
	}
}

func TestTestsOfASuspectBlockLeaveTimeToServeOthers(t *testing.T) {
	l := newLedger()
	for n, space := range []time.Duration{firstTestSpace, 2 * firstTestSpace} {
		ended := after(10_000 * n)
		endWith(l, n, ended, "suspect")
		if d := l.Admit(l.Request([]Suspect{"suspect"}), ended.Add(space/2)); d.Answer != Refuse || d.RetryAfter != space-space/2 {
			t.Errorf("half of %v after end %d: %+v", space, n+1, d)
		}
		if d := l.Admit(l.Request([]Suspect{"suspect"}), ended.Add(space)); d.Answer != Contain {
			t.Errorf("%v after end %d: %+v", space, n+1, d)
		}
		for _, r := range l.testing {
			l.Done(r)
		}
	}
}

func TestRequestThatEndsWithoutAResultLetsTheNextOneTest(t *testing.T) {
	l := newLedger()
	endWith(l, 1, after(0), "suspect")
	first := l.Request([]Suspect{"suspect"})
	l.Admit(first, after(1100))
	l.Done(first)
	if d := l.Admit(l.Request([]Suspect{"suspect"}), after(1110)); d.Answer != Contain {
		t.Errorf("the next request: %+v", d)
	}
}

// quarantined returns a Ledger with one block in quarantine since after(400).

func TestTestOfASuspectBlockIsNotRepeatedWhereNobodyKnowsWhetherItsInstanceEnded(t *testing.T) {
	l := newLedger()
	endWith(l, 1, after(0), "bad")
	test := l.Request([]Suspect{"bad"})
	if d := l.Admit(test, after(1500)); d.Answer != Contain {
		t.Fatalf("answer %v, want a test", d.Answer)
	}
	l.Lost(test, Instance{"b", 1}, "b", after(1600))
	l.Unexplained(test, after(1900))
	if d := l.Admit(test, after(1900)); d.Answer != Wait {
		t.Errorf("answer %v, want to wait for word of the block", d.Answer)
	}
	if d := l.Admit(test, after(2600)); d.Answer != Refuse {
		t.Errorf("answer %v without word, want a refusal", d.Answer)
	}
	sound := l.Request([]Suspect{"sound"})
	l.Lost(sound, Instance{"c", 1}, "c", after(0))
	l.Unexplained(sound, after(300))
	if d := l.Admit(sound, after(300)); d.Answer != Pass {
		t.Errorf("answer %v for a request without a suspect block, want a second try", d.Answer)
	}
}

func TestWaitingRequestIsWithdrawnWhenItsBlockComesIntoQuarantineAndNoOther(t *testing.T) {
	l := newLedger()
	withdrawn := make(chan string, 10)
	sent := func(name string, blocks ...Suspect) (*Request, func()) {
		r := l.Request(blocks)
		return r, l.Sent(r, func() { withdrawn <- name })
	}
	sent("waiting", "first", "bad")
	sent("sound", "first", "sound")
	_, over := sent("over", "first", "bad")
	over()
	probe := l.Request([]Suspect{"bad"})
	probe.probe = "bad"
	l.Sent(probe, func() { withdrawn <- "probe" })
	l.Hold("bad", after(0))
	if got := <-withdrawn; got != "waiting" {
		t.Errorf("%s was withdrawn", got)
	}
	sent("admitted at the same moment", "first", "bad")
	if got := <-withdrawn; got != "admitted at the same moment" {
		t.Errorf("%s was withdrawn", got)
	}
	if len(withdrawn) > 0 || len(l.waiting) != 2 {
		t.Errorf("further requests were withdrawn, %d still wait, want 2", len(l.waiting))
	}
}

func TestSecondTryOfARequestWaitsForWordAsLongAsHostsMayNeed(t *testing.T) {
	for hosts, wait := range map[int]time.Duration{0: SecondTryWait, 8: fewHostsWait, 294: SecondTryWait} {
		l := newLedger()
		l.SetHosts(hosts)
		r := l.Request([]Suspect{Identity{Endpoint: "e", Target: "/x"}.Suspect()})
		in := Instance{ID: "i", Born: 1}
		l.Lost(r, in, "a", start)
		l.Ended(r, in, start)
		if got := l.Admit(r, start.Add(wait-time.Millisecond)).Answer; got != Wait {
			t.Errorf("%d hosts: answer %d before %v, want Wait", hosts, got, wait)
		}
		if got := l.Admit(r, start.Add(wait)).Answer; got != Contain {
			t.Errorf("%d hosts: answer %d after %v, want Contain", hosts, got, wait)
		}
	}
}
