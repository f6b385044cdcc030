package history

import (
	"fmt"
	"testing"
)

func TestFindActiveAndEndedCall(t *testing.T) {
	l := NewLog()
	e := l.Begin("r1")
	e.Describe("team", "summaries", "check")
	e.AddAttempt(Attempt{Instance: "w1"})
	e.SetProblem("connection refused")
	e.AddAttempt(Attempt{Instance: "w2"})
	if active := l.Active(); len(active) != 1 || active[0].Team != "team" {
		t.Errorf("active: %+v", active)
	}
	l.End(e, "answered", "")
	if active := l.Active(); len(active) != 0 {
		t.Errorf("still active: %+v", active)
	}
	c, ok := l.Find("r1")
	if !ok || c.State != "answered" || len(c.Attempts) != 2 || c.Attempts[0].Problem != "connection refused" {
		t.Errorf("found %+v, %v", c, ok)
	}
	if _, ok := l.Find("r2"); ok {
		t.Error("found a call that never arrived")
	}
}

func TestHistoryIsBounded(t *testing.T) {
	l := NewLog()
	const calls = 3 * shardCount * RecentPerShard
	for i := range calls {
		l.End(l.Begin(fmt.Sprint("r", i)), "answered", "")
	}
	kept := 0
	for i := range l.shards {
		kept += len(l.shards[i].recent)
	}
	if kept > shardCount*RecentPerShard {
		t.Errorf("%d calls kept, limit %d", kept, shardCount*RecentPerShard)
	}
	if _, ok := l.Find(fmt.Sprint("r", calls-1)); !ok {
		t.Error("the newest call was dropped")
	}
	if _, ok := l.Find("r0"); ok {
		t.Error("the oldest call was kept")
	}
}

func TestNilEntryRecordsNothing(t *testing.T) {
	var e *Entry
	e.Describe("a", "b", "c")
	e.AddAttempt(Attempt{})
	e.SetProblem("x")
}

func BenchmarkCall(b *testing.B) {
	l := NewLog()
	b.ReportAllocs()
	for b.Loop() {
		e := l.Begin("r")
		e.Describe("team", "endpoint", "check")
		e.AddAttempt(Attempt{Instance: "w1"})
		l.End(e, "answered", "")
	}
}
