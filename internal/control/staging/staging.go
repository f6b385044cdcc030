// Package staging decides, for disaggregated prefill, which engines prefill prompts and
// which decode. It does no I/O and reads no clock.
//
// It is built for long prompts with short answers, where the ratio of prompt to output
// tokens swings faster than an engine changes its stage. Placement absorbs the swings;
// stages follow the mean, so changes are rare. A prefill at a decoding engine stalls all
// of its streams, so there are only as many decode engines as the answers need, with one
// in each availability zone where the number of engines allows it. All others prefill:
// time to first event grows with the queue of prompts, while decode has spare capacity
// up to a full batch.
package staging

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"filberthook/internal/engines/instances"
	"filberthook/internal/process/saturate"
)

// Demand is the load that requests put on an endpoint's engines.
type Demand struct {
	PromptTokens float64 // to prefill per second, without cached tokens
	OutputTokens float64 // to generate per second
	// DecodeSlots is how many decode slots OutputTokens take at the pace that was measured;
	// 0 if unknown.
	DecodeSlots float64
	// PrefillEngines is how many engines the prefill of PromptTokens keeps busy at the rates
	// that were measured; 0 if unknown.
	PrefillEngines float64
}

// Settings of the decision.
type Settings struct {
	PrefillRate      float64 // prompt tokens per second of an idle engine
	DecodeRate       float64 // output tokens per second of an engine with a full batch of ReferenceSlots
	PrefillEnough    float64 // at this utilization of the prefill engines no more change to prefill
	Headroom         float64 // target ratio of decode engines to those that the answers need
	MeasuredHeadroom float64 // replaces Headroom once the demand for slots is measured
	MinHeadroom      float64 // below this ratio engines change to decode
	ShortHeadroom    float64 // below this ratio of measured demand decode engines are short
	MaxHeadroom      float64 // above this ratio engines change to prefill
	MaxChangingShare float64 // share of the engines that may change at once under load
	MaxReplacedShare float64 // replaces MaxChangingShare while decode engines are short
}

// ReferenceSlots is the number of slots of an engine that DecodeRate and an expected demand
// per engine are given for. Engines with other numbers of slots are scaled.
const ReferenceSlots = 64

// DefaultSettings fit engines with a step of about 6 ms for a batch of some 55 requests
// and chunked prefill of 2,048 tokens.
func DefaultSettings() Settings {
	return Settings{PrefillRate: 55_000, DecodeRate: 9_000, PrefillEnough: 0.16, Headroom: 2, MeasuredHeadroom: 1.6, MinHeadroom: 1.2, ShortHeadroom: 1.1, MaxHeadroom: 4, MaxChangingShare: 0.06, MaxReplacedShare: 0.15}
}

// WithOrders returns the settings for engines whose number is ordered by demand (package
// capacity), so that few are idle. Batches are then smaller than those that MeasuredHeadroom
// gives on average, to carry bursts of twice the demand, and it is no waste that more engines
// could prefill.
func (s Settings) WithOrders() Settings {
	s.MeasuredHeadroom, s.MinHeadroom, s.ShortHeadroom, s.MaxHeadroom = 4.6, 3.2, 2, 8
	return s
}

// SlotsScale returns the mean number of slots of the engines as a share of ReferenceSlots.
func SlotsScale(engines []instances.Instance) float64 {
	total, limit := 0, instances.SlotsLimit(engines)
	for _, e := range engines {
		total += min(e.Slots, limit)
	}
	if total == 0 {
		return 1
	}
	return float64(total) / float64(len(engines)) / ReferenceSlots
}

// minDecode is the smallest number of decode engines, where there are enough engines:
// the deployment survives the loss of a third of them.
const minDecode = 3

// prefillWeight is how many times as many of the engines that the load does not need go to
// prefill as to decode, in proportion: every first event waits for prefill.
const prefillWeight = 2

// minDesiredShare is the share of the desired decode engines below which engines change.
const minDesiredShare = 0.85

// minReplaced is how many engines may change at once at least while decode engines are
// short by measured demand.
const minReplaced = 2

// minZoneForDecode is the number of engines from which a zone keeps a decode engine of
// its own. In a zone of two, the lost prefill capacity would cost more than that gains.
const minZoneForDecode = 3

