package routing

import "sync/atomic"

// Sampler chooses which admitted candidates are scored. A random sample prevents
// entry hosts with the same stale reports from all picking the same engine.
type Sampler interface {
	Sample(q *query, list *shortlist)
}

// randomSampler samples random engines of the own zone and of other zones, and adds
// the engines that have cached most of the prompt's prefix.
type randomSampler struct {
	cfg  *Config
	seed uint64
	next atomic.Uint64
}

// Sample implements Sampler.
func (s *randomSampler) Sample(q *query, list *shortlist) {
	list.sample = list.sample[:0]
	s.addCached(q, list)
	s.draw(list, list.local, s.cfg.SampleLocal)
	s.draw(list, list.remote, s.cfg.SampleRemote)
}

// draw moves k random entries of from to its front and adds them to the sample.
func (s *randomSampler) draw(list *shortlist, from []int32, k int) {
	for i := range min(k, len(from)) {
		j := i
		if k < len(from) {
			j += int(s.random() % uint64(len(from)-i))
		}
		from[i], from[j] = from[j], from[i]
		list.addSample(from[i])
	}
}

// addCached adds the candidates with the longest cached prefixes to the sample.
func (s *randomSampler) addCached(q *query, list *shortlist) {
	if len(q.matches.Holders()) == 0 {
		return
	}
	for range s.cfg.SampleCached {
		best, most := int32(-1), 0
		best, most = q.longestMatch(list, list.local, best, most)
		best, _ = q.longestMatch(list, list.remote, best, most)
		if best < 0 {
			return
		}
		list.sample = append(list.sample, best)
	}
}

func (q *query) longestMatch(list *shortlist, from []int32, best int32, most int) (int32, int) {
	for _, i := range from {
		blocks := q.matches.Blocks(q.cands[i].slot)
		if blocks > most && !list.sampled(i) {
			best, most = i, blocks
		}
	}
	return best, most
}

func (s *shortlist) sampled(i int32) bool {
	for _, j := range s.sample {
		if i == j {
			return true
		}
	}
	return false
}

func (s *shortlist) addSample(i int32) {
	if !s.sampled(i) {
		s.sample = append(s.sample, i)
	}
}

// sampleAll puts every entry into the sample.
func (s *shortlist) sampleAll() {
	s.sample = append(s.sample[:0], s.local...)
	s.sample = append(s.sample, s.remote...)
}

// random returns the next number of a SplitMix64 sequence, without locking.
func (s *randomSampler) random() uint64 {
	const increment = 0x9e3779b97f4a7c15
	z := s.seed + s.next.Add(1)*increment
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
