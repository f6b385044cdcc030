package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/instances"
	"filberthook/internal/process/saturate"
	"filberthook/internal/serve/dialect"
)

// Cost model of prefill, KV cache transfers and decode.
const (
	// cacheTTL is how long a prefix is assumed to stay cached after its last use at an
	// engine: the engine's memory is overwritten in somewhat more time.
	cacheTTL = 10 * time.Second
	// transferOverheadMs is the set-up of a KV cache transfer and the call to the decode
	// engine, between idle engines.
	transferOverheadMs = 8.0
	// transferMsPerToken is the transfer time on an idle link: 328 KB a token at 3.8 Tbit/s.
	transferMsPerToken = 0.0007
	// transferCost expresses the price of transferred KV cache as time: 13,000 tokens cost
	// about as much as 25 ms are worth to a request with a goal of 600 ms.
	transferCost = 0.0018 // ms per token
	// learningPeriod is the time after its first prompt in which a host does not know what
	// engines have cached. Meanwhile it assumes that an engine older than warmAge has cached
	// the prefixes that it is the affinity engine of.
	learningPeriod = 8 * time.Second
	warmAge        = 30 * time.Second
	// minFetchTokens is the shortest shared prefix that is worth a transfer between engines:
	// its prefill takes 20 ms, twice the set-up of a transfer.
	minFetchTokens = 1000
	// maxDecodePrefillMs is the longest prefill, with nothing cached, that a decode engine
	// runs itself while there are prefill engines: its other streams pause meanwhile.
	maxDecodePrefillMs = 123.0
	// decodeInterference weighs prefill time at a decode engine: the streams of about two
	// other requests pause meanwhile.
	decodeInterference = 2.0
	// runningRequestCost is the delay that each running request adds to a new one at the
	// same engine: part of a decode step of 4 to 6 ms.
	runningRequestCost = 3.0 // ms
	// firstTokenMs is the time from the end of prefill to the first event at an idle engine.
	firstTokenMs = 15.0
	// delayHalfLife is the half-life of observed prefill delays: engine queues last for
	// a few prompts.
	delayHalfLife = 400 * time.Millisecond
	// transferHalfLife is the half-life of observed transfer delays: a slow link stays
	// slow for seconds.
	transferHalfLife = 2 * time.Second
	// peerBacklogTTL is how long a report of the other hosts' backlog is used.
	peerBacklogTTL = time.Second
	// maxQueueGoals is the longest queueing time before prefill, in multiples of the goal.
	// A longer queue would make all following prompts late, so the prompt is refused and
	// can be retried when the queue has drained. The prompt's own length does not count,
	// so that long and short prompts are treated alike.
	maxQueueGoals = 2
	// safeGoalShare is the fraction of the goal up to which an estimate is safe: under load
	// prompts take up to three times the estimate.
	safeGoalShare = 0.3
	// safeWeight and lateWeight weigh expected latency within that fraction and beyond it.
	safeWeight = 0.4
	lateWeight = 1.5
	// backupCost and nonAffinityCost keep a shared prefix at its affinity engines: where
	// 13,000 shared tokens are missing, the backup must be 400 ms faster and any other
	// engine 1.6 s. Each further engine that caches a prefix evicts others that will be
	// needed, and a prefix to be fetched may be evicted first.
	backupCost      = 0.030 // ms per shared token missing at the backup
	nonAffinityCost = 0.120 // ms per shared token missing at any other engine
	// connectCost is the cost of a new connection to an engine: its set-up of 1 ms, the
	// slot that it occupies, and its price, which is 3% of the price of a late answer.
	connectCost = 8.0 // ms
	// crossZoneCost keeps KV cache transfers within an availability zone: between zones
	// they take twice the time and cost twice as much.
	crossZoneCost = transferMsPerToken + transferCost // ms per token
	// scoreJitter keeps hosts with the same view from all choosing the same engine.
	scoreJitter = 6.0 // ms
)

// Prompt is a generation request to place.
type Prompt struct {
	Endpoint     string
	Model        string
	PrefixBlocks []dialect.PrefixBlock
	Tokens       int             // of the whole prompt
	OutputTokens int             // tokens expected to be generated
	Goal         time.Duration   // latency goal: time to the first event
	TimeLeft     time.Duration   // until the deadline
	SingleEngine bool            // run prefill and decode at the same engine
	Excluded     map[string]bool // ids of instances that were tried already
	// ContainKey is set if the prompt may end its engine. Prompts with the same key go to the
	// same decode engine.
	ContainKey string
}

// Plan is where a prompt's prefill and its decode run.
type Plan struct {
	Prefill         *Target // prefill engine; nil if Decode runs the prefill too
	Decode          Target  // set if Prefill is nil; otherwise see Fleet.PlaceDecode
	Reserved        *Target // decode engine that has been reserved for after the prefill; may be nil
	FetchFrom       string  // address of the engine to fetch the shared prefix from; may be empty
	PrefillTokens   int     // expected to be computed
	PrefillPriority int     // of the prefill, 0 first
	ExpectedTTFT    time.Duration
}

