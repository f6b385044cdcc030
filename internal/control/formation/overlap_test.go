package formation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"filberthook/internal/control/formation"
)

const (
	contact   = 3 * time.Second // after the last event, bounds hold again
	ackWindow = 4 * time.Second // an order of the operator is acknowledged within it
)

// layout is a number of control hosts over zones and what must be survived at once.
type layout struct{ size, zones, tolerated int }

// overlap plays losses that begin and end independently of each other. Never more hosts
// count as lost than are tolerated, or one zone does.
type overlap struct {
	*model
	layout
	rng       *rand.Rand
	countsTil map[*host]int // tick until which a host that is gone or back counts as lost
	timers    []timer
	group     map[*host]int // hosts of different groups do not reach each other
	zoneTil   int
	lastEvent int
	highest   uint64 // commit index of the hosts that are not cut off
	grewAt    int    // tick at which it last grew
}

type timer struct {
	at  int
	run func()
}

func newOverlap(seed uint64, l layout) *overlap {
	policy := formation.Policy{Tolerance: formation.Tolerance{Hosts: l.tolerated, Zones: 1}, ReplaceAfter: catchUp}
	o := &overlap{
		model: newModel(seed, l.zones, l.size, policy), layout: l, rng: rand.New(rand.NewPCG(seed, 2)),
		countsTil: map[*host]int{}, group: map[*host]int{},
	}
	o.cut = func(from, to *host) bool { return o.group[from] != o.group[to] }
	return o
}

func (o *overlap) after(d time.Duration, run func()) {
	o.timers = append(o.timers, timer{o.now + ticks(d), run})
}

func (o *overlap) event(format string, args ...any) {
	o.lastEvent = o.now
	o.note(format, args...)
}

// step advances the clock by a tick and runs the timers that are due.
func (o *overlap) step() {
	o.run(tick)
	due := o.timers
	o.timers = nil
	for _, t := range due {
		if t.at <= o.now {
			t.run()
		} else {
			o.timers = append(o.timers, t)
		}
	}
	for h, til := range o.countsTil {
		if til <= o.now {
			delete(o.countsTil, h)
		}
	}
	o.observe()
	calm := o.now-o.lastEvent > ticks(contact+ackWindow)
	if calm && o.now-o.grewAt > ticks(ackWindow) {
		o.fail("no change committed for %v though nothing has happened for %v, counted as lost %d",
			time.Duration(o.now-o.grewAt)*tick, time.Duration(o.now-o.lastEvent)*tick, len(o.countsTil))
	}
}

// observe records whether the hosts that are not cut off commit changes. What is committed
// within a zone that is cut off does not count.
func (o *overlap) observe() {
	for _, h := range o.up() {
		if o.group[h] != 0 || h.paused {
			continue
		}
		if commit := h.core.Status().Commit; commit > o.highest {
			o.highest, o.grewAt = commit, o.now
		}
	}
}

const forever = 1 << 30

func (o *overlap) back(h *host) {
	o.event("%d is back", h.id)
	o.countsTil[h] = o.now + ticks(catchUp)
}

// lose begins the loss of one host.
func (o *overlap) lose(h *host) {
	kind := []string{"sudden", "planned", "disk", "restart", "pause", "cut", "flap", "refuse", "reopen"}[o.rng.IntN(9)]
	down := time.Duration(o.rng.IntN(80)+2) * 100 * time.Millisecond
	if kind == "sudden" || kind == "disk" || kind == "restart" {
		down = comeBack
	}
	o.event("%s of %d in %s for %v", kind, h.id, h.zone, down)
	o.countsTil[h] = forever
	switch kind {
	case "sudden", "disk":
		o.kill(h)
		o.after(down, func() {
			var next *host
			if kind == "sudden" {
				h.gone = true
				next = o.add(h.zone)
			} else {
				next = o.wipe(h)
			}
			delete(o.countsTil, h)
			o.back(next)
		})
	case "planned":
		next := o.add(h.zone)
		o.countsTil[h] = o.now + ticks(catchUp)
		o.after(comeBack, func() {
			o.event("stop of %d", h.id)
			if leader := o.leader(); leader == h {
				if to := o.pick("voter", []*host{h}); to != nil {
					_ = h.core.TransferLeadership(to.id)
					o.pump(h)
					o.deliver()
				}
			}
			h.leaving = true
			o.after(stopTimeout/4, func() { o.kill(h); h.gone = true })
		})
		_ = next
	case "restart":
		o.kill(h)
		o.after(down, func() { o.start(h); o.back(h) })
	case "pause":
		h.paused = true
		o.after(down, func() { h.paused = false; o.back(h) })
	case "flap", "refuse", "reopen":
		o.begin(h, kind)
		o.after(down, func() { o.end(h); o.back(h) })
	case "cut":
		o.group[h] = int(h.id) + 100
		o.after(down, func() { delete(o.group, h); o.back(h) })
	}
}

