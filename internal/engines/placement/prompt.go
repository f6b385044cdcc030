package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/instances"
	"filberthook/internal/serve/dialect"
)

// Estimates of engines' work.
const (
	// cacheTTL is how long a part is counted on after it was last asked for at an
	// engine: its memory is read over in somewhat more.
	cacheTTL = 10 * time.Second
	// transferOverheadMs is the set-up of a transfer of KV cache and the second call, as
	// seen between idle engines.
	transferOverheadMs = 8.0 // ms
	// transferMsPerToken is what a transfer takes on a free link: 328 KB at 3.8 Tbit/s.
	transferMsPerToken = 0.0007 // ms for each token
	// transferCost weighs the price of moved KV cache against time: 13,000 tokens cost
	// about as much as 25 ms are worth to a request whose goal is 600 ms.
	transferCost = 0.0018 // ms for each token
	// learningPeriod is how long after its start a host does not know what engines hold, and
	// served how long an engine must have served to hold its subjects.
	learningPeriod = 8 * time.Second
	warmAge        = 30 * time.Second
	// minFetchTokens is how many shared tokens are worth a transfer between engines: they take
	// 20 ms to read, twice its set-up.
	minFetchTokens = 1000
	// maxDecodePrefillTokens is the longest prompt that a generating engine reads itself while there
	// are others: should the parts not be held there, its streams pause for so long.
	maxDecodePrefillTokens = 2500 // tokens
	// decodeInterference weighs the tokens read at an engine that generates: the streams of
	// about two other requests pause meanwhile.
	decodeInterference = 2.0
	// runningRequestCost is what a running request costs one more at the same engine: part of a step
	// of 4 to 6 ms.
	runningRequestCost = 3.0 // ms
	// firstTokenMs is the time from a read prompt to the first event at an idle engine.
	firstTokenMs = 15.0 // ms
	// delayHalfLife is how fast an observed wait is forgotten: queues of engines last
	// a few prompts.
	delayHalfLife = 400 * time.Millisecond
	// transferHalfLife is how fast slow transfers are forgotten: a slow link stays so
	// for seconds.
	transferHalfLife = 2 * time.Second
	// peerBacklogTTL is how long the other hosts' load counts after it was told.
	peerBacklogTTL = time.Second
	// maxQueueGoals is how many goals a prompt may wait before an engine begins to read it.
	// Beyond, the queue would make all that follow late: it is refused and comes back
	// when the queue has passed. The prompt's own length does not count, so that long
	// ones are treated like short ones.
	maxQueueGoals = 2
	// safeGoalShare of the goal is expected to be met for sure: prompts take up to three
	// times the estimate under load.
	safeGoalShare = 0.3
	// safeWeight and lateWeight weigh expected time within that share and beyond it.
	safeWeight = 0.4
	lateWeight = 1.5
	// backupCost and farCost keep a subject at its homes: where 13,000 shared tokens are
	// missing the second home must be 400 ms faster, any other engine 1.6 s. Each further
	// engine that holds a subject drops others that will be asked for, and what is to be
	// fetched may be gone.
	backupCost      = 0.030 // ms for each shared token that is missing at the second home
	nonAffinityCost = 0.120 // ms for each that is missing at any other engine
	// connectCost is what a new connection to an engine costs: its set-up of 1 ms, the slot
	// that it holds meanwhile, and its price, which is 3% of that of a late answer.
	connectCost = 8.0 // ms
	// crossZoneCost keeps transfers of KV cache within an availability zone: between
	// zones they take and cost twice as much.
	crossZoneCost = transferMsPerToken + transferCost // ms for each token
	// scoreJitter keeps hosts with the same view from choosing the same engine.
	scoreJitter = 6.0 // ms
)

// Prompt is a generation request to place.
type Prompt struct {
	Endpoint     string
	Model        string
	Parts        []dialect.Part
	Tokens       int           // of the whole prompt
	OutputTokens int           // tokens expected to be generated
	Goal         time.Duration // to the first event
	TimeLeft     time.Duration // until the answer is of no use
	SingleEngine bool          // read and generate at one engine only
	Excluded     map[string]bool
}

// Plan is where a prompt is read and where its answer is generated.
type Plan struct {
	Prefill       *Target // prefill engine that reads the prompt first; nil to read at Run
	Decode        Target  // engine that reads and generates, when Read is nil; see Fleet.Runner
	FetchFrom     string  // address of an engine from which the reader fetches shared parts; may be empty
	PrefillTokens int     // expected to be read
	ExpectedTTFT  time.Duration
}

// prefixKeys returns a key for each shared part of a prompt, which stands for all parts
// up to it: a part is of use only after the same parts. The last part belongs to
// the request.
func prefixKeys(model string, parts []dialect.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(parts)-1)
	key := xxhash.Sum64String(model)
	for _, p := range parts[:len(parts)-1] {
		key = xxhash.Sum64String(strconv.FormatUint(key, 36) + "/" + p.ID)
		out = append(out, key)
	}
	return out
}

