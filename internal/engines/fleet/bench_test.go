package fleet

import (
	"fmt"
	"testing"

	"filberthook/internal/engines/engineapi"
)

// largeFleet returns a configuration of 600 engines, 300 teams and 60 endpoints that
// approve 50 teams each.
func largeFleet(b *testing.B) *Fleet {
	b.Helper()
	f := New()
	send := func(id string, changes ...Change) {
		r := f.Apply(Command{ChangeID: id, ExpectedRevision: f.Revision(), Actor: admin, Changes: changes})
		if r.Err != nil {
			b.Fatal(r.Err)
		}
	}
	for i := range 300 {
		send(fmt.Sprint("team", i), createTeam(fmt.Sprint("t", i)))
	}
	for i := range 60 {
		name := fmt.Sprint("e", i)
		send(name, createEndpoint(name, "o"))
		for j := range 50 {
			send(fmt.Sprint(name, "-", j), approve(name, fmt.Sprint("t", j)))
		}
	}
	models := []engineapi.Model{{Name: "assist-7b", Version: "1", Adapters: []string{"rail"}}}
	for i := range 600 {
		engine := fmt.Sprint("w", i)
		send(engine, Change{SetDeclaration: &SetDeclaration{Engine: engine, Models: models}})
	}
	return f
}

// BenchmarkApply withdraws and approves one team in a large configuration.
func BenchmarkApply(b *testing.B) {
	f := largeFleet(b)
	changes := []Change{withdraw("e1", "t1"), approve("e1", "t1")}
	n := 0
	for b.Loop() {
		r := f.Apply(Command{ChangeID: fmt.Sprint("b", n), ExpectedRevision: f.Revision(), Actor: admin, Changes: changes[n%2 : n%2+1]})
		if r.Err != nil {
			b.Fatal(r.Err)
		}
		n++
	}
}

// BenchmarkSnapshotWith applies one delta at an entry host.
func BenchmarkSnapshotWith(b *testing.B) {
	f := largeFleet(b)
	view := NewSnapshot(f.Configuration())
	r := f.Apply(Command{ChangeID: "b", ExpectedRevision: f.Revision(), Actor: admin, Changes: []Change{withdraw("e1", "t1")}})
	for b.Loop() {
		view.With(*r.Delta)
	}
}

// BenchmarkEncode encodes the whole state for a snapshot of the log.
func BenchmarkEncode(b *testing.B) {
	f := largeFleet(b)
	for b.Loop() {
		data, err := f.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "state-bytes")
	}
}
