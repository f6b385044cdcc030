package placement

import (
	"math"
	"time"

	"filberthook/internal/engines/instances"
)

// bestOption scores the engines that may run a prompt's prefill and returns the best. The
// option has no engine if there is none for decode.
func (f *Fleet) bestOption(p *Prompt, keys []uint64, candidates []*instance, now time.Time) (Plan, option) {
	decoders, prefillers := splitByStage(candidates)
	if len(decoders) == 0 {
		return Plan{}, option{}
	}
	if p.SingleEngine {
		prefillers, candidates = nil, decoders
	}
	key := affinityKey(keys, p)
	var affinity affinityEngines
	affinity.prefill, affinity.prefillBackup = f.affinityEngines(prefillers, key)
	affinity.decode, _ = f.affinityEngines(decoders, key)
	sources := fetchSources(candidates, keys, now)
	best := option{score: math.Inf(1)}
	options := candidates
	if len(prefillers) > 0 && float64(p.Tokens) > maxDecodePrefillMs*f.settings.DecodeShare*f.typicalRate(p.Endpoint) {
		options = prefillers
	}
	for _, in := range options {
		o := f.evaluate(p, keys, in, affinity, sources, now)
		o.score += scoreJitter * f.random()
		if o.score < best.score {
			best = o
		}
	}
	return best.plan(), best
}

// affinityEngines are the engines that keep a shared prefix cached.
type affinityEngines struct {
	prefill       *instance // prefill engine; nil if there is none
	prefillBackup *instance // prefill engine for when the first is much busier
	decode        *instance // decode engine
}

// fetchSources returns the two engines that most recently got a prompt with the same
// shared prefix and have finished its prefill; nil where there is none. The second one is
// the source for the first.
func fetchSources(candidates []*instance, keys []uint64, now time.Time) [2]*instance {
	var out [2]*instance
	if len(keys) == 0 {
		return out
	}
	var newest [2]time.Time
	last := keys[len(keys)-1]
	for _, in := range candidates {
		entry := in.cached[last]
		if !entry.transferable(now) {
			continue
		}
		usedAt := entry.usedAt
		if usedAt.After(newest[0]) {
			out[1], newest[1] = out[0], newest[0]
			out[0], newest[0] = in, usedAt
		} else if usedAt.After(newest[1]) {
			out[1], newest[1] = in, usedAt
		}
	}
	return out
}

// splitByStage returns the decode engines and the prefill engines.
func splitByStage(candidates []*instance) (decoders, prefillers []*instance) {
	for _, in := range candidates {
		if in.Stage == instances.Prefill {
			prefillers = append(prefillers, in)
		} else {
			decoders = append(decoders, in)
		}
	}
	return decoders, prefillers
}

// option is an engine that may run a prompt's prefill, with its estimated costs.
type option struct {
	engine        *instance
	fetchFrom     *instance // engine to fetch the shared prefix from; nil for none
	prefillTokens int       // to be computed
	priority      int       // of the prefill
	backlogMs     float64   // the known backlog of the engine
	delayMs       float64   // what recent prompts waited at the engine
	queueMs       float64   // until the prefill starts: the larger of the two
	totalMs       float64   // until the KV cache is at the decode engine
	score         float64   // weighted milliseconds and penalties; lowest wins
}

func (o option) plan() Plan {
	plan := Plan{PrefillTokens: o.prefillTokens, PrefillPriority: o.priority}
	target := o.engine.target()
	if target.Stage == instances.Prefill {
		plan.Prefill = &target
	} else {
		plan.Decode = target
	}
	if o.fetchFrom != nil {
		plan.FetchFrom = o.fetchFrom.Address
	}
	return plan
}

// waitMs returns the expected time until the prefill starts. The bias corrects the known
// backlog; a delay was measured as it is.
func (o option) waitMs(bias float64) float64 { return max(o.backlogMs*bias, o.delayMs) }

// unqueuedMs returns the time until the KV cache is at the decode engine if there is no queue.
func (o option) unqueuedMs() float64 { return o.totalMs - o.queueMs }

// correctedMs returns the expected time to the first event.
func (o option) correctedMs(bias float64) float64 {
	unqueued := o.unqueuedMs() + firstTokenMs
	return max((o.backlogMs+unqueued)*bias, o.delayMs+unqueued*min(bias, 1))
}

// evaluate estimates the latency and score of a prompt's prefill at an engine.
func (f *Fleet) evaluate(p *Prompt, keys []uint64, in *instance, affinity affinityEngines, sources [2]*instance, now time.Time) option {
	o := option{engine: in, prefillTokens: in.prefillTokens(p, keys, now)}
	missing := max(0, o.prefillTokens-p.uniqueTokens()) // shared tokens that the engine has not cached
	source := sources[0]
	if source == in {
		source = sources[1]
	}
	fetched, fetchCost := 0, 0.0 // tokens, and their transfer's share of the score
	if p.Tokens-p.uniqueTokens() >= minFetchTokens && source != nil {
		o.fetchFrom = source // costs nothing if the engine has the prefix cached
		if missing > 0 {
			o.prefillTokens, fetched = p.uniqueTokens(), missing
			fetchCost = transferCost * float64(fetched)
			if source.Zone != in.Zone {
				fetchCost += crossZoneCost * float64(fetched)
			}
		}
	}
	if source == nil && in == affinity.prefill && f.assumesCached(in, now) {
		o.prefillTokens = min(o.prefillTokens, p.uniqueTokens())
	}
	o.priority = prefillPriority(o.prefillTokens, f.typicalRate(p.Endpoint))
	o.backlogMs, o.delayMs = f.backlogMs(in, o.priority, now), in.prefillDelay.decayed(now, delayHalfLife)
	o.queueMs = max(o.backlogMs, o.delayMs)
	o.totalMs = o.queueMs + float64(o.prefillTokens)/f.prefillRate(in) + float64(fetched)*transferMsPerToken
	if in.Stage == instances.Prefill {
		o.totalMs += transferOverheadMs + float64(p.Tokens)*transferMsPerToken + in.transferDelay.decayed(now, transferHalfLife)
	}
	o.score = latencyScore(o.totalMs, p.Goal) + fetchCost
	if !f.connected(in.Address) {
		o.score += connectCost
	}
	switch in {
	case affinity.prefill, affinity.decode:
	case affinity.prefillBackup:
		o.score += backupCost * float64(missing)
	default:
		o.score += nonAffinityCost * float64(missing)
	}
	if in.Stage == instances.Prefill {
		o.score += float64(p.Tokens) * transferCost
	} else {
		o.score += decodeInterference * float64(o.prefillTokens) / f.prefillRate(in)
	}
	return o
}

// assumesCached reports whether an engine is assumed to have cached the prefixes that it is
// the affinity engine of: it has been up for long, and this host has just begun to place
// prompts.
func (f *Fleet) assumesCached(in *instance, now time.Time) bool {
	if f.firstPromptAt.IsZero() {
		f.firstPromptAt = now
	}
	return now.Sub(f.firstPromptAt) < learningPeriod && now.UnixMilli()-in.Born > warmAge.Milliseconds()
}

// latencyScore weighs an expected latency: low weight while it is safely within the goal,
// high weight beyond, as estimates are often too low.
func latencyScore(ms float64, goal time.Duration) float64 {
	safeMs := safeGoalShare * float64(goal) / float64(time.Millisecond)
	return safeWeight*min(ms, safeMs) + lateWeight*max(0, ms-safeMs)
}