// Desired returns how many of the engines should decode: as many as the answers need with
// headroom, and a share of the engines that the load does not need.
func (s Settings) Desired(engines []instances.Instance, d Demand) int {
	desired := s.decoding(engines, d, s.headroom(d))
	if decode, prefill := s.fullBatches(engines, d), s.prefillNeed(d); decode > 0 && d.DecodeSlots > 0 {
		desired = max(desired, min(saturate.Int(float64(len(engines))*decode/(decode+prefillWeight*prefill)), len(engines)-1))
	}
	return desired
}

// headroom returns the target ratio of decode engines to those that the answers need.
func (s Settings) headroom(d Demand) float64 {
	if d.DecodeSlots > 0 {
		return s.MeasuredHeadroom
	}
	return s.Headroom
}

// decoding returns the number of decode engines for a given headroom.
func (s Settings) decoding(engines []instances.Instance, d Demand, headroom float64) int {
	n := len(engines)
	if n <= 1 {
		return n
	}
	prefill := s.prefillNeed(d)
	decode := headroom * s.fullBatches(engines, d)
	if total := prefill + decode; total > float64(n) {
		decode *= float64(n) / total // both stages fall short by the same share
	}
	return min(max(saturate.Int(math.Ceil(decode)), minDecodeEngines(n, zonesOf(engines))), n-1)
}

// prefillNeed returns how many engines the demand keeps busy with prefill.
func (s Settings) prefillNeed(d Demand) float64 {
	if d.PrefillEngines > 0 {
		return d.PrefillEngines
	}
	return d.PromptTokens / s.PrefillRate
}

// fullBatches returns how many decode engines with full batches the demand takes.
func (s Settings) fullBatches(engines []instances.Instance, d Demand) float64 {
	scale := SlotsScale(engines)
	if d.DecodeSlots > 0 {
		return d.DecodeSlots / (ReferenceSlots * scale)
	}
	return d.OutputTokens / (s.DecodeRate * scale)
}

// minDecodeEngines returns how many of n engines decode at any demand: minDecode or one
// for each zone, whichever is more, but at most a third of the engines.
func minDecodeEngines(n, zones int) int { return min(max(minDecode, zones), max(1, n/3)) }

// DecodeShort reports whether there are too few decode engines: after a loss, so that KV
// cache transfers queue on their network links and even short answers are late, or while
// their batches are nearly full, so that long answers slow down and fill them further.
func (s Settings) DecodeShort(engines []instances.Instance, changing map[string]instances.Stage, d Demand) bool {
	now := countDecode(engines, changing)
	return now < minDecodeEngines(len(engines), zonesOf(engines)) ||
		d.DecodeSlots > 0 && now < s.decoding(engines, d, s.ShortHeadroom)
}

// countDecode counts the engines that decode or are changing to decode.
func countDecode(engines []instances.Instance, changing map[string]instances.Stage) int {
	n := 0
	for _, e := range engines {
		if stageOf(e, changing) == instances.Decode {
			n++
		}
	}
	return n
}

// Change moves an engine to a stage.
type Change struct {
	Engine instances.Instance
	To     instances.Stage
}

// Next returns the changes to make now. A zone of at least minZoneForDecode engines
// without a decode engine gets one, since it could answer nothing when partitioned from
// the others. Apart from that, nothing changes under load while the headroom is between
// MinHeadroom and MaxHeadroom and near the desired number: a changing engine is unavailable and loses its cached
// prefixes. Engines in changing count under the stage they change to. Without load all
// changes are made at once.
func (s Settings) Next(engines []instances.Instance, changing map[string]instances.Stage, d Demand, loaded bool) []Change {
	allowed := len(engines)
	if loaded {
		allowed = max(1, saturate.Int(s.MaxChangingShare*float64(len(engines))))
		if s.DecodeShort(engines, changing, d) {
			allowed = max(allowed, saturate.Int(s.MaxReplacedShare*float64(len(engines))))
			if d.DecodeSlots > 0 {
				allowed = max(allowed, minReplaced)
			}
		}
		allowed -= countChanging(engines, changing)
	}
	changes := addDecodePerZone(engines, changing, allowed)
	after := maps.Clone(changing)
	if after == nil {
		after = map[string]instances.Stage{}
	}
	for _, c := range changes {
		after[c.Engine.ID] = c.To
	}
	return append(changes, s.followDemand(engines, after, d, loaded, allowed-len(changes))...)
}