// Place plans a prompt. It returns a *HopelessError when no engine would begin to read
// it in time, and a *NoneError when there is none.
func (f *Fleet) Place(p *Prompt, now time.Time) (Plan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := prefixKeys(p.Model, p.Parts)
	list := f.byEndpoint[p.Endpoint]
	if len(p.Excluded) == 0 {
		f.countDemand(p, now)
	}
	candidates := f.available(withModel(list, p.Model), p.Excluded, now)
	plan, best := f.bestOption(p, keys, candidates, now)
	if best.engine == nil {
		return Plan{}, &NoInstanceError{Endpoint: p.Endpoint, Known: len(list), Excluded: len(p.Excluded)}
	}
	bias := f.estimates.bias()
	plan.ExpectedTTFT = time.Duration((best.totalMs + firstTokenMs) * bias * float64(time.Millisecond))
	wait := time.Duration(best.queueMs * bias * float64(time.Millisecond))
	if limit, limited := p.maxWait(plan.ExpectedTTFT - wait); limited && wait > limit {
		return Plan{}, &HopelessError{Wait: wait, MaxWait: limit}
	}
	if unqueued := time.Duration((best.totalMs - best.queueMs) * float64(time.Millisecond)); p.TimeLeft > 0 && unqueued > p.TimeLeft {
		return Plan{}, &HopelessError{Wait: unqueued, MaxWait: p.TimeLeft} // too long even for an idle engine
	}
	return plan, nil
}

// maxWait returns how long a prompt may wait before an engine begins to read it,
// when it takes so long from then to its first event.
func (p *Prompt) maxWait(serviceTime time.Duration) (limit time.Duration, limited bool) {
	switch {
	case p.TimeLeft > 0 && p.Goal > 0:
		return max(0, min(p.TimeLeft-serviceTime, maxQueueGoals*p.Goal)), true
	case p.TimeLeft > 0:
		return max(0, p.TimeLeft-serviceTime), true
	default:
		return maxQueueGoals * p.Goal, p.Goal > 0
	}
}

func withModel(list []*instance, model string) []*instance {
	out := make([]*instance, 0, len(list))
	for _, in := range list {
		if model == "" || len(in.Models) == 0 || hasModel(in.Models, model) {
			out = append(out, in)
		}
	}
	return out
}

func hasModel(models []instances.Model, name string) bool {
	for _, m := range models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// affinityKey returns what prompts are kept together by: the last shared part, or the
// prompt itself.
func affinityKey(keys []uint64, p *Prompt) uint64 {
	if len(keys) > 0 {
		return keys[len(keys)-1]
	}
	if len(p.Parts) > 0 {
		return xxhash.Sum64String(p.Parts[0].ID)
	}
	return 0
}

// affinityEngines returns the engine of a list that keeps a subject's shared parts, and the next
// one; nil where the list is too short. They are found by rendezvous hashing, so that
// every host finds the same ones from the same list and few subjects move when the
// list changes. There are no more: parts that are held at many engines take the place
// of others that will be asked for, which are then read again and make the load worse.
func (f *Fleet) affinityEngines(list []*instance, key uint64) (first, second *instance) {
	prefix := strconv.FormatUint(key, 36) + "/"
	var highest, next uint64
	for _, in := range list {
		weight := xxhash.Sum64String(prefix + in.ID)
		switch {
		case first == nil || weight > highest:
			second, next = first, highest
			first, highest = in, weight
		case second == nil || weight > next:
			second, next = in, weight
		}
	}
	return first, second
}

// uniqueTokens returns the tokens that no other request shares.
func (p *Prompt) uniqueTokens() int {
	if n := len(p.Parts); n > 0 {
		return p.Parts[n-1].Tokens
	}
	return p.Tokens
}

// prefillTokens returns the tokens that an engine would have to read.
func (in *instance) prefillTokens(p *Prompt, keys []uint64, now time.Time) int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	tokens = max(tokens, p.Tokens)
	for i, key := range keys {
		if !in.cached[key].fresh(now) {
			break
		}
		tokens -= p.Parts[i].Tokens
	}
	return max(0, tokens)
}

// queueMs returns after how many ms an engine would begin to read a prompt of a
// priority: all of the same or a more urgent one comes first.
func (f *Fleet) queueMs(in *instance, priority int, now time.Time) float64 {
	tokens := in.ownBacklog.upTo(priority)
	if now.Sub(in.peerBacklogAt) < peerBacklogTTL {
		tokens += in.peerBacklog.upTo(priority)
	}
	return max(tokens/f.prefillRate(in), in.prefillDelay.decayed(now, delayHalfLife))
}