// prefixKeys returns a key for each shared prefix block of a prompt. A key covers the block
// and all before it, as a cached block is usable only after the same blocks. The last part
// of the prompt is the request's own.
func prefixKeys(model string, parts []dialect.PrefixBlock) []uint64 {
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

// Place plans a prompt. It returns a *HopelessError if no engine could start its prefill
// in time, and a *NoInstanceError if there is no engine.
func (f *Fleet) Place(p *Prompt, now time.Time) (Plan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := prefixKeys(p.Model, p.PrefixBlocks)
	announced := f.byEndpoint[p.Endpoint]
	if len(p.Excluded) == 0 {
		f.countDemand(p, now)
	}
	candidates := contain(f.available(withModel(announced, p.Model), p.Excluded, now), p.ContainKey)
	f.forgetUnconfirmedRates(p.Endpoint, now)
	plan, best := f.bestOption(p, keys, candidates, now)
	if best.engine == nil {
		return Plan{}, f.noInstance(p.Endpoint, p.Excluded, now)
	}
	bias := f.estimates.bias()
	plan.ExpectedTTFT = saturate.Milliseconds(best.correctedMs(bias))
	wait := saturate.Milliseconds(best.waitMs(bias))
	unqueued := saturate.Milliseconds(best.unqueuedMs())
	tooLong := p.TimeLeft > 0 && unqueued > p.TimeLeft
	if tooLong {
		f.noteRefusedForLength(p.Endpoint, now)
	}
	if limit, limited := p.maxWait(unqueued); limited && wait > limit {
		return Plan{}, &HopelessError{Wait: wait, MaxWait: limit}
	}
	if tooLong {
		return Plan{}, &HopelessError{Wait: unqueued, MaxWait: p.TimeLeft} // too long even without a queue
	}
	best.engine.notices.Send()
	if plan.Prefill != nil {
		plan.Reserved = f.reserveDecoder(p, plan.Prefill.Zone, now)
	}
	return plan, nil
}

// maxWait returns how long a prompt may queue before its prefill starts, if it takes
// serviceTime from then on.
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

// affinityKey returns the key that groups prompts at the same engine: that of the whole
// shared prefix, or of the prompt itself if it shares nothing.
func affinityKey(keys []uint64, p *Prompt) uint64 {
	if len(keys) > 0 {
		return keys[len(keys)-1]
	}
	if len(p.PrefixBlocks) > 0 {
		return xxhash.Sum64String(p.PrefixBlocks[0].ID)
	}
	return 0
}

// affinityEngines returns the affinity engine of a prefix and its backup; nil where the
// list is too short. They are found by rendezvous hashing, so that every host gets the same
// engines from the same list and few prefixes move when the list changes. There are only
// two, as a prefix cached at many engines evicts others that will be needed, and computing
// those again adds load.
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

// uniqueTokens returns the number of tokens that no other request shares.
func (p *Prompt) uniqueTokens() int {
	if n := len(p.PrefixBlocks); n > 0 {
		return p.PrefixBlocks[n-1].Tokens
	}
	return p.Tokens
}

// prefillTokens returns the number of prompt tokens that the engine has not cached.
func (in *instance) prefillTokens(p *Prompt, keys []uint64, now time.Time) int {
	tokens := 0
	for _, part := range p.PrefixBlocks {
		tokens += part.Tokens
	}
	tokens = max(tokens, p.Tokens)
	for i, key := range keys {
		if !in.cached[key].fresh(now) {
			break
		}
		tokens -= p.PrefixBlocks[i].Tokens
	}
	return max(0, tokens)
}

// queueMs returns the expected time until an engine starts a prefill of a priority. It is at
// least the delay that recent prompts had.
func (f *Fleet) queueMs(in *instance, priority int, now time.Time) float64 {
	return max(f.backlogMs(in, priority, now), in.prefillDelay.decayed(now, delayHalfLife))
}

// backlogMs returns how long an engine computes the known backlog of a priority and of more
// urgent ones, which come first.
func (f *Fleet) backlogMs(in *instance, priority int, now time.Time) float64 {
	return in.backlogTokens(priority, now) / f.prefillRate(in)
}

// backlogTokens returns the known prompt tokens of a priority and of more urgent ones that are
// queued at an engine.
func (in *instance) backlogTokens(priority int, now time.Time) float64 {
	tokens := in.ownBacklog.upTo(priority)
	if now.Sub(in.peerBacklogAt) < peerBacklogTTL {
		tokens += in.peerBacklog.upTo(priority)
	}
	return tokens
}
