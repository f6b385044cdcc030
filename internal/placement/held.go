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

// Held tells that an engine was sent prompts with shared parts, so it holds them now
// or soon. Keys stand for the parts up to each of them.
type Held struct {
	Instance string   `json:"instance"`
	Keys     []uint64 `json:"keys"`
}

// hold notes that an engine is sent parts. The caller holds f.mu.
func (f *Fleet) hold(in *instance, keys []uint64, now time.Time) {
	for _, key := range keys {
		before, ok := in.held[key]
		if !ok || now.Sub(before) > newsAfter {
			f.news[in.ID] = append(f.news[in.ID], key)
			f.newsCount++
			in.note(key, now)
		}
	}
	if f.newsCount > maxNews {
		clear(f.news) // nobody takes them
		f.newsCount = 0
	}
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
	for id, keys := range f.news {
		out = append(out, Held{Instance: id, Keys: keys})
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
		f.news[n.Instance] = append(f.news[n.Instance], n.Keys...)
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
		}
	}
}
