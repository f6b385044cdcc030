package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// promptPlay plays prompts with shared blocks and an identity. The bad prompts come again and again, and sound ones
// share their blocks.
type promptPlay struct {
	*play
	withIdentity bool
	badPrompts   int
}

func (p *promptPlay) run(d time.Duration, sound, bad float64) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step(sound, 0)
		for n := range p.badPrompts {
			suspects := []Suspect{"first1", Suspect(fmt.Sprint("subject", n))}
			if p.withIdentity {
				suspects = append(suspects, named(fmt.Sprint("bad ", n)))
			}
			for range p.count(bad) {
				h := p.hosts[p.rng.IntN(len(p.hosts))]
				p.sendAt(&playRun{host: h, request: h.ledger.Request(suspects), blocks: suspects, lethal: true, since: p.now})
			}
		}
	}
}

// Guards against a prompt that ends instance after instance because sound prompts clear its blocks.
func TestPromptThatComesAgainEndsFewInstancesThoughItsBlocksAreSound(t *testing.T) {
	for _, hosts := range []int{1, 8, 70, 294} {
		for _, badPrompts := range []int{1, 2} {
			t.Run(fmt.Sprint(hosts, " hosts, ", badPrompts, " prompts"), func(t *testing.T) {
				t.Parallel()
				p := &promptPlay{play: newPlay(uint64(hosts), hosts, max(4, hosts/2)), withIdentity: true}
				p.identities = 0
				p.run(5*time.Second, 40, 0)
				p.badPrompts = badPrompts
				for n := range badPrompts {
					p.bad[named(fmt.Sprint("bad ", n))] = true // names what may be blamed
				}
				p.run(2*playContact, 40, 3)
				p.began, p.sound = 0, 0
				p.run(34*time.Second, 40, 3)
				p.checkRequests(t, badPrompts)
			})
		}
	}
}

// checkRequests compares the ends and arrivals with what is allowed for requests that come again.
func (p *play) checkRequests(t *testing.T, bad int) {
	t.Helper()
	if allowed := 4 * bad; len(p.ends) > allowed {
		t.Errorf("%d engines ended, allowed %d", len(p.ends), allowed)
	}
	later := 0
	for _, at := range p.arrivals {
		if len(p.ends) >= 3*bad && at.After(p.ends[3*bad-1]) {
			later++
		}
	}
	if later > 3*bad {
		t.Errorf("%d arrivals after the third end, allowed %d", later, 3*bad)
	}
	if share := float64(p.began) / float64(p.sound); share < 0.95 {
		t.Errorf("%.3f of the sound prompts began at the first attempt, want 0.95", share)
	}
	if len(p.blamedGood) > 0 {
		t.Errorf("in quarantine without a fault: %v", p.blamedGood)
	}
	t.Logf("%d ends, %d arrivals, %d of them late; %d of %d sound prompts began at once, %d refused", len(p.ends), len(p.arrivals), later, p.began, p.sound, p.refused)
}

// Guards against identities, of which most come once, that hide a bad block.
func TestBadBlockEndsFewEnginesAmongIdentities(t *testing.T) {
	for _, hosts := range []int{1, 8, 70, 294} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprint(hosts, " hosts, goes bad later ", later), func(t *testing.T) {
				t.Parallel()
				p := newPlay(uint64(hosts), hosts, max(3, hosts/2))
				p.identities = 0
				if later {
					p.bad["bad0"] = false
				}
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
