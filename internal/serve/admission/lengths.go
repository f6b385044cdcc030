// Package admission decides when a request may start: it estimates the length
// of the answer, queues requests by class, age and fair share between calling
// teams, and refuses early those that cannot meet their deadline. It does no
// I/O and has no clock.
package admission

import (
	"hash/maphash"
	"math"
	"sync"
)

// Key identifies a length history: answers to one team from one endpoint have
// similar lengths.
type Key struct {
	Team     string // calling team
	Endpoint string
}

// Settings of the length histograms.
const (
	lengthBuckets      = 72  // logarithmic buckets
	bucketsPerDoubling = 4   // buckets per doubling of the length
	halveAfter         = 400 // observations after which all counts are halved
	priorWeight        = 8   // weight of the prior, in observations
	lengthShards       = 16
	maxKeysPerShard    = 4096 // keys kept per shard; further keys use the prior
)

// histogram counts answer lengths. Older answers weigh less: counts are halved
// each time their total reaches halveAfter.
type histogram struct {
	counts [lengthBuckets]float32
	total  float32
	tokens float32 // sum of the counted lengths, halved with the counts
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

// above returns the number of counted lengths in bucket at and all buckets above it.
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
// endpoint. It is safe for concurrent use.
type Lengths struct {
	prior  int // assumed answer length without history, in tokens
	seed   maphash.Seed
	shards [lengthShards]lengthShard
}

type lengthShard struct {
	mu   sync.Mutex
	hist map[Key]*histogram // guarded by mu
}

// NewLengths returns an estimator without history, which assumes answers of
// prior tokens.
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

// Observe records the length of a complete answer in tokens.
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

// Estimate returns a quantile, from 0 to 1, of the answer length in tokens,
// given that the answer already has generated tokens. The result is above
// generated, and at most maxTokens when that is positive.
func (l *Lengths) Estimate(k Key, quantile float64, generated, maxTokens int) int {
	n := l.quantile(k, quantile, generated)
	n = max(n, generated+1)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Mean returns the mean answer length in tokens, the prior included.
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
