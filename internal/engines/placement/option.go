package placement

import (
	"math"
	"time"

	"filberthook/internal/engines/instances"
)

// bestOption compares the engines that may read a prompt. The option names none when there
// is none that generates.
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
	if len(prefillers) > 0 && p.Tokens > maxDecodePrefillTokens {
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

// affinityEngines are the engines that keep a subject's shared parts.
type affinityEngines struct {
	prefill       *instance // reads prompts only; nil when there is none
	prefillBackup *instance // reads prompts only, when the first is much busier
	decode        *instance // generates
}

// fetchSources returns the two engines that were last sent a prompt with the same
// shared parts and have read them, nil where there is none. The second one is the
// source for the first.
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

// splitByStage returns the engines that generate and those that read prompts only.
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

// option is an engine that may read a prompt.
type option struct {
	engine        *instance
	fetchFrom     *instance // engine to fetch shared parts from; nil for none
	prefillTokens int       // to be read
	queueMs       float64   // ms until the engine begins to read it
	totalMs       float64   // until the prompt is where its answer is generated
	score         float64   // ms, and what else speaks against it
}

func (o option) plan() Plan {
	plan := Plan{PrefillTokens: o.prefillTokens}
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

// evaluate estimates a prompt's reading at an engine.
func (f *Fleet) evaluate(p *Prompt, keys []uint64, in *instance, affinity affinityEngines, sources [2]*instance, now time.Time) option {
	o := option{engine: in, prefillTokens: in.prefillTokens(p, keys, now)}
	missing := max(0, o.prefillTokens-p.uniqueTokens()) // shared tokens that are not held there
	source := sources[0]
	if source == in {
		source = sources[1]
	}
	fetched, fetchCost := 0, 0.0 // tokens fetched, and their transfer as a part of the score
	if p.Tokens-p.uniqueTokens() >= minFetchTokens && source != nil {
		o.fetchFrom = source // costs nothing where the engine holds the parts
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
	o.queueMs = f.queueMs(in, prefillPriority(o.prefillTokens), now)
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

// assumesCached reports whether an engine is taken to hold the parts of the subjects that
// it is home of: it has served for long, and this host has only begun to learn.
func (f *Fleet) assumesCached(in *instance, now time.Time) bool {
	if f.firstPromptAt.IsZero() {
		f.firstPromptAt = now
	}
	return now.Sub(f.firstPromptAt) < learningPeriod && now.UnixMilli()-in.Born > warmAge.Milliseconds()
}

// latencyScore weighs an expected time: little while it is well within the goal, as estimates
// are short of what happens, and much beyond.
func latencyScore(ms float64, goal time.Duration) float64 {
	safeMs := safeGoalShare * float64(goal) / float64(time.Millisecond)
	return safeWeight*min(ms, safeMs) + lateWeight*max(0, ms-safeMs)
}
