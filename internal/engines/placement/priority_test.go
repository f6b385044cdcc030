package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// queuedPrompt is a prompt in the queue of a simulated engine.
type queuedPrompt struct {
	arrival      time.Duration
	tokens       int
	goal         time.Duration
	creditInTime float64 // if its prefill ends within the goal
	creditLate   float64 // if its prefill ends later
	priority     int
}

// simulatePrefillQueue simulates an engine that runs one prefill at a time, by priority and
// then by arrival. It returns the credit earned and the longest wait.
func simulatePrefillQueue(prompts []queuedPrompt) (credit float64, longest time.Duration) {
	var now time.Duration
	var queue []queuedPrompt
	for len(prompts) > 0 || len(queue) > 0 {
		if len(queue) == 0 {
			now = max(now, prompts[0].arrival)
		}
		for len(prompts) > 0 && prompts[0].arrival <= now {
			queue = append(queue, prompts[0])
			prompts = prompts[1:]
		}
		next := 0
		for i, p := range queue {
			if p.priority < queue[next].priority {
				next = i
			}
		}
		p := queue[next]
		queue = slices.Delete(queue, next, next+1)
		longest = max(longest, now-p.arrival)
		now += time.Duration(float64(p.tokens) / DefaultSettings().PrefillRate * float64(time.Millisecond))
		if now-p.arrival <= p.goal {
			credit += p.creditInTime
		} else {
			credit += p.creditLate
		}
	}
	return credit, longest
}

// burstMix draws prompts of three kinds: summaries with a goal of 600 ms, handovers and
// checks with a goal of one second. Their priorities are those of their routes.
func burstMix(random *rand.Rand, n int, load float64) []queuedPrompt {
	kinds := []queuedPrompt{
		{tokens: 3720, goal: 600 * time.Millisecond, creditInTime: 2.2, creditLate: 0.67, priority: 2},
		{tokens: 2890, goal: time.Second, creditInTime: 2.4, creditLate: 0.71, priority: 1},
		{tokens: 1110, goal: time.Second, creditInTime: 1.3, creditLate: 0.38, priority: 0},
	}
	shares := []float64{0.29, 0.23, 0.48}
	meanTokens := 0.0
	for i, k := range kinds {
		meanTokens += shares[i] * float64(k.tokens)
	}
	gap := meanTokens / DefaultSettings().PrefillRate / load // ms
	at := 0.0
	var out []queuedPrompt
	for range n {
		at += random.ExpFloat64() * gap
		x, i := random.Float64(), 0
		for x > shares[i] && i < len(shares)-1 {
			x -= shares[i]
			i++
		}
		p := kinds[i]
		p.arrival = time.Duration(at * float64(time.Millisecond))
		// Exponential lengths have a long tail, as in recorded traffic.
		p.tokens = int(random.ExpFloat64() * float64(p.tokens))
		out = append(out, p)
	}
	return out
}

func TestShortestFirstEarnsMoreThanRoutePriorities(t *testing.T) {
	draw := rand.New(rand.NewPCG(7, 8))
	for _, load := range []float64{0.8, 0.9, 0.97} {
		prompts := burstMix(draw, 20_000, load)
		byRoute, _ := simulatePrefillQueue(prompts)
		shortest := slices.Clone(prompts)
		for i := range shortest {
			shortest[i].priority = prefillPriority(shortest[i].tokens, DefaultSettings().PrefillRate)
		}
		byLength, _ := simulatePrefillQueue(shortest)
		if byLength <= byRoute {
			t.Errorf("load %v: credit %.0f with the shortest first, %.0f with route priorities", load, byLength, byRoute)
		}
	}
}

// Long prompts must not starve behind short ones: up to a load of 80%, none waits beyond
// its caller's deadline.
func TestShortestFirstDoesNotStarveLongPrompts(t *testing.T) {
	const deadline = 5 * time.Second
	prompts := burstMix(rand.New(rand.NewPCG(9, 10)), 20_000, 0.8)
	for i := range prompts {
		prompts[i].priority = prefillPriority(prompts[i].tokens, DefaultSettings().PrefillRate)
	}
	if _, longest := simulatePrefillQueue(prompts); longest > deadline {
		t.Errorf("a prompt waits %v, its deadline is %v", longest, deadline)
	}
}

func TestShortPromptsDoNotWaitForLongOnes(t *testing.T) {
	f := fleetOf(1, 1)
	f.SetPeerLoads(map[string]Backlog{"p0": {3: 60_000}, "d0": {3: 60_000}}, start)
	short, long := promptWithPrefix("s", 0, 3000), promptWithPrefix("s", 0, 10_000)
	if a, b := mustPlace(t, f, short, start).ExpectedTTFT, mustPlace(t, f, long, start).ExpectedTTFT; a*3 > b {
		t.Errorf("expected %v for the short prompt, %v for the long one", a, b)
	}
}
