package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// crowded returns a Ledger that remembers many sound blocks and knows many ends.
func crowded(blocks, ends int) *Ledger {
	l := newLedger()
	for n := range blocks {
		begin(l, after(n/10), Suspect(fmt.Sprint("m/", n)))
	}
	for n := range ends {
		endWith(l, n, after(blocks/10+n), Suspect(fmt.Sprint("m/first", n%8)), Suspect(fmt.Sprint("m/s", n)), Suspect(fmt.Sprint("m/t", n)))
	}
	return l
}

func BenchmarkRequest(b *testing.B) {
	for _, ends := range []int{0, maxEnds} {
		b.Run(fmt.Sprint(ends, " ends"), func(b *testing.B) {
			l := crowded(100_000, ends)
			now := after(20_000)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r := l.Request([]Suspect{"m/7", Suspect(fmt.Sprint("m/", n%100_000))})
				l.Admit(r, now)
				l.Begun(r, now)
				l.Done(r)
			}
		})
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, ends := range []int{0, 10, maxEnds} {
		b.Run(fmt.Sprint(ends, " ends"), func(b *testing.B) {
			l, relay := crowded(100_000, ends), NewRelay()
			now := after(10_000).Add(time.Second)
			size := 0
			for b.Loop() {
				report := l.Report(now)
				text, err := json.Marshal(report)
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
				relay.Learn(report, now)
				l.Learn(relay.Report(now), now)
			}
			b.ReportMetric(float64(size), "bytes/report")
		})
	}
}

func BenchmarkRequestThatComesOnce(b *testing.B) {
	l := newLedger()
	body := make([]byte, 1024)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		binary.LittleEndian.PutUint64(body, uint64(n))
		r := l.Request([]Suspect{Identity{Endpoint: "saksverk", Method: "POST", Host: "a.example", Target: "/x/1", Body: body}.Suspect()})
		now := start.Add(time.Duration(n) * 100 * time.Microsecond)
		l.Admit(r, now)
		l.Sent(r, func() {})()
		l.Begun(r, now)
		l.Done(r)
	}
}
