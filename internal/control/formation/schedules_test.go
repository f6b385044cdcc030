package formation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/control/formation"
)

// The model allocates much and keeps little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// moveTarget is how soon the vote of a lost host is to have moved: half of the time until the
// next loss is allowed.
const moveTarget = (comeBack + catchUp) / 2

// target is how soon a vote is to have moved. That a host is in trouble shows only after a
// while, and the next loss is allowed no sooner than after a loss.
func (m move) target() time.Duration {
	if m.kind != "" {
		return comeBack + catchUp
	}
	return moveTarget
}

// schedule is a series of losses that its seed determines.
type schedule struct {
	seed             uint64
	tolerated, hosts int
	events           []event
	atOnce           []int // hosts that each event takes at once
}

func scheduleOf(seed uint64) schedule {
	rng := rand.New(rand.NewPCG(seed, 3))
	s := schedule{seed: seed, tolerated: 1 + rng.IntN(2)}
	s.hosts = 2*s.tolerated + 1 + rng.IntN(9-2*s.tolerated)
	for range 1 + rng.IntN(12) {
		s.events = append(s.events, event{
			kind:   eventKinds[rng.IntN(len(eventKinds))],
			victim: []string{"leader", "voter", "any"}[rng.IntN(3)],
			gap:    time.Duration(rng.IntN(31)) * tick,
		})
		s.atOnce = append(s.atOnce, 1+rng.IntN(s.tolerated))
	}
	return s
}

// play plays the schedule until it ends or a check fails.
func (s schedule) play() *model {
	policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: s.tolerated, Zones: 1}, ReplaceAfter: catchUp}
	m := newModel(s.seed, 4, s.hosts, policy)
	m.runUntilLeader()
	for i, e := range s.events {
		m.play(e, s.atOnce[i])
		m.checkCalm()
		if m.failure != nil {
			break
		}
	}
	return m
}

// TestSeededSchedulesKeepTheQuorum plays schedules 0 to 59, or as many as
// FILBERTHOOK_MODEL_SCHEDULES says from FILBERTHOOK_MODEL_FIRST on.
func TestSeededSchedulesKeepTheQuorum(t *testing.T) {
	total := schedulesByHand(60)
	first, _ := strconv.ParseUint(os.Getenv("FILBERTHOOK_MODEL_FIRST"), 10, 64)
	var next atomic.Uint64
	next.Store(first)
	var mu sync.Mutex
	var moves []move
	failed, late, example := map[string]int{}, 0, ""
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1) - 1; seed < first+total; seed = next.Add(1) - 1 {
				m := scheduleOf(seed).play()
				mu.Lock()
				moves = append(moves, m.moves...)
				if m.failure != nil {
					failed[outline(m.failure)]++
					if example == "" {
						example = fmt.Sprintf("seed %d %v\n%s", seed, m.failure, strings.Join(m.log, "\n"))
					}
				}
				for _, mv := range m.moves {
					if mv.took > mv.target() {
						late++
						t.Errorf("seed %d: a vote moved after %v, leader %v, %s; want %v", seed, mv.took, mv.leader, mv.kind, mv.target())
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	reportMoves(t, moves)
	t.Logf("%d schedules, %d of %d votes moved too late", total, late, len(moves))
	if len(failed) > 0 {
		t.Errorf("failed: %v\nfirst: %s", failed, example)
	}
}

// The voters that are left must not split their votes in one election after another.
func TestVotesMoveInTimeAlthoughTimeoutsEndTogether(t *testing.T) {
	for _, s := range []schedule{
		{seed: 1881, tolerated: 2, hosts: 9, atOnce: []int{1, 1, 1, 1, 1}, events: []event{
			{"planned", "any", 350 * time.Millisecond}, {"planned", "voter", 1050 * time.Millisecond}, {"disk", "voter", 400 * time.Millisecond},
			{"restart", "leader", 200 * time.Millisecond}, {"zone", "leader", 0},
		}},
		{seed: 1088, tolerated: 2, hosts: 6, atOnce: []int{2, 2, 1, 1}, events: []event{
			{"pause", "voter", 550 * time.Millisecond}, {"all", "any", 1400 * time.Millisecond}, {"sudden", "any", 1100 * time.Millisecond},
			{"zone", "voter", 1200 * time.Millisecond},
		}},
		{seed: 349, tolerated: 2, hosts: 8, atOnce: []int{2}, events: []event{{"sudden", "any", 100 * time.Millisecond}}},
	} {
		m := s.play()
		for _, mv := range m.moves {
			if mv.took > moveTarget {
				t.Errorf("seed %d: a vote moved after %v, leader %v; want %v", s.seed, mv.took, mv.leader, moveTarget)
			}
		}
		if m.failure != nil || len(m.moves) == 0 {
			t.Errorf("seed %d: %d votes moved, %v", s.seed, len(m.moves), m.failure)
		}
	}
}

// schedulesByHand returns the number of schedules to play: n, or what FILBERTHOOK_MODEL_SCHEDULES
// says.
func schedulesByHand(n uint64) uint64 {
	if byHand, err := strconv.ParseUint(os.Getenv("FILBERTHOOK_MODEL_SCHEDULES"), 10, 64); err == nil {
		return byHand
	}
	return n
}

// outline returns the first words of a failure, without its time.
func outline(failure error) string {
	_, what, _ := strings.Cut(failure.Error(), ": ")
	words := strings.Fields(what)
	return strings.Join(words[:min(4, len(words))], " ")
}
