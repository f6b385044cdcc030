package membership

import (
	"math"
	"slices"
	"strings"
)

// updateQueue holds the names of hosts whose updates are still to be transmitted, each a
// limited number of times, the least transmitted first.
type updateQueue struct {
	sent map[string]int // host name to number of transmissions so far
}

func newUpdateQueue() *updateQueue { return &updateQueue{sent: make(map[string]int)} }

// add queues an update of a host in place of an older one.
func (q *updateQueue) add(name string) { q.sent[name] = 0 }

// take returns up to limit names, the least transmitted first, and counts a
// transmission for each. A name is dropped after limitPerName transmissions.
func (q *updateQueue) take(limit, limitPerName int) []string {
	if len(q.sent) == 0 {
		return nil
	}
	names := make([]string, 0, len(q.sent))
	for name := range q.sent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := q.sent[a] - q.sent[b]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	names = names[:min(limit, len(names))]
	for _, name := range names {
		q.sent[name]++
		if q.sent[name] >= limitPerName {
			delete(q.sent, name)
		}
	}
	return names
}

// maxTransmissions returns how often each host transmits an update so that it reaches
// all n hosts with high probability; anti-entropy syncs repair the rest.
func maxTransmissions(base, n int) int {
	return base + int(math.Ceil(math.Log2(float64(n+2))))
}