// countChanging counts the engines that have not announced the ordered stage yet.
func countChanging(engines []instances.Instance, changing map[string]instances.Stage) int {
	n := 0
	for _, e := range engines {
		if to, ok := changing[e.ID]; ok && to != e.Stage {
			n++
		}
	}
	return n
}

// addDecodePerZone returns a change to decode for each zone of at least
// minZoneForDecode engines that has no decode engine.
func addDecodePerZone(engines []instances.Instance, changing map[string]instances.Stage, limit int) []Change {
	byZone := map[string][]instances.Instance{}
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	var out []Change
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[zone]
		isDecode := func(e instances.Instance) bool { return stageOf(e, changing) == instances.Decode }
		if len(list) < minZoneForDecode || len(out) >= limit || slices.ContainsFunc(list, isDecode) {
			continue
		}
		out = append(out, pick(list, changing, instances.Decode, 1)...)
	}
	return out
}

// followDemand returns the changes that the demand requires.
func (s Settings) followDemand(engines []instances.Instance, changing map[string]instances.Stage, d Demand, loaded bool, limit int) []Change {
	now := countDecode(engines, changing)
	desired := s.Desired(engines, d)
	tooFew := now < s.decoding(engines, d, s.MinHeadroom) || float64(now) < minDesiredShare*float64(desired)
	tooMany := now > s.decoding(engines, d, s.MaxHeadroom)
	if loaded && !tooFew && !tooMany {
		return nil
	}
	missing := desired - now
	if missing >= 0 {
		return pick(engines, changing, instances.Decode, min(missing, limit))
	}
	if loaded {
		limit = min(limit, s.prefillMissing(len(engines)-now, d))
	}
	return pick(engines, changing, instances.Prefill, min(-missing, limit))
}

// prefillMissing returns how many more engines must prefill until their utilization is
// PrefillEnough. Where a fleet has engines to spare under load, a change gains callers
// nothing; before the load, when no prefix is cached, it does.
func (s Settings) prefillMissing(prefillers int, d Demand) int {
	return max(0, saturate.Int(math.Ceil(s.prefillNeed(d)/s.PrefillEnough))-prefillers)
}

func stageOf(e instances.Instance, changing map[string]instances.Stage) instances.Stage {
	if to, ok := changing[e.ID]; ok {
		return to
	}
	return e.Stage
}

func zonesOf(engines []instances.Instance) int {
	zones := map[string]bool{}
	for _, e := range engines {
		zones[e.Zone] = true
	}
	return len(zones)
}

// pick chooses engines to change to a stage, each from the zone with the most engines of
// the other stage, to keep the zones balanced. A zone of at least minZoneForDecode
// engines keeps one decode engine.
func pick(engines []instances.Instance, changing map[string]instances.Stage, to instances.Stage, limit int) []Change {
	candidates := map[string][]instances.Instance{} // by zone
	count := map[string]int{}                       // of the other stage, by zone
	size := map[string]int{}
	for _, e := range engines {
		size[e.Zone]++
		if stageOf(e, changing) == to {
			continue
		}
		count[e.Zone]++
		if _, busy := changing[e.ID]; !busy {
			candidates[e.Zone] = append(candidates[e.Zone], e)
		}
	}
	for _, list := range candidates {
		slices.SortFunc(list, func(a, b instances.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	var out []Change
	for len(out) < limit {
		zone := ""
		for z, list := range candidates {
			if to == instances.Prefill && count[z] == 1 && size[z] >= minZoneForDecode {
				continue
			}
			if len(list) > 0 && (zone == "" || count[z] > count[zone] || count[z] == count[zone] && z < zone) {
				zone = z
			}
		}
		if zone == "" {
			break
		}
		out = append(out, Change{Engine: candidates[zone][0], To: to})
		candidates[zone] = candidates[zone][1:]
		count[zone]--
	}
	return out
}
