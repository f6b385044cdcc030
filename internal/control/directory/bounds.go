package directory

import (
	"math"
	"time"

	"filberthook/internal/engines/engineapi"
)

// Bounds of a load report.
const (
	maxLoadCount = math.MaxInt32
	maxLoadRate  = 1e9 // of steps in ms and of tokens per second
	maxLoadAge   = time.Hour
)

// boundLoad limits the values of a load report to those that can be placed by and sent to other
// hosts. A report with odd ones is no reason to lose the announcement that it came with.
func boundLoad(l engineapi.LoadReport) engineapi.LoadReport {
	for _, count := range []*int{&l.Running, &l.Queued, &l.QueuedPrefill, &l.UsedKVBlocks, &l.CachedKVBlocks} {
		*count = min(max(*count, 0), maxLoadCount)
	}
	for _, rate := range []*float64{&l.StepMillis, &l.PrefillPerSec, &l.DecodePerSec} {
		if !(*rate > 0) { // also what is no number
			*rate = 0
		}
		*rate = min(*rate, maxLoadRate)
	}
	l.AgeMillis = min(max(l.AgeMillis, 0), maxLoadAge.Milliseconds())
	return l
}
