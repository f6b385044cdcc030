package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/dialect"
	"filberthook/internal/instances"
)

// Estimates of engines' work.
const (
	// heldFor is how long this host counts on a part that it had read at an engine.
	heldFor = 30 * time.Second
	// maxHeld bounds the parts remembered of one engine.
	maxHeld = 4096
	// transferOverhead is the set-up of a transfer of KV cache and the second call.
	transferOverhead = 8.0 // ms
	// transferCost weighs the price of moved KV cache against time.
	transferCost = 0.0015 // ms for each token
	// firstTokenTime is the time from a read prompt to the first event.
	firstTokenTime = 15.0 // ms
	// waitHalfLife is how fast an observed wait is forgotten: queues of engines last
	// a few prompts.
	waitHalfLife = 600 * time.Millisecond
	// homes is how many engines of a subject are preferred to all others.
	homes = 2
	// otherHomePenalty keeps a subject at its first engine while that is about as fast.
	otherHomePenalty = 6.0 // ms
	// foreignEnginePenalty keeps prompts at the engines of their subject.
	foreignEnginePenalty = 12.0 // ms
	// hopelessFactor allows for estimates that are too long.
	hopelessFactor = 1.3
)

// Prompt is a generation request to place.
type Prompt struct {
	Endpoint string
	Model    string
	Parts    []dialect.Part
	Tokens   int           // of the whole prompt
	Left     time.Duration // until the answer is of no use
	Whole    bool          // read and generate at one engine only
	Excluded map[string]bool
}

// Plan is where a prompt is read and where its answer is generated.
type Plan struct {
	Read     *Target // prefill engine that reads the prompt first; nil to read at Run
	Run      Target
	Tokens   int // expected to be read
	Expected time.Duration
}

