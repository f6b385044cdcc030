package quarantine

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

// repeats plays requests to a plain service: most come once, some are popular, and callers repeat
// those that were not served.
type repeats struct {
	*play
	number int
	again  []Suspect // requests that their callers repeat at once
}

const (
	popularPaths = 20
	popularShare = 0.3
	unsafeShare  = 0.5
	// fewInstances is the least number of instances that must serve sound requests all the time: fewer
	// may all be away at once.
	fewInstances = 4
	repeatShare  = 0.7 // of the requests that were not served, those that their callers repeat at once
)

func newRepeats(seed uint64, hosts, instances int) *repeats {
	r := &repeats{play: newPlay(seed, hosts, instances)}
	r.failed = func(run *playRun) {
		if r.rng.Float64() < repeatShare {
			r.again = append(r.again, run.blocks[0])
		}
	}
	return r
}

func named(path string) Suspect { return Identity{Endpoint: "e", Target: path}.Suspect() }

// soundName returns the name of a sound request: a popular one by Zipf's law, or one of its own.
func (r *repeats) soundName() Suspect {
	if r.rng.Float64() < popularShare {
		return named(fmt.Sprint("popular ", int(math.Pow(popularPaths, r.rng.Float64()))))
	}
	r.number++
	return named(fmt.Sprint("own ", r.number))
}

// tick plays one step of the clock.
func (r *repeats) tick(sound, bad float64) {
	r.step(0, 0)
	again := r.again
	r.again = nil
	for _, name := range again {
		r.submit(name)
	}
	for range r.count(sound) {
		r.sound++
		r.submit(r.soundName())
	}
	for _, name := range slices.Sorted(maps.Keys(r.bad)) {
		for range r.count(bad) {
			r.submit(name)
		}
	}
}

// submit sends a request with a name at any host.
func (r *repeats) submit(name Suspect) {
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	names := []Suspect{name}
	r.sendAt(&playRun{host: h, request: h.ledger.Request(names), blocks: names, once: r.rng.Float64() < unsafeShare, since: r.now})
}

// advance plays for some time with rates of sound and bad requests a second.
func (r *repeats) advance(d time.Duration, sound, bad float64) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(sound, bad)
	}
}

func TestRequestThatComesAgainEndsFewInstancesHoweverManyHostsThereAre(t *testing.T) {
	for _, hosts := range []int{1, 8, 70, 294} {
		for _, badRequests := range []int{1, 2} {
			for _, instances := range []int{2, 3, 4, 9} {
				t.Run(fmt.Sprint(hosts, " hosts, ", badRequests, " requests, ", instances, " instances"), func(t *testing.T) {
					t.Parallel()
					r := newRepeats(uint64(hosts*100+instances), hosts, instances)
					r.playFor(t, badRequests, instances)
				})
			}
		}
	}
}

func (r *repeats) playFor(t *testing.T, badRequests, instances int) {
	t.Helper()
	r.advance(5*time.Second, 40, 0)
	for n := range badRequests {
		r.bad[named(fmt.Sprint("bad ", n))] = true
	}
	r.advance(2*playContact, 40, 3)
	r.began, r.sound = 0, 0
	r.advance(34*time.Second, 40, 3)
	if allowed := 4 * badRequests; len(r.ends) > allowed {
		t.Errorf("%d instances ended, allowed %d", len(r.ends), allowed)
	}
	later := 0
	if len(r.ends) >= 3*badRequests {
		for _, at := range r.arrivals {
			if at.After(r.ends[3*badRequests-1].Add(playContact)) {
				later++
			}
		}
	}
	if later > 3*badRequests {
		t.Errorf("%d arrivals later than %v after the third end, allowed %d", later, playContact, 3*badRequests)
	}
	if share := float64(r.began) / float64(r.sound); instances >= fewInstances && share < 0.95 {
		t.Errorf("%.3f of the sound requests were served at the first attempt, want 0.95", share)
	}
	if len(r.blamedGood) > 0 {
		t.Errorf("sound requests in quarantine: %v", r.blamedGood)
	}
	t.Logf("%d ends, %d arrivals, %d of them late, %d of %d sound requests served at once, %d refused", len(r.ends), len(r.arrivals), later, r.began, r.sound, r.refused)
}

func TestNoSoundRequestIsBlamedForEndsOfOthers(t *testing.T) {
	const parts = 5 // run in parallel
	seeds := seedCount(t, 50)
	for part := range parts {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(part); seed < seeds; seed += parts {
				playEndsOfOthers(t, seed)
			}
		})
	}
}

// playEndsOfOthers plays ends by chance of few instances, in half of the seeds beside a bad request.
func playEndsOfOthers(t *testing.T, seed uint64) {
	t.Helper()
	hosts := []int{1, 8, 24, 70}[seed%4]
	r := newRepeats(seed, hosts, []int{3, 4, 9}[seed%3])
	r.advance(2*time.Second, 40, 0)
	if seed%2 == 0 {
		r.bad[named("bad")] = true
	}
	for range 8 {
		switch r.rng.IntN(3) {
		case 0:
			r.end(r.engines[r.rng.IntN(len(r.engines))])
		case 1: // all at one moment
			for _, e := range r.engines {
				r.end(e)
			}
		case 2: // one after the other
			for _, e := range r.engines {
				r.end(e)
				r.advance(time.Duration(60+r.rng.IntN(200))*time.Millisecond, 40, 3)
			}
		}
		r.advance(time.Duration(r.rng.IntN(3000))*time.Millisecond, 40, 3)
	}
	r.advance(5*time.Second, 40, 0)
	before := r.refused
	r.advance(5*time.Second, 40, 0)
	if late := r.refused - before; late > 0 {
		t.Errorf("seed %d: %d sound requests refused later than 5 s after the last end", seed, late)
	}
	for _, h := range r.hosts {
		for _, v := range h.ledger.Verdicts() {
			if !r.bad[v.Suspect] {
				t.Errorf("seed %d: a sound request is in quarantine", seed)
			}
		}
	}
	t.Logf("seed %d: %d ends, %d of %d sound requests refused, sound ones blamed for a time: %d", seed, len(r.ends), before, r.sound, len(r.blamedGood))
}
