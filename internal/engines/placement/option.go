package placement

import (
	"math"
	"time"

	"filberthook/internal/engines/instances"
)

// best compares the engines that may read a prompt. The option names none when there
// is none that generates.
func (f *Fleet) best(p *Prompt, keys []uint64, candidates []*instance, now time.Time) (Plan, option) {
	runners, readers := byStage(candidates)
	if len(runners) == 0 {
		return Plan{}, option{}
	}
	if p.SingleEngine {
		readers, candidates = nil, runners
	}
	place := subject(keys, p)
	var home homes
	home.read, home.second = f.homes(readers, place)
	home.run, _ = f.homes(runners, place)
	holder := newestHolder(candidates, keys, now)
	best := option{score: math.Inf(1)}
	options := candidates
	if len(readers) > 0 && p.Tokens > maxWhole {
		options = readers
	}
	for _, in := range options {
		o := f.option(p, keys, in, home, holder, now)
		o.score += spread * f.draw()
		if o.score < best.score {
			best = o
		}
	}
	return best.plan(), best
}

// homes are the engines that keep a subject's shared parts.
type homes struct {
	read   *instance // reads prompts only; nil when there is none
	second *instance // reads prompts only, when the first is much busier
	run    *instance // generates
}

// newestHolder returns the two engines that were last sent a prompt with the same
// shared parts and have read them, nil where there is none. The second one is the
// source for the first.
func newestHolder(candidates []*instance, keys []uint64, now time.Time) [2]*instance {
	var out [2]*instance
	if len(keys) == 0 {
		return out
	}
	var at [2]time.Time
	last := keys[len(keys)-1]
	for _, in := range candidates {
		part := in.held[last]
		if !part.movable(now) {
			continue
		}
		seen := part.last
		if seen.After(at[0]) {
			out[1], at[1] = out[0], at[0]
			out[0], at[0] = in, seen
		} else if seen.After(at[1]) {
			out[1], at[1] = in, seen
		}
	}
	return out
}

// byStage returns the engines that generate and those that read prompts only.
func byStage(candidates []*instance) (runners, readers []*instance) {
	for _, in := range candidates {
		if in.Stage == instances.Prefill {
			readers = append(readers, in)
		} else {
			runners = append(runners, in)
		}
	}
	return runners, readers
}

// option is an engine that may read a prompt.
type option struct {
	in     *instance
	fetch  *instance // engine to fetch shared parts from; nil for none
	tokens int       // to be read
	wait   float64   // ms until the engine begins to read it
	ms     float64   // until the prompt is where its answer is generated
	score  float64   // ms, and what else speaks against it
}

func (o option) plan() Plan {
	plan := Plan{PrefillTokens: o.tokens}
	target := o.in.target()
	if target.Stage == instances.Prefill {
		plan.Prefill = &target
	} else {
		plan.Decode = target
	}
	if o.fetch != nil {
		plan.FetchFrom = o.fetch.Address
	}
	return plan
}

// option estimates a prompt's reading at an engine.
func (f *Fleet) option(p *Prompt, keys []uint64, in *instance, home homes, holder [2]*instance, now time.Time) option {
	o := option{in: in, tokens: in.unread(p, keys, now)}
	missing := max(0, o.tokens-p.own()) // shared tokens that are not held there
	source := holder[0]
	if source == in {
		source = holder[1]
	}
	moved, movedCost := 0, 0.0 // tokens fetched, and their transfer as a part of the score
	if p.Tokens-p.own() >= minFetch && source != nil {
		o.fetch = source // costs nothing where the engine holds the parts
		if missing > 0 {
			o.tokens, moved = p.own(), missing
			movedCost = transferCost * float64(moved)
			if source.Zone != in.Zone {
				movedCost += otherZoneCost * float64(moved)
			}
		}
	}
	if source == nil && in == home.read && f.assumesHeld(in, now) {
		o.tokens = min(o.tokens, p.own())
	}
	o.wait = f.waiting(in, readPriority(o.tokens), now)
	o.ms = o.wait + float64(o.tokens)/f.rate(in) + float64(moved)*transferTime
	if in.Stage == instances.Prefill {
		o.ms += transferOverhead + float64(p.Tokens)*transferTime + in.transfer.decayed(now, transferHalfLife)
	}
	o.score = hurry(o.ms, p.Goal) + movedCost
	if !f.connected(in.Address) {
		o.score += connectCost
	}
	switch in {
	case home.read, home.run:
	case home.second:
		o.score += secondCost * float64(missing)
	default:
		o.score += farCost * float64(missing)
	}
	if in.Stage == instances.Prefill {
		o.score += float64(p.Tokens) * transferCost
	} else {
		o.score += disturbance * float64(o.tokens) / f.rate(in)
	}
	return o
}

// assumesHeld reports whether an engine is taken to hold the parts of the subjects that
// it is home of: it has served for long, and this host has only begun to learn.
func (f *Fleet) assumesHeld(in *instance, now time.Time) bool {
	if f.since.IsZero() {
		f.since = now
	}
	return now.Sub(f.since) < learning && now.UnixMilli()-in.Born > served.Milliseconds()
}

// hurry weighs an expected time: little while it is well within the goal, as estimates
// are short of what happens, and much beyond.
func hurry(ms float64, goal time.Duration) float64 {
	easy := easyShare * float64(goal) / float64(time.Millisecond)
	return easyWeight*min(ms, easy) + lateWeight*max(0, ms-easy)
}
