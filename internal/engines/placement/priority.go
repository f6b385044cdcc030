package placement

// Engines read prompts in the order of priorities, 0 first. The load this answers: long
// and short prompts share engines that are busy most of the time, and a goal is missed
// by whoever waits behind a long one. Shortest first keeps the mean wait least.
const (
	// firstPriorityTokens is the most tokens of the first priority: it takes some 25 ms to read.
	firstPriorityTokens = 1500
	// lastPrefillPriority is that of prompts of more than 6,000 tokens. With more priorities
	// the longest ones would wait beyond their callers' deadlines at four fifths of the
	// load that an engine bears.
	lastPrefillPriority = 3
)

// prefillPriority returns the priority at which an engine reads so many tokens. Each one
// holds prompts up to twice as long as the one before.
func prefillPriority(tokens int) int {
	priority := 0
	for limit := firstPriorityTokens; tokens > limit && priority < lastPrefillPriority; limit *= 2 {
		priority++
	}
	return priority
}

// PrefillPriority returns the priority at which the engine of a plan reads the prompt.
func (p *Plan) PrefillPriority() int { return prefillPriority(p.PrefillTokens) }
