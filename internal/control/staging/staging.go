// Package staging decides which engines only read prompts and which generate. It does
// no I/O and reads no clock.
//
// The load it answers: long prompts with short answers, whose mix turns around faster
// than an engine changes its stage. Placement meets the turns; the stages follow the
// mean of the mix, so changes are rare. An engine that generates while it reads makes
// the streams of all its requests pause, so there are no more generating engines than
// answers need, with one in each availability zone where engines allow it. The others
// read: the time to the first event grows with the prompts that wait, while generated
// tokens have room up to a full batch.
package staging

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"filberthook/internal/engines/instances"
)

// Demand is what callers ask of an endpoint's engines.
type Demand struct {
	PromptTokens float64 // to be read in a second, what engines hold left out
	OutputTokens float64 // to be generated in a second
}

// Settings of the decision.
type Settings struct {
	PrefillRate      float64 // prompt tokens that an engine reads in a second, as seen at idle ones
	DecodeRate       float64 // tokens that an engine generates in a second for a full batch
	Headroom         float64 // generating engines for each one that the answers need
	MinHeadroom      float64 // headroom below which engines change to generating
	MaxHeadroom      float64 // headroom above which they change to reading
	MaxChangingShare float64 // part of the engines that may change at once under load
	MaxReplacedShare float64 // the same after a loss of generating engines
}

// DefaultSettings fit the engines of the brief: a step of about 6 ms for a batch of
// some 55 requests, and reading in pieces of 2,048 tokens.
func DefaultSettings() Settings {
	return Settings{PrefillRate: 55_000, DecodeRate: 9_000, Headroom: 2, MinHeadroom: 1.2, MaxHeadroom: 4, MaxChangingShare: 0.06, MaxReplacedShare: 0.15}
}

// minDecode is how many generating engines are kept for a loss: with a third of
// them lost the others carry on.
const minDecode = 3

// minZoneForDecode is how many engines a zone has to have to keep a generating one for
// itself: of two, the one taken from reading would be missed more than it is of use.
const minZoneForDecode = 3

// DesiredDecode returns how many of n engines in a number of zones should generate.
func (s Settings) DesiredDecode(n, zones int, d Demand) int {
	return s.decodeEngines(n, zones, d, s.Headroom)
}

// decodeEngines returns how many engines generate with a headroom.
func (s Settings) decodeEngines(n, zones int, d Demand, headroom float64) int {
	if n <= 1 {
		return n
	}
	prefill := d.PromptTokens / s.PrefillRate
	decode := headroom * d.OutputTokens / s.DecodeRate
	if total := prefill + decode; total > float64(n) {
		decode *= float64(n) / total // both fall short by the same part
	}
	return min(max(int(math.Ceil(decode)), minDecodeEngines(n, zones)), n-1)
}

// minDecodeEngines returns how many of n engines generate whatever the demand.
func minDecodeEngines(n, zones int) int { return min(max(minDecode, zones), max(1, n/3)) }

// DecodeShort reports whether too few engines generate after a loss: the KV cache of all
// prompts then queues at the links of those that are left, so that even short answers
// are late.
func (s Settings) DecodeShort(engines []instances.Instance, changing map[string]instances.Stage) bool {
	return countDecode(engines, changing) < minDecodeEngines(len(engines), zonesOf(engines))
}

// countDecode counts the engines that generate or are on their way to it.
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

// Next returns the changes to make now. A zone of ownGenerating engines of which none
// generates gets one: cut off from the others it could answer nothing. Else there are
// none under load while the headroom is between Fewest and Most, as each change takes
// an engine away and its subjects with it. Engines in changing are on their way and
// count where they go. Without load all changes are made at once.
func (s Settings) Next(engines []instances.Instance, changing map[string]instances.Stage, d Demand, loaded bool) []Change {
	allowed := len(engines)
	if loaded {
		share := s.MaxChangingShare
		if s.DecodeShort(engines, changing) {
			share = s.MaxReplacedShare
		}
		allowed = max(1, int(share*float64(len(engines)))) - countChanging(engines, changing)
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

// countChanging returns how many engines have not announced yet what they were ordered.
func countChanging(engines []instances.Instance, changing map[string]instances.Stage) int {
	n := 0
	for _, e := range engines {
		if to, ok := changing[e.ID]; ok && to != e.Stage {
			n++
		}
	}
	return n
}

// addDecodePerZone gives zones of ownGenerating engines a generating one where they have none.
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

// followDemand returns the changes that the demand asks for.
func (s Settings) followDemand(engines []instances.Instance, changing map[string]instances.Stage, d Demand, loaded bool, limit int) []Change {
	n, zones := len(engines), zonesOf(engines)
	now := countDecode(engines, changing)
	enough := now >= s.decodeEngines(n, zones, d, s.MinHeadroom) && now <= s.decodeEngines(n, zones, d, s.MaxHeadroom)
	if loaded && enough {
		return nil
	}
	missing := s.DesiredDecode(n, zones, d) - now
	to := instances.Decode
	if missing < 0 {
		to = instances.Prefill
	}
	return pick(engines, changing, to, min(max(missing, -missing), limit))
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

// pick chooses engines that are to change to a stage, each from the zone that has
// most of the other stage, so that the zones stay even. A zone of
// ownGenerating engines keeps one that generates.
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
