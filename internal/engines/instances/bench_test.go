package instances

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAnnouncements measures the view of an entry host while all instances of a
// fleet announce themselves one after the other, as after a power failure, and the host
// takes a snapshot after every tenth.
func BenchmarkAnnouncements(b *testing.B) {
	for _, fleet := range []int{140, 1000, 3000} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			for b.Loop() {
				v := NewView(time.Second)
				now := time.Unix(1_800_000_000, 0)
				for n := range fleet {
					id := fmt.Sprint("i-", n)
					v.Update("control", "1", uint64(n+1), []Change{{Instance: Instance{
						ID: id, Born: 1, Sequence: 1, Endpoint: "lm", Address: id, Zone: "z", Slots: 64,
					}}}, now)
					if n%10 == 9 {
						v.Snapshot()
					}
				}
			}
		})
	}
}

// BenchmarkHeartbeats measures a control host that gets a heartbeat of each instance while
// three hundred entry hosts ask for its changes.
func BenchmarkHeartbeats(b *testing.B) {
	for _, fleet := range []int{140, 1000, 3000} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			r := NewRegistry(time.Second)
			now := time.Unix(1_800_000_000, 0)
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				for n := range fleet {
					id := fmt.Sprint("i-", n)
					r.Observe(Instance{ID: id, Born: 1, Sequence: sequence, Endpoint: "lm", Address: id, Zone: "z", Slots: 64}, now)
				}
				_, position, _ := r.Since(0, 0)
				for range 300 {
					r.Since(position, 0)
				}
			}
		})
	}
}
