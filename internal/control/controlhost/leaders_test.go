package controlhost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
)

const (
	leadersHosts    = 8 // entry hosts
	leadersInterval = 120 * time.Millisecond
	leadersEvery    = 5 * time.Second // a new leader
	leadersMove     = time.Second     // within which entry hosts follow the new leader
	leadersTick     = 5 * time.Millisecond
	leadersLimit    = 10.0 // requests per second
)

// leadersRun plays entry hosts on a logical clock. They exchange what they know through leaders of
// the control group of which each one is lost after a while.
type leadersRun struct {
	random   *rand.Rand
	now      time.Time
	fleets   []*placement.Fleet
	through  []*loads // control host of each entry host
	next     []*loads // that it moves to
	moveAt   []time.Time
	due      map[time.Time][]func()
	arrivals []time.Time // at the instance
}

func newLeadersRun() *leadersRun {
	r := &leadersRun{random: rand.New(rand.NewPCG(3, 1)), now: time.Unix(1_800_000_000, 0), due: map[time.Time][]func(){}}
	in := instances.Instance{ID: "s", Born: 1, Endpoint: "plain", Address: "s", Zone: "z", Slots: 64}
	first := newLoads("0")
	for range leadersHosts {
		f := placement.New(placement.DefaultSettings(), r.random.Float64, func(string) bool { return true })
		f.Update(&instances.Snapshot{Number: 1, ByEndpoint: map[string][]instances.Instance{"plain": {in}}})
		r.fleets, r.through = append(r.fleets, f), append(r.through, first)
	}
	r.next, r.moveAt = make([]*loads, leadersHosts), make([]time.Time, leadersHosts)
	return r
}

// replaceLeader loses the leader. Until an entry host hears of the next one it exchanges through
// any control host, as all entry hosts do that have lost the leader.
func (r *leadersRun) replaceLeader(n int) {
	fallback, leader := newLoads(fmt.Sprint("other", n)), newLoads(fmt.Sprint("leader", n))
	for i := range r.fleets {
		r.through[i], r.next[i] = fallback, leader
		r.moveAt[i] = r.now.Add(time.Duration(r.random.Int64N(int64(leadersMove))))
	}
}

func (r *leadersRun) exchange(i int) {
	if r.next[i] != nil && !r.now.Before(r.moveAt[i]) {
		r.through[i], r.next[i] = r.next[i], nil
	}
	f := r.fleets[i]
	answer := r.through[i].exchange(fmt.Sprint(i), controlapi.LoadReport{
		IntervalMS: leadersInterval.Milliseconds(), Requests: f.Requests(r.now), Notices: f.Notices(r.now),
	}, r.now)
	f.SetPeers(leadersHosts)
	f.SetPeerRequests(answer.Requests, r.now)
	f.LearnNotices(answer.Notices, r.now)
}

// call sends a caller's request through an entry host, unless the limit of the instance forbids it.
func (r *leadersRun) call(i int) {
	f := r.fleets[i]
	target, err := f.PlaceService("plain", "z", nil, r.now)
	if err != nil {
		return
	}
	f.Begin(target.ID)
	sentAt, answeredAt := r.now, r.now.Add(30*time.Millisecond)
	r.arrivals = append(r.arrivals, r.now)
	r.due[answeredAt] = append(r.due[answeredAt], func() {
		f.Hear(target, notice.Notice{Limit: leadersLimit}, sentAt, r.now)
		f.End(target.ID, placement.Answered, 30*time.Millisecond, r.now)
	})
}

// play runs for a time. A leader is replaced every leadersEvery if series is set.
func (r *leadersRun) play(length time.Duration, series bool) {
	for at := time.Duration(0); at < length; at += leadersTick {
		for _, step := range r.due[r.now] {
			step()
		}
		delete(r.due, r.now)
		if series && at > 0 && at%leadersEvery == 0 {
			r.replaceLeader(int(at / leadersEvery))
		}
		for i := range r.fleets {
			if (at+time.Duration(i)*3*leadersTick)%leadersInterval == 0 {
				r.exchange(i)
			}
			if r.random.Float64() < 40.0*float64(1+i%3)/15*leadersTick.Seconds() {
				r.call(i)
			}
		}
		r.now = r.now.Add(leadersTick)
	}
}

// most returns the most arrivals in a window that begins later than after.
func (r *leadersRun) most(window, after time.Duration, begin time.Time) int {
	most, first := 0, 0
	for i, at := range r.arrivals {
		for r.arrivals[first].Before(begin.Add(after)) && first < i || r.arrivals[first].Before(at.Add(-window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestLimitIsKeptByAllHostsThroughASeriesOfLeaders(t *testing.T) {
	for _, series := range []bool{false, true} {
		r := newLeadersRun()
		begin := r.now
		r.play(60*time.Second, series)
		const window = 4 * time.Second
		allowed := 1.5*window.Seconds()*leadersLimit + 5
		most := r.most(window, 3*time.Second, begin)
		t.Logf("leaders replaced %t: at most %d requests in %v, allowed %.0f; %d in all", series, most, window, allowed, len(r.arrivals))
		if float64(most) > allowed {
			t.Errorf("leaders replaced %t: %d requests in %v, allowed %.0f", series, most, window, allowed)
		}
	}
}

func TestNewLeaderTellsTheLoadOfAllHostsAfterOneInterval(t *testing.T) {
	leader, now := newLoads("leader"), time.Unix(1_800_000_000, 0)
	report := controlapi.LoadReport{
		IntervalMS: leadersInterval.Milliseconds(), Tokens: controlapi.Backlogs{"e": {100}}, Requests: map[string]float64{"plain": 2},
	}
	for round := range 2 {
		for i := range leadersHosts {
			answer := leader.exchange(fmt.Sprint(i), report, now)
			if others := float64(leadersHosts - 1); round > 0 && (answer.Tokens["e"][0] != int64(100*others) || answer.Requests["plain"] != 2*others) {
				t.Errorf("host %d is told %v tokens and %v requests, want those of %v others", i, answer.Tokens["e"], answer.Requests["plain"], others)
			}
			now = now.Add(leadersInterval / leadersHosts)
		}
	}
}
