package placement

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/instances"
)

// contain leaves one decode engine to a prompt that may end its engine: the same at all hosts
// that have the same list, so that such prompts risk as few engines as possible. It answers
// the load of a block that ends each engine which begins to answer it.
func contain(list []*instance, key string) []*instance {
	if key == "" {
		return list
	}
	var out []*instance
	var chosen *instance
	var highest uint64
	for _, in := range list {
		if in.Stage == instances.Prefill {
			out = append(out, in)
		} else if weight := xxhash.Sum64String(key + "/" + in.ID); chosen == nil || weight > highest {
			chosen, highest = in, weight
		}
	}
	if chosen != nil {
		out = append(out, chosen)
	}
	return out
}

// peakPeriod is how long the highest number of instances of an endpoint is remembered: instances
// that have ended are back within seconds.
const peakPeriod = 30 * time.Second

// peak is the most instances that an endpoint had lately.
type peak struct {
	instances int
	at        time.Time
}

// notePeaks records how many instances each endpoint has. The caller holds f.mu.
func (f *Fleet) notePeaks(now time.Time) {
	for endpoint, list := range f.byEndpoint {
		if p := f.peaks[endpoint]; len(list) >= p.instances || now.Sub(p.at) > peakPeriod {
			f.peaks[endpoint] = peak{len(list), now}
		}
	}
	for endpoint, p := range f.peaks {
		if now.Sub(p.at) > peakPeriod && len(f.byEndpoint[endpoint]) == 0 {
			delete(f.peaks, endpoint)
		}
	}
}

// LastInstanceError reports that a request which may end its instance was not sent to the only one
// that is left.
type LastInstanceError struct {
	Endpoint string
	Lately   int // instances that the endpoint had within peakPeriod
}

func (e *LastInstanceError) Error() string {
	return fmt.Sprintf("%q has one instance left of %d and the request may end it: come back when others have started", e.Endpoint, e.Lately)
}

// PlaceContained picks the instance of a plain service for a request that may end it: the same at
// all hosts for requests with the same key. It answers the load of a request that ends each instance
// which runs it and comes again at any host. The last instance of several gets none; hasEnded tells
// which announced instances have ended.
func (f *Fleet) PlaceContained(endpoint, key string, excluded map[string]bool, hasEnded func(id string, born int64) bool, now time.Time) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*instance
	for _, in := range f.byEndpoint[endpoint] {
		if !hasEnded(in.ID, in.Born) {
			running = append(running, in)
		}
	}
	if lately := f.peaks[endpoint].instances; len(running) == 1 && lately > 1 {
		return Target{}, &LastInstanceError{endpoint, lately}
	}
	candidates := contain(f.available(running, excluded, now), key)
	if len(candidates) == 0 {
		return Target{}, f.noInstance(endpoint, excluded, now)
	}
	candidates[0].notices.Send()
	return candidates[0].target(), nil
}
