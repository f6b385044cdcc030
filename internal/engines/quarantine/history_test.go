package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// history plays requests and ends at three hosts that exchange what they know through a control
// host. Each instance ends that gets a request with the bad block.
type history struct {
	hosts   []*Ledger
	control *Ledger
	now     time.Time
	starts  int
}

const historyBlocks = 4 // sound blocks beside the first one

func newHistory() *history {
	h := &history{control: NewRelay(), now: start}
	for range 3 {
		h.hosts = append(h.hosts, newLedger())
	}
	return h
}

func (h *history) exchange() {
	for range 4 { // until each host knows what the others answer to its word
		for _, l := range h.hosts {
			h.control.Learn(l.Report(h.now), h.now)
			l.Learn(h.control.Report(h.now), h.now)
		}
	}
}

func soundBlock(n int) Suspect { return Suspect(fmt.Sprint("sound-", n%historyBlocks)) }

// end ends an instance that has a request of a host.
func (h *history) end(l *Ledger, blocks ...Suspect) {
	h.starts++
	endWith(l, h.starts, h.now, blocks...)
}

// bad sends a request with the bad block, if its host lets it through, and reports whether it
// has ended an instance.
func (h *history) bad(host int) bool {
	l := h.hosts[host]
	r := l.Request([]Suspect{"first", "bad"})
	defer l.Done(r)
	if d := l.Admit(r, h.now); d.Answer != Pass && d.Answer != Contain {
		return false
	}
	h.starts++
	in := Instance{ID: fmt.Sprint("i-", h.starts), Born: int64(h.starts)}
	l.Lost(r, in, "a", h.now)
	l.Ended(r, in, h.now)
	return true
}

// step plays one step, as a byte says.
func (h *history) step(b byte) {
	arg := int(b / 6)
	host := arg % len(h.hosts)
	switch b % 6 {
	case 0:
		h.now = h.now.Add(time.Duration(arg+1) * 20 * time.Millisecond)
	case 1:
		begin(h.hosts[host], h.now, "first", soundBlock(arg))
	case 2:
		h.end(h.hosts[host], "first", soundBlock(arg))
	case 3:
		h.bad(host)
	case 4:
		h.exchange()
	case 5:
		h.now = h.now.Add(time.Duration(arg+1) * time.Second)
	}
}

// FuzzHistories checks that no block is in quarantine that has begun since its last end, and that
// a bad one ends few more instances, whatever has happened before.
func FuzzHistories(f *testing.F) {
	f.Add([]byte{1, 7, 13, 3, 0, 9, 4, 15, 5, 3, 4})
	f.Add([]byte{2, 8, 14, 20, 60, 2, 8, 14, 20, 60, 3, 4, 3, 4, 11, 3})
	f.Add([]byte{3, 9, 15, 120, 3, 9, 15, 4, 240, 3, 4, 1})
	f.Fuzz(checkHistory)
}

func TestNoSoundBlockStaysInQuarantineAndABadOneEndsFewInstancesAfterAnyHistory(t *testing.T) {
	for seed := range seedCount(t, 60) {
		random := rand.New(rand.NewPCG(seed, 17))
		steps := make([]byte, 1+random.IntN(60))
		for i := range steps {
			steps[i] = byte(random.Uint32())
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkHistory(t, steps) })
	}
}

func checkHistory(t *testing.T, steps []byte) {
	h := newHistory()
	for _, b := range steps[:min(len(steps), 60)] {
		h.step(b)
	}
	h.now = h.now.Add(time.Second)
	for n := range historyBlocks {
		begin(h.hosts[n%len(h.hosts)], h.now, "first", soundBlock(n))
	}
	h.now = h.now.Add(100 * time.Millisecond)
	h.exchange()
	for host, l := range h.hosts {
		for _, v := range l.Verdicts() {
			if v.Suspect != "bad" {
				t.Fatalf("host %d: %s is in quarantine although it has begun since its last end", host, v.Suspect)
			}
		}
	}
	ends := 0
	for n := range 200 {
		if h.bad(n % len(h.hosts)) {
			ends++
		}
		begin(h.hosts[n%len(h.hosts)], h.now, "first", soundBlock(n))
		h.now = h.now.Add(100 * time.Millisecond)
		h.exchange()
	}
	if ends > endsBeyondChance {
		t.Errorf("%d instances ended under the bad block, want at most %d", ends, endsBeyondChance)
	}
	if admits(h.hosts[0], h.now, "first", "bad") || !admits(h.hosts[0], h.now, "first", soundBlock(0)) {
		t.Error("the bad block is let through, or a sound one is not")
	}
}
