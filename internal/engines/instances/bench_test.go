package instances

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAnnouncements measures the view of an entry host while all instances of a
// fleet announce themselves one after the other, as after a power failure.
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
				}
			}
		})
	}
}
