package placement

// Engines run prefills in order of priority, 0 first. Long and short prompts share engines
// that are busy most of the time, and a prompt queued behind a long one misses its latency
// goal. Shortest first minimizes the mean wait.
const (
	// firstPriorityTokens is the longest prefill of priority 0; it takes about 25 ms.
	firstPriorityTokens = 1500
	// lastPrefillPriority is the priority of prompts of more than 6,000 tokens. With more
	// priorities the longest prompts would miss their deadlines at 80% load.
	lastPrefillPriority = 3
)

// prefillPriority returns the priority of a prefill of so many tokens. Each priority
// takes prompts up to twice as long as the one before.
func prefillPriority(tokens int) int {
	priority := 0
	for limit := firstPriorityTokens; tokens > limit && priority < lastPrefillPriority; limit *= 2 {
		priority++
	}
	return priority
}

// PrefillPriority returns the priority of the planned prefill.
func (p *Plan) PrefillPriority() int { return prefillPriority(p.PrefillTokens) }
