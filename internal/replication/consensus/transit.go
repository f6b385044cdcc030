package consensus

// Rates at which a replica is taken to receive, in bytes per tick.
const (
	// firstRate holds until a transfer was observed: 640 kB/s at ticks of 50 ms, less than two
	// hosts exchange in JSON under the race detector.
	firstRate = 32 << 10
	minRate   = 4 << 10
	maxRate   = 256 << 10 // a faster one would not resend noticeably earlier
	// sampleBytes is the size from which an answer tells the rate: that to a smaller message
	// tells the latency of the network and the disk.
	sampleBytes = 32 << 10
	// transitMargin is how many times the expected time a message may take.
	transitMargin = 2
	// maxTransitTicks bounds the wait for an answer, 10 s at ticks of 50 ms.
	maxTransitTicks = 200
)

// transit estimates when the messages on their way to a replica should have been answered.
// Sending a large one again before that would delay its first copy.
type transit struct {
	bytes int    // sent, and neither answered nor taken for lost
	since uint64 // tick of the last answer, or of the first message if none was on its way before
	rate  int    // bytes per tick, 0 before the first observation
	lost  bool   // a message on its way is known to be lost
}

func (t *transit) sent(bytes int, now uint64) {
	if t.bytes == 0 {
		t.since = now
	}
	t.bytes += bytes
}

// answered records that some of the bytes have arrived.
func (t *transit) answered(bytes int, now uint64) {
	bytes = min(bytes, t.bytes)
	if bytes >= sampleBytes {
		observed := bytes / int(now-t.since+1)
		if t.rate > 0 && observed > t.rate {
			observed = (3*t.rate + observed) / 4 // one fast transfer is no reason to hurry
		}
		t.rate = min(max(observed, minRate), maxRate)
	}
	t.bytes -= bytes
	t.since = now
}

// reset forgets the messages on their way.
func (t *transit) reset() { t.bytes, t.lost = 0, false }

// overdue reports whether the messages on their way should have been answered. For messages that
// take less than half a tick that is so at once.
func (t *transit) overdue(now uint64) bool {
	rate := t.rate
	if rate == 0 {
		rate = firstRate
	}
	wait := min(uint64(transitMargin*t.bytes/rate), maxTransitTicks)
	return t.lost || now-t.since >= wait
}
