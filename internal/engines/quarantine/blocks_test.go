package quarantine

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestBadBlockEndsFewEnginesHoweverManyHostsThereAre(t *testing.T) {
	for _, hosts := range []int{1, 8, 70, 294} {
		for _, badBlocks := range []int{1, 2} {
			t.Run(fmt.Sprint(hosts, " hosts, ", badBlocks, " blocks"), func(t *testing.T) {
				t.Parallel()
				p := newPlay(uint64(hosts), hosts, max(3, hosts/2))
				p.run(5*time.Second, 40, 0)
				for n := range badBlocks {
					p.bad[Suspect(fmt.Sprint("bad", n))] = true
				}
				p.run(2*playContact, 40, 3)
				p.began, p.sound = 0, 0
				p.run(34*time.Second, 40, 3)
				p.check(t, badBlocks)
			})
		}
	}
}

func TestBlockThatGoesBadLaterEndsFewEngines(t *testing.T) {
	for _, hosts := range []int{1, 8, 70, 294} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprint(hosts, " hosts, leads ", leads), func(t *testing.T) {
				t.Parallel()
				p := newPlay(uint64(hosts), hosts, max(3, hosts/2))
				p.badLeads, p.short = leads, 0.3
				p.bad["bad0"] = false
				p.run(5*time.Second, 40, 3)
				p.bad["bad0"] = true
				p.run(2*playContact, 40, 3)
				p.began, p.sound = 0, 0
				p.run(34*time.Second, 40, 3)
				p.check(t, 1)
			})
		}
	}
}

// check compares the ends and arrivals with what the users allow for one block.
func (p *play) check(t *testing.T, badBlocks int) {
	t.Helper()
	const probes = 2 // in 40 s, after 10 and 30 s
	if allowed := badBlocks * (5 + probes); len(p.ends) > allowed {
		t.Errorf("%d engines ended, allowed %d", len(p.ends), allowed)
	}
	later := 0
	if len(p.ends) >= 5*badBlocks {
		for _, at := range p.arrivals {
			if at.After(p.ends[5*badBlocks-1].Add(playContact)) {
				later++
			}
		}
	}
	if later > 3*badBlocks {
		t.Errorf("%d requests with the blocks were sent later than %v after the fifth end, allowed %d", later, playContact, 3*badBlocks)
	}
	if share := float64(p.began) / float64(p.sound); share < 0.95 {
		t.Errorf("%.3f of the sound requests began at the first attempt, want 0.95", share)
	}
	if len(p.blamedGood) > 0 {
		t.Errorf("sound blocks in quarantine: %v", p.blamedGood)
	}
	t.Logf("%d ends, %d arrivals, %d of them late, %d of %d sound requests began at once, %d refused", len(p.ends), len(p.arrivals), later, p.began, p.sound, p.refused)
}

// seedCount returns the number of seeds to play, which FILBERTHOOK_SEEDS overrides.
func seedCount(t *testing.T, usual uint64) uint64 {
	text := os.Getenv("FILBERTHOOK_SEEDS")
	if text == "" {
		return usual
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestNoSoundBlockIsBlamedForEndsAtRandom(t *testing.T) {
	const parts = 5 // run in parallel
	seeds := seedCount(t, 50)
	for part := range parts {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			playRandomEnds(t, uint64(part), seeds, parts, -1)
		})
	}
}

func TestNoSoundPromptIsBlamedForEndsAtRandom(t *testing.T) {
	playRandomEnds(t, 0, seedCount(t, 12), 1, 0)
}

// playRandomEnds plays the seeds from first up to limit in steps.
func playRandomEnds(t *testing.T, first, limit, step uint64, identities int) {
	worst := 0.0
	for seed := first; seed < limit; seed += step {
		hosts := []int{1, 8, 24, 70}[seed%4]
		p := newPlay(seed, hosts, max(4, hosts/3))
		p.short, p.identities = float64(seed%3)/4, identities
		p.run(2*time.Second, 40, 0)
		for n := range 12 {
			switch p.rng.IntN(3) {
			case 0: // some at random
				p.end(p.engines[p.rng.IntN(len(p.engines))])
			case 1: // a third of them at one moment, as with their availability zone
				for k, e := range p.engines {
					if k%3 == n%3 {
						p.end(e)
					}
				}
			case 2: // one after the other
				for _, e := range p.engines[:min(6, len(p.engines))] {
					p.end(e)
					p.run(time.Duration(60+p.rng.IntN(200))*time.Millisecond, 40, 0)
				}
			}
			p.run(time.Duration(p.rng.IntN(1500))*time.Millisecond, 40, 0)
		}
		p.run(5*time.Second, 40, 0)
		for _, h := range p.hosts {
			if got := h.ledger.Verdicts(); len(got) > 0 {
				t.Errorf("seed %d: 5 s after the last end in quarantine: %v", seed, got)
				break
			}
		}
		worst = max(worst, float64(p.refused)/float64(p.sound))
	}
	t.Logf("refused by the quarantine or its containment at worst: %.4f of the requests", worst)
}
