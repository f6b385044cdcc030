package planner

import (
	"math"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/routing"
)

// fleet counts the engines of one zone by role.
type fleet struct {
	prefill, decode, mixed float64
	kvBlocks               float64 // mean memory of an engine
}

func (f fleet) add(role engineapi.Role, n float64) fleet {
	switch role {
	case engineapi.RolePrefill:
		f.prefill += n
	case engineapi.RoleDecode:
		f.decode += n
	default:
		f.mixed += n
	}
	return f
}

// Constants of the queueing approximation.
const (
	lateAtCapacity       = 0.1 // share of late answers when load equals capacity
	mixedEfficiency      = 1.0 // throughput of a mixed engine relative to a specialized one
	mixedSplits          = 16  // splits of mixed engines between prefill and decode that are tried
	firstTokenQueueShare = 0.6 // fraction of the first-token target available for queueing
)

// queueModel predicts the share of answers in time for a fleet and a demand, by an
// approximation of queueing theory.
type queueModel struct {
	costs      routing.Costs
	firstToken float64 // first-token target in seconds
}

// inTime returns the predicted share of answers that meet their targets.
func (m queueModel) inTime(f fleet, d Demand) float64 {
	prefillLoad := d.PromptTokens / m.costs.PrefillRate(0)
	decodeLoad := ratio(d.OutputTokens, m.decodeRate(f, d))
	prefillSeconds := d.meanPrompt() / m.costs.PrefillRate(0)
	best := 0.0
	for i := range mixedSplits + 1 {
		mixedPrefill := f.mixed * mixedEfficiency * float64(i) / mixedSplits
		mixedDecode := f.mixed*mixedEfficiency - mixedPrefill
		inTime := 1 - m.lateShare(prefillLoad, f.prefill+mixedPrefill, prefillSeconds)
		inTime *= 1 - m.lateShare(decodeLoad, f.decode+mixedDecode, m.costs.StepBase.Seconds())
		best = max(best, inTime)
	}
	return best
}

// decodeRate returns the output tokens per second of one engine with the
// largest batch that the limit and its memory allow.
func (m queueModel) decodeRate(f fleet, d Demand) float64 {
	batch := float64(m.costs.MaxBatch)
	if blocks := d.meanContext()/engineapi.KVBlockTokens + 1; f.kvBlocks > 0 {
		batch = min(batch, f.kvBlocks/blocks)
	}
	batch = max(1, batch)
	return batch / m.costs.Step(batch, 0)
}

// lateShare returns the share of requests that queue too long. The load is the
// number of servers that it would keep fully busy; each request occupies one for
// serviceSeconds.
func (m queueModel) lateShare(load, servers, serviceSeconds float64) float64 {
	if load <= 0 {
		return 0
	}
	if servers <= 0 {
		return 1
	}
	utilization := load / servers
	if utilization >= 1 {
		return 1 - (1-lateAtCapacity)/utilization
	}
	slack := firstTokenQueueShare * m.firstToken
	return lateAtCapacity * utilization * math.Exp(-(1-utilization)*servers*slack/max(serviceSeconds, 1e-3))
}