// loseZone begins the loss of a zone.
func (o *overlap) loseZone(zone string) {
	kind := []string{"restart", "pause", "cut"}[o.rng.IntN(3)]
	down := time.Duration(o.rng.IntN(70)+2) * 100 * time.Millisecond
	o.event("%s of zone %s for %v", kind, zone, down)
	o.zoneTil = o.now + ticks(down+catchUp) + 1
	for _, h := range o.up() {
		if h.zone != zone {
			continue
		}
		switch kind {
		case "restart":
			o.kill(h)
			o.after(down, func() { o.start(h); o.event("%d is back", h.id) })
		case "pause":
			h.paused = true
			o.after(down, func() { h.paused = false; o.event("%d is back", h.id) })
		case "cut":
			o.group[h] = 1
			o.after(down, func() { delete(o.group, h); o.event("%d is back", h.id) })
		}
	}
}

// halve splits the hosts in two halves for some seconds.
func (o *overlap) halve() {
	up := o.up()
	o.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	down := time.Duration(o.rng.IntN(40)+20) * 100 * time.Millisecond
	o.event("halves for %v", down)
	o.zoneTil = o.now + ticks(down+catchUp) + 1
	for _, h := range up[:len(up)/2] {
		o.group[h] = 1
		o.after(down, func() { delete(o.group, h); o.lastEvent = o.now })
	}
	o.after(down, func() { o.event("joined") })
}

func (o *overlap) play(length time.Duration, zonesToo bool) {
	o.run(5 * time.Second)
	o.lastEvent = o.now
	next := o.now
	for end := o.now + ticks(length); o.now < end && o.failure == nil; o.step() {
		if o.now < next || o.now < o.zoneTil {
			continue
		}
		free := slices.DeleteFunc(o.up(), func(h *host) bool { _, lost := o.countsTil[h]; return lost || h.paused || h.leaving })
		switch {
		case len(o.countsTil) == 0 && zonesToo && o.rng.IntN(3) == 0:
			o.loseZone(fmt.Sprint("z", o.rng.IntN(o.zones)))
		case len(o.countsTil) == 0 && zonesToo && o.rng.IntN(8) == 0:
			o.halve()
		case len(o.countsTil) < o.tolerated && len(free) > 0:
			victim := free[o.rng.IntN(len(free))]
			if leader := o.leader(); leader != nil && slices.Contains(free, leader) && o.rng.IntN(3) == 0 {
				victim = leader
			}
			o.lose(victim)
		default:
			continue
		}
		next = o.now + o.rng.IntN(30)
		if o.rng.IntN(5) == 0 {
			next = o.now + ticks(12*time.Second)
		}
	}
}

// checkRedundancy checks the voters once everything is calm.
func (o *overlap) checkRedundancy() {
	for range 400 {
		o.step()
	}
	leader := o.leader()
	if o.failure != nil || leader == nil {
		o.fail("no leader at the end")
		return
	}
	inZone, voters := map[string]int{}, 0
	for _, m := range leader.core.Status().Membership.Members {
		if !m.Learner {
			inZone[m.Zone]++
			voters++
		}
	}
	quorum := voters/2 + 1
	if want := min(2*o.tolerated+1, o.size); voters-o.tolerated < quorum || voters < want {
		o.fail("%d voters, want %d", voters, want)
	}
	for zone, n := range inZone {
		if voters-n < quorum {
			o.fail("the loss of %s with %d of %d voters would cost the quorum", zone, n, voters)
		}
	}
}

// TestQuorumSurvivesOverlappingLosses plays losses that overlap as far as is tolerated,
// and checks that changes are acknowledged whenever nothing happens for a while.
func TestQuorumSurvivesOverlappingLosses(t *testing.T) {
	runOverlaps(t, false, []layout{{4, 4, 1}, {3, 3, 1}, {5, 5, 2}, {6, 3, 2}, {8, 4, 2}, {6, 6, 2}, {9, 3, 2}})
}

// TestQuorumSurvivesTheLossOfAnyZoneAfterMovesOfVotes also loses whole zones.
func TestQuorumSurvivesTheLossOfAnyZoneAfterMovesOfVotes(t *testing.T) {
	runOverlaps(t, true, []layout{{4, 4, 1}, {3, 3, 1}, {5, 5, 2}, {6, 3, 2}, {8, 4, 2}, {6, 6, 2}, {6, 3, 1}, {9, 3, 1}, {9, 3, 2}, {12, 4, 2}})
}

func runOverlaps(t *testing.T, zonesToo bool, layouts []layout) {
	seeds := 20
	if n, err := strconv.Atoi(os.Getenv("FILBERTHOOK_OVERLAP_SEEDS")); err == nil {
		seeds = n
	}
	for _, l := range layouts {
		t.Run(fmt.Sprintf("%d hosts in %d zones, %d lost", l.size, l.zones, l.tolerated), func(t *testing.T) {
			t.Parallel()
			failed, first := map[string]int{}, ""
			for seed := range uint64(seeds) {
				o := newOverlap(seed, l)
				o.play(90*time.Second, zonesToo)
				o.checkRedundancy()
				if o.failure != nil {
					failed[outline(o.failure)]++
					if first == "" {
						first = fmt.Sprintf("seed %d %v\n%s", seed, o.failure, strings.Join(o.log[max(0, len(o.log)-40):], "\n"))
					}
				}
			}
			if len(failed) > 0 {
				t.Errorf("of %d schedules: %v\nfirst: %s", seeds, failed, first)
			}
		})
	}
}
