package placement

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// slowFactors are how many times longer prompts take than engines without load need.
var slowFactors = []float64{0.5, 1, 2, 3, 5, 10, 20}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func TestExpectationIsNotRaisedByItsOwnError(t *testing.T) {
	for _, k := range slowFactors {
		f := fleetOf(1, 1)
		p := promptWithPrefix("s", 0, 3000)
		highest := 0.0
		for i := range 60 {
			now := after(i * 1000)
			r := f.BeginPrompt("p0", "", p, 3000, now)
			highest = max(highest, r.expectedMs)
			took := time.Duration(min(k*r.expectedMs, 1e9) * float64(time.Millisecond))
			f.PrefillDone(r, now.Add(took))
			f.EndPrompt(r, Answered, now.Add(took))
		}
		// There is no backlog: only the observed rate counts, which is bounded.
		if limit := 3000 / (minRateFactor * f.settings.PrefillRate); highest > limit*1.001 {
			t.Errorf("%v times the expectation: it rose to %.0f ms, want at most %.0f", k, highest, limit)
		}
		if got := milliseconds(mustPlace(t, f, p, after(120_000)).ExpectedTTFT); got > milliseconds(p.TimeLeft) {
			t.Errorf("%v times the expectation: TTFT estimate %.0f ms a minute later, the time limit is %v", k, got, p.TimeLeft)
		}
	}
}

func TestDelayIsNotLongerThanTheTimeLimit(t *testing.T) {
	f := fleetOf(1, 1)
	p := promptWithPrefix("s", 0, 3000)
	r := f.BeginPrompt("p0", "", p, 3000, start)
	f.PrefillDone(r, start.Add(time.Hour))
	if got := f.byID["p0"].prefillDelay.value; got > milliseconds(p.TimeLeft) {
		t.Errorf("delay %.0f ms after a prompt of an hour, its time limit was %v", got, p.TimeLeft)
	}
}

func TestDelayIsMeasuredWithTheRateOfTheExpectation(t *testing.T) {
	f := fleetOf(1, 1)
	p := promptWithPrefix("s", 0, 4000)
	for range rateSamples - 1 {
		f.recordPrefillRate(f.byID["p0"], 4000, 400)
	}
	r := f.BeginPrompt("p0", "", p, 4000, start)
	f.PrefillDone(r, after(400)) // now there are enough samples for a rate
	if got, want := f.byID["p0"].prefillDelay.value, 400-4000/f.settings.PrefillRate-firstTokenMs; got < want-1 {
		t.Errorf("delay %.0f ms, want %.0f: the prompt took that much longer than expected", got, want)
	}
}

func TestBeyondItsBoundsTheCorrectionRemembersNothing(t *testing.T) {
	for _, took := range []float64{0, 10_000} {
		var e latencyEstimates
		r := &InFlight{tokens: 3000, expectedMs: 50}
		for range 100 {
			e.add(r, took, start)
		}
		bound := e.bias()
		e.add(r, r.expectedMs, start)
		if e.bias() == bound {
			t.Errorf("correction still %v after an observation as expected", bound)
		}
	}
}

// slowMinute plays prompts to one prefill and one decode engine. In the first minute they take
// k times the time of an engine without load.
type slowMinute struct {
	k       float64
	prompt  *Prompt
	gap     time.Duration
	fleet   *Fleet
	slowEnd time.Duration   // the last slow prompt ends
	refused []time.Duration // when prompts were refused
	ttft    map[time.Duration]time.Duration
}

const (
	slowTime  = time.Minute
	slowUntil = 3 * time.Minute
)

