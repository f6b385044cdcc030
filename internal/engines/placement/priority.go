package placement

// Engines run prefills in order of priority, 0 first. Long and short prompts share engines
// that are busy most of the time, and a prompt queued behind a long one misses its latency
// goal. Shortest first minimizes the mean wait.
const (
	// firstPriorityMs is the longest prefill of priority 0, in ms at a prefill engine.
	firstPriorityMs = 27.5
	// lastPrefillPriority is the priority of prefills of more than 110 ms. With more
	// priorities the longest prompts would miss their deadlines at 80% load.
	lastPrefillPriority = 3
)

// prefillPriority returns the priority of a prefill of so many tokens at engines with a
// rate in tokens per millisecond. Each priority takes prompts up to twice as long as the
// one before.
func prefillPriority(tokens int, rate float64) int {
	priority := 0
	for limit := firstPriorityMs * rate; float64(tokens) > limit && priority < lastPrefillPriority; limit *= 2 {
		priority++
	}
	return priority
}
