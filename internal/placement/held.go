package placement

import "time"

const (
	// maxHeld bounds the parts remembered of one engine.
	maxHeld = 8192
	// newsAfter is how long after it was last told that a part is held it is told again.
	newsAfter = 3 * time.Second
	// maxNews bounds the news that wait to be told.
	maxNews = 4096
)

// Held tells what a host learned of an engine. It was sent prompts with shared parts,
// so it holds them now or soon; keys stand for the parts up to each of them.
type Held struct {
	Instance string   `json:"instance"`
	Keys     []uint64 `json:"keys,omitempty"`
	// Rate is at which it was seen to read, in tokens in a millisecond; 0 when it was not.
	Rate float64 `json:"rate,omitempty"`
}

// hold notes that an engine is sent parts. The caller holds f.mu.
func (f *Fleet) hold(in *instance, keys []uint64, now time.Time) {
	for _, key := range keys {
		before, ok := in.held[key]
		if !ok || now.Sub(before) > newsAfter {
			f.newsOf(in.ID).Keys = append(f.newsOf(in.ID).Keys, key)
			f.newsCount++
			in.note(key, now)
		}
	}
	if f.newsCount > maxNews {
		clear(f.news) // nobody takes them
		f.newsCount = 0
	}
}

// newsOf returns the news of an instance that wait to be told. The caller holds f.mu.
func (f *Fleet) newsOf(id string) *Held {
	h := f.news[id]
	if h == nil {
		h = &Held{Instance: id}
		f.news[id] = h
	}
	return h
}

func (in *instance) note(key uint64, now time.Time) {
	if len(in.held) >= maxHeld {
		clear(in.held)
	}
	in.held[key] = now
}

// News returns what engines hold as far as it was not told yet, and forgets it.
func (f *Fleet) News() []Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Held, 0, len(f.news))
	for _, h := range f.news {
		out = append(out, *h)
	}
	clear(f.news)
	f.newsCount = 0
	return out
}

// Untold takes back news that could not be told.
func (f *Fleet) Untold(news []Held) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range news {
		h := f.newsOf(n.Instance)
		h.Keys = append(h.Keys, n.Keys...)
		f.newsCount += len(n.Keys)
	}
}

// SetHeld takes the news of other hosts.
func (f *Fleet) SetHeld(news []Held, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range news {
		if in := f.known[n.Instance]; in != nil {
			for _, key := range n.Keys {
				in.note(key, now)
			}
			if n.Rate > 0 {
				in.rates.add(n.Rate)
			}
		}
	}
}
