package controlhost

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/quarantine"
)

// oddReports are reports of load with values that no host has reason to send.
func oddReports() map[string]controlapi.LoadReport {
	tokens := func(v ...int64) controlapi.LoadReport {
		return controlapi.LoadReport{IntervalMS: 100, Tokens: map[string][]int64{"e": v}}
	}
	return map[string]controlapi.LoadReport{
		"most tokens":          tokens(math.MaxInt64),
		"least tokens":         tokens(math.MinInt64),
		"no priorities":        tokens(),
		"thousands of them":    tokens(make([]int64, 100_000)...),
		"infinite requests":    {Requests: map[string]float64{"lm": math.MaxFloat64}},
		"negative requests":    {Requests: map[string]float64{"lm": -math.MaxFloat64}},
		"infinite demand":      {Demand: map[string]controlapi.Demand{"lm": {PromptTokens: math.MaxFloat64, OutputTokens: math.MaxFloat64, DecodeSlots: math.MaxFloat64, PrefillEngines: math.MaxFloat64}}},
		"negative demand":      {Demand: map[string]controlapi.Demand{"lm": {PromptTokens: -math.MaxFloat64, OutputTokens: -1}}},
		"longest interval":     {IntervalMS: math.MaxInt64, Tokens: map[string][]int64{"e": {5}}},
		"least interval":       {IntervalMS: math.MinInt64},
		"infinite rate":        {Updates: controlapi.CacheUpdates{{Instance: "e", PrefillRate: math.Inf(1)}}},
		"rate that is none":    {Updates: controlapi.CacheUpdates{{Instance: "e", PrefillRate: math.NaN()}}},
		"oldest notice":        {Notices: []notice.Report{{Instance: "e", Born: math.MaxInt64, Limit: math.MaxFloat32, Age: math.MaxInt64}}},
		"newest notice":        {Notices: []notice.Report{{Instance: "e", Born: math.MinInt64, Limit: 1, Age: 0}}},
		"positions at the end": {UpdatesEpoch: "1", UpdatesPosition: math.MaxUint64},
		"evidence":             {Evidence: &quarantine.Report{Ends: []quarantine.EndReport{{Instance: "e", Born: math.MaxInt64, AgeMS: math.MinInt64}}, Verdicts: []quarantine.VerdictReport{{Suspect: "b", Ends: math.MaxInt, SinceMS: math.MaxInt64, LastEndMS: math.MinInt64}}}},
	}
}

func TestOddReportOfLoadLeavesTheOthersUsable(t *testing.T) {
	sound := controlapi.LoadReport{
		IntervalMS: 1000, Tokens: map[string][]int64{"e": {7, 9}}, Requests: map[string]float64{"lm": 3},
		Demand: map[string]controlapi.Demand{"lm": {PromptTokens: 100, OutputTokens: 10}},
	}
	for name, odd := range oddReports() {
		t.Run(name, func(t *testing.T) {
			l, now := newLoads("1"), time.Unix(1_800_000_000, 0)
			l.exchange("sound", sound, now)
			for n := range 2 {
				l.exchange(fmt.Sprint("odd-", n), odd, now)
				l.receiveDigest(fmt.Sprint("control-", n), odd, now)
			}
			answer := l.exchange("reader", controlapi.LoadReport{}, now)
			text, err := json.Marshal(answer)
			if err != nil || len(text) > controlapi.MaxMessageBytes {
				t.Errorf("the answer to another host has %d bytes, error %v", len(text), err)
			}
			if digest, _ := l.digest(0, now); true {
				if _, err := json.Marshal(digest); err != nil {
					t.Errorf("the digest for another control host: %v", err)
				}
			}
			if got := answer.Tokens["e"]; len(got) < 2 || got[0] < 7 || got[1] < 9 {
				t.Errorf("a backlog of %.80v tokens, want at least that of the sound host", got)
			}
			if rate := answer.Requests["lm"]; !(rate >= 3 && rate <= math.MaxFloat64) {
				t.Errorf("%v requests per second, want at least the 3 of the sound host", rate)
			}
			demand, _ := l.Demand()
			if d := demand["lm"]; d.PromptTokens < 100 && d.PromptTokens != 0 || math.IsInf(d.PromptTokens, 0) || math.IsNaN(d.PrefillEngines) {
				t.Errorf("demand %+v", d)
			}
			later := now.Add(reportLifetime*maxReportInterval + reportGrace)
			l.exchange("sound", sound, later)
			after := l.exchange("reader", controlapi.LoadReport{}, later.Add(expireLoadsInterval))
			if got := after.Tokens["e"]; len(got) < 2 || got[0] != 7 || got[1] != 9 || after.Requests["lm"] != 3 {
				t.Errorf("once the odd reports have expired: %.80v and %v, want those of the sound host", got, after.Requests)
			}
		})
	}
}

func TestOddUpdatesOfCachesLeaveTheRatesOfEngines(t *testing.T) {
	for _, rate := range []float64{math.Inf(1), math.NaN(), math.MaxFloat32, -1} {
		l, now := newLoads("1"), time.Unix(1_800_000_000, 0)
		l.exchange("odd", controlapi.LoadReport{Updates: controlapi.CacheUpdates{{Instance: "e", PrefillRate: rate}}}, now)
		for _, u := range l.exchange("reader", controlapi.LoadReport{}, now).Updates {
			if u.PrefillRate != 0 && !(u.PrefillRate > 0 && u.PrefillRate <= controlapi.MaxRate) {
				t.Errorf("a rate of %v is told to other hosts as %v", rate, u.PrefillRate)
			}
		}
	}
}