// chain returns a key for each shared part of a prompt, which stands for all parts
// up to it: a part is of use only after the same parts. The last part belongs to
// the request.
func chain(model string, parts []dialect.Part) []uint64 {
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

// Place plans a prompt. It returns a *HopelessError when no engine would answer in
// time, and a *NoneError when there is none.
func (f *Fleet) Place(p *Prompt, now time.Time) (Plan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keys := chain(p.Model, p.Parts)
	list := f.lists[p.Endpoint]
	candidates := available(withModel(list, p.Model), p.Excluded, now)
	plan, expected := f.best(p, keys, candidates, now)
	if math.IsInf(expected, 1) {
		return Plan{}, &NoneError{Endpoint: p.Endpoint, Known: len(list), Excluded: len(p.Excluded)}
	}
	plan.Expected = time.Duration(expected * float64(time.Millisecond))
	if p.Left > 0 && plan.Expected > time.Duration(hopelessFactor*float64(p.Left)) {
		return Plan{}, &HopelessError{Expected: plan.Expected, Left: p.Left}
	}
	return plan, nil
}

func withModel(list []*instance, model string) []*instance {
	out := make([]*instance, 0, len(list))
	for _, in := range list {
		if model == "" || len(in.Models) == 0 || carries(in.Models, model) {
			out = append(out, in)
		}
	}
	return out
}

func carries(models []instances.Model, name string) bool {
	for _, m := range models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// best compares reading at the best decode engine with reading at the best prefill
// engine. The result is infinite when there is no engine.
func (f *Fleet) best(p *Prompt, keys []uint64, candidates []*instance, now time.Time) (Plan, float64) {
	whole, wholeTime := f.bestReader(p, keys, candidates, func(in *instance) bool { return in.Stage != instances.Prefill }, now)
	if whole == nil {
		return Plan{}, math.Inf(1)
	}
	plan := Plan{Run: whole.target(), Tokens: whole.unread(p, keys, now)}
	wholeTime += firstTokenTime
	if p.Whole {
		return plan, wholeTime
	}
	reader, readTime := f.bestReader(p, keys, candidates, func(in *instance) bool { return in.Stage == instances.Prefill }, now)
	if reader == nil {
		return plan, wholeTime
	}
	apart := readTime + transferOverhead + firstTokenTime
	if apart+transferCost*float64(p.Tokens) >= wholeTime {
		return plan, wholeTime
	}
	runner := f.bestRunner(candidates)
	target := reader.target()
	return Plan{Read: &target, Run: runner.target(), Tokens: reader.unread(p, keys, now)}, apart
}

// bestReader returns the engine that would have read the prompt first, and after
// how many ms.
func (f *Fleet) bestReader(p *Prompt, keys []uint64, candidates []*instance, of func(*instance) bool, now time.Time) (*instance, float64) {
	var list []*instance
	for _, in := range candidates {
		if of(in) {
			list = append(list, in)
		}
	}
	rank := ranks(list, subject(keys, p))
	var best *instance
	bestScore, bestTime := math.Inf(1), math.Inf(1)
	for i, in := range list {
		home := rank[i] < homes
		tokens := in.unread(p, keys, now)
		if rank[i] == 0 {
			tokens = p.own()
		}
		ms := f.readTime(in, tokens, now)
		score := ms
		if rank[i] == 1 {
			score += otherHomePenalty
		} else if !home {
			score += foreignEnginePenalty
		}
		if score < bestScore {
			best, bestScore, bestTime = in, score, ms
		}
	}
	return best, bestTime
}

// subject returns what prompts are kept together by: the last shared part, or the
// prompt itself.
func subject(keys []uint64, p *Prompt) uint64 {
	if len(keys) > 0 {
		return keys[len(keys)-1]
	}
	if len(p.Parts) > 0 {
		return xxhash.Sum64String(p.Parts[0].ID)
	}
	return 0
}

// ranks orders engines by rendezvous hashing, so that every host finds the same
// home for a subject from the same list, and few subjects move when the list changes.
func ranks(list []*instance, subject uint64) []int {
	weights := make([]uint64, len(list))
	prefix := strconv.FormatUint(subject, 36) + "/"
	for i, in := range list {
		weights[i] = xxhash.Sum64String(prefix + in.ID)
	}
	out := make([]int, len(list))
	for i := range weights {
		for j := range weights {
			if weights[j] > weights[i] {
				out[i]++
			}
		}
	}
	return out
}

// own returns the tokens that no other request shares.
func (p *Prompt) own() int {
	if n := len(p.Parts); n > 0 {
		return p.Parts[n-1].Tokens
	}
	return p.Tokens
}

// unread returns the tokens that an engine would have to read.
func (in *instance) unread(p *Prompt, keys []uint64, now time.Time) int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	tokens = max(tokens, p.Tokens)
	for i, key := range keys {
		if at, ok := in.held[key]; !ok || now.Sub(at) > heldFor {
			break
		}
		tokens -= p.Parts[i].Tokens
	}
	return max(0, tokens)
}

// readTime returns after how many ms an engine would have read tokens.
func (f *Fleet) readTime(in *instance, tokens int, now time.Time) float64 {
	waiting := max(in.backlog/f.rate(in), in.wait.decayed(now, waitHalfLife))
	return waiting + float64(tokens)/f.rate(in)
}

// rate returns the prompt tokens that an engine reads in a millisecond.
func (f *Fleet) rate(in *instance) float64 {
	if in.Stage == instances.Prefill {
		return f.settings.PrefillRate
	}
	return f.settings.PrefillRate * f.settings.DecodeShare
}

// bestRunner returns the engine that generates with the fewest requests of this
// host. There is one when there was a reader that generates.
func (f *Fleet) bestRunner(candidates []*instance) *instance {
	var best *instance
	bestScore := math.Inf(1)
	for _, in := range candidates {
		if in.Stage == instances.Prefill {
			continue
		}
		score := float64(in.outstanding) + in.backlog/1000 + f.draw()
		if score < bestScore {
			best, bestScore = in, score
		}
	}
	return best
}

// Reading is a prompt under way at an engine.
type Reading struct {
	id     string
	tokens float64
	keys   []uint64
	sent   time.Time
	read   bool
}

// BeginPrompt records that a prompt is sent to an engine that reads tokens of it.
func (f *Fleet) BeginPrompt(id string, p *Prompt, tokens int, now time.Time) *Reading {
	r := &Reading{id: id, tokens: float64(tokens), keys: chain(p.Model, p.Parts), sent: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.known[id]; in != nil {
		in.outstanding++
		in.backlog += r.tokens
	}
	return r
}

// PromptRead records that the prompt was read: its first event or its handle came.
func (f *Fleet) PromptRead(r *Reading, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.known[r.id]
	if in == nil || r.read {
		return
	}
	f.settle(in, r)
	took := float64(now.Sub(r.sent)) / float64(time.Millisecond)
	in.wait.add(max(0, took-r.tokens/f.rate(in)-firstTokenTime), now)
	if len(in.held)+len(r.keys) > maxHeld {
		clear(in.held)
	}
	for _, key := range r.keys {
		in.held[key] = now
	}
}

// settle takes the prompt out of the engine's backlog. The caller holds f.mu.
func (f *Fleet) settle(in *instance, r *Reading) {
	if !r.read {
		r.read = true
		in.backlog = max(0, in.backlog-r.tokens)
	}
}

// EndPrompt records how a request to an engine ended.
func (f *Fleet) EndPrompt(r *Reading, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.known[r.id]
	if in == nil {
		return
	}
	f.settle(in, r)
	in.outstanding = max(0, in.outstanding-1)
	in.judge(o, now)
}