func (s *slowMinute) play(t *testing.T) {
	type ending struct {
		at time.Duration
		r  *InFlight
	}
	var running []ending
	s.fleet, s.ttft = fleetOf(1, 1), map[time.Duration]time.Duration{}
	for at := time.Duration(0); at < slowUntil; at += s.gap {
		for len(running) > 0 && running[0].at <= at {
			now := start.Add(running[0].at)
			s.fleet.PrefillDone(running[0].r, now)
			s.fleet.EndPrompt(running[0].r, Answered, now)
			running = running[1:]
		}
		now := start.Add(at)
		plan, err := s.fleet.Place(s.prompt, now)
		if errors.As(err, new(*HopelessError)) {
			s.refused = append(s.refused, at)
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		s.ttft[at] = plan.ExpectedTTFT
		rate := s.fleet.settings.PrefillRate
		if plan.Prefill == nil {
			rate *= s.fleet.settings.DecodeShare
		}
		took := float64(plan.PrefillTokens)/rate + firstTokenMs
		if at < slowTime {
			took *= s.k
		}
		r := s.fleet.BeginPrompt(prefillEngine(plan), "", s.prompt, plan.PrefillTokens, now)
		end := ending{at + time.Duration(took*float64(time.Millisecond)), r}
		if at < slowTime {
			s.slowEnd = max(s.slowEnd, end.at)
		}
		i, _ := slices.BinarySearchFunc(running, end, func(a, b ending) int { return int(a.at - b.at) })
		running = slices.Insert(running, i, end)
	}
}

// wrongUntil returns when the last estimate was off by a quarter of that of a run without a
// slow minute.
func (s *slowMinute) wrongUntil(usual *slowMinute) time.Duration {
	last := time.Duration(0)
	for at, got := range s.ttft {
		want, known := usual.ttft[at]
		if known && (float64(got) > 1.25*float64(want) || float64(got) < float64(want)/1.25) {
			last = max(last, at)
		}
	}
	return last
}

func TestCallersAreNotRefusedAfterASlowMinute(t *testing.T) {
	for gap, lengths := range map[time.Duration][]int{ // as much as one engine without load can do
		time.Second:            {500, 1500, 3000, 16_000, 40_000},
		100 * time.Millisecond: {500, 1500, 3000, 5000},
	} {
		for _, tokens := range lengths {
			p := promptWithPrefix("s", 0, tokens)
			usual := &slowMinute{k: 1, prompt: p, gap: gap}
			usual.play(t)
			for _, k := range slowFactors {
				s := &slowMinute{k: k, prompt: p, gap: gap}
				s.play(t)
				name := fmt.Sprintf("%d tokens every %v, %v times as long", tokens, gap, k)
				passed := max(slowTime, s.slowEnd)
				wrong := max(0, s.wrongUntil(usual)-passed)
				t.Logf("%s: %d refused in the slow minute, estimates right %v after it", name, len(s.refused), wrong)
				if n := len(s.refused); n > 0 && s.refused[n-1] > passed+p.TimeLeft {
					t.Errorf("%s: refused %v after the load has passed, the time limit is %v", name, s.refused[n-1]-passed, p.TimeLeft)
				}
				if wrong > slowTime {
					t.Errorf("%s: estimates wrong for %v after it, longer than the load lasted", name, wrong)
				}
			}
		}
	}
}

func TestRemainderOfADelayRefusesNoPrompt(t *testing.T) {
	f := fleetOf(1, 1)
	for range 100 {
		f.estimates.add(&InFlight{tokens: 3000, expectedMs: 50}, 10_000, start)
	}
	f.byID["p0"].prefillDelay.add(0.001, start)
	if _, err := f.Place(promptWithPrefix("s", 0, 40_000), start); err != nil {
		t.Errorf("refused after a delay of 1 µs: %v", err)
	}
}

func TestPromptBeyondTheRangeOfADurationIsRefused(t *testing.T) {
	p := &Prompt{Endpoint: "lm", Tokens: math.MaxInt, Goal: 600 * time.Millisecond, TimeLeft: 2400 * time.Millisecond}
	if plan, err := fleetOf(1, 1).Place(p, start); !errors.As(err, new(*HopelessError)) {
		t.Errorf("a prompt of %d tokens is placed, expected TTFT %v, error %v", p.Tokens, plan.ExpectedTTFT, err)
	}
}
