// Package admission decides when a request may start: it estimates how long
// its answer will be, keeps waiting requests in order of class, age and fair
// share between calling teams, and refuses early what cannot be in time. It
// does no I/O and has no clock.
package admission

import (
	"hash/maphash"
	"math"
	"sync"
)

// Key names whose answers have similar lengths.
type Key struct {
	Team     string // calling team
	Endpoint string
}

// Settings of the length histograms.
const (
	lengthBuckets      = 72  // logarithmic buckets, bucketsPerDouble for each doubling
	bucketsPerDoubling = 4   // buckets per doubling of the length
	halveAfter         = 400 // observations after which all counts are halved
	priorWeight        = 8   // observations that the prior is worth
	lengthShards       = 16
	maxKeysPerShard    = 4096 // keys kept per shard; further keys use the prior
)

// histogram counts answer lengths. Older answers weigh less: counts are halved
// each time their total reaches halveAt.
type histogram struct {
	counts [lengthBuckets]float32
	total  float32
	tokens float32 // sum of the counted lengths
}

func (h *histogram) add(tokens int) {
	h.counts[bucketOf(tokens)]++
	h.total++
	h.tokens += float32(tokens)
	if h.total < halveAfter {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
	h.tokens /= 2
}

// above returns the number of counted lengths beyond bucket at.
func (h *histogram) above(at int) float32 {
	var n float32
	for _, c := range h.counts[at:] {
		n += c
	}
	return n
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Log2(float64(tokens))*bucketsPerDoubling)+1)
}

// bucketMax returns the largest length of a bucket.
func bucketMax(bucket int) int {
	return int(math.Exp2(float64(bucket) / bucketsPerDoubling))
}

// Lengths estimates output lengths from the history of each calling team and
// endpoint. All methods may be called by many goroutines at once.
type Lengths struct {
	prior  int // tokens, assumed before there is history
	seed   maphash.Seed
	shards [lengthShards]lengthShard
}

type lengthShard struct {
	mu   sync.Mutex
	hist map[Key]*histogram // guarded by mu
}

// NewLengths returns an estimator that assumes prior tokens before it has seen
// answers.
func NewLengths(prior int) *Lengths {
	l := &Lengths{prior: prior, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].hist = make(map[Key]*histogram)
	}
	return l
}

func (l *Lengths) shard(k Key) *lengthShard {
	return &l.shards[maphash.Comparable(l.seed, k)%lengthShards]
}

// Observe notes the length of a whole answer in tokens.
func (l *Lengths) Observe(k Key, tokens int) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hist[k]
	if h == nil {
		if len(s.hist) >= maxKeysPerShard {
			return
		}
		h = &histogram{}
		s.hist[k] = h
	}
	h.add(tokens)
}

// Estimate returns the length in tokens that a share quantile of answers stays
// within, from 0 to 1, given that the answer already has generated tokens. It
// is above generated, and at most maxTokens when that is positive.
func (l *Lengths) Estimate(k Key, quantile float64, generated, maxTokens int) int {
	n := l.quantile(k, quantile, generated)
	n = max(n, generated+1)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Mean returns the mean length in tokens.
func (l *Lengths) Mean(k Key) float64 {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hist[k]
	if h == nil {
		return float64(l.prior)
	}
	prior := float32(l.prior) * priorWeight
	return float64((h.tokens + prior) / (h.total + priorWeight))
}

func (l *Lengths) quantile(k Key, quantile float64, generated int) int {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	from := bucketOf(generated + 1)
	prior := max(from, bucketOf(l.prior))
	h := s.hist[k]
	if h == nil {
		return bucketMax(prior)
	}
	rest := (h.above(from) + priorWeight) * float32(1-quantile)
	for b := lengthBuckets - 1; b > from; b-- {
		rest -= h.counts[b]
		if b == prior {
			rest -= priorWeight
		}
		if rest < 0 {
			return bucketMax(b)
		}
	}
	return bucketMax(from)
}
