package controlwatch

import (
	"context"
	"slices"
	"time"

	"filberthook/internal/controlapi"
	"filberthook/internal/pause"
	"filberthook/internal/placement"
)

const (
	// loadInterval is how often the load is exchanged: about the time in which an
	// engine reads one long prompt.
	loadInterval = 120 * time.Millisecond
	// loadTimeout bounds one exchange.
	loadTimeout = 250 * time.Millisecond
	// loadPause is how long a control host that did not answer is not asked.
	loadPause = 2 * time.Second
	// fewHosts exchange their load each interval; more do so less often, so that the
	// control host's part does not grow with their number.
	fewHosts = 24
)

// ShareLoad exchanges the load of this host with that of the others until ctx ends.
// All hosts ask the leader of the control group or, while it is not reached, the first
// control host in the order of addresses.
func (w *Watcher) ShareLoad(ctx context.Context, fleet *placement.Fleet) {
	var epoch string
	var position uint64
	for pause.For(ctx, loadInterval*time.Duration(1+w.Hosts()/fewHosts)) {
		address := w.loadHost()
		if address == "" {
			continue
		}
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		report := encodeLoads(fleet.Loads(), fleet.Demand(time.Now()))
		report.Held, report.NewsEpoch, report.NewsPosition = fleet.News(), epoch, position
		var others controlapi.LoadReport
		err := w.clients.Get(address).Call(call, controlapi.MethodLoad, report, &others)
		cancel()
		if err != nil {
			// The watch of the same control host reports when it is lost.
			w.logger.Debug("load not exchanged", "control", address, "err", err)
			fleet.Untold(report.Held)
			w.avoidForLoad(address)
			continue
		}
		epoch, position = others.NewsEpoch, others.NewsPosition
		fleet.SetOthers(decodeLoads(others), time.Now())
		fleet.SetHeld(others.Held, time.Now())
	}
}

// loadHost returns the address of a control host on which all hosts agree while
// they reach the same ones, empty when none is reached.
func (w *Watcher) loadHost() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if t, ok := w.watched[w.leader]; ok && t.up && now.After(t.noLoadBefore) {
		return w.leader
	}
	var reached []string
	for address, t := range w.watched {
		if t.up && now.After(t.noLoadBefore) {
			reached = append(reached, address)
		}
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.Min(reached)
}

// avoidForLoad has another control host asked for a while.
func (w *Watcher) avoidForLoad(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.watched[address]; ok {
		t.noLoadBefore = time.Now().Add(loadPause)
	}
}

func encodeLoads(loads map[string]placement.Backlog, demand map[string]placement.Demand) controlapi.LoadReport {
	out := make(map[string][]int64, len(loads))
	for id, backlog := range loads {
		var tokens []int64
		for priority, v := range backlog {
			if v > 0 {
				for len(tokens) <= priority {
					tokens = append(tokens, 0)
				}
				tokens[priority] = int64(v)
			}
		}
		out[id] = tokens
	}
	asked := make(map[string]controlapi.Demand, len(demand))
	for endpoint, d := range demand {
		asked[endpoint] = controlapi.Demand(d)
	}
	return controlapi.LoadReport{Tokens: out, Demand: asked}
}

func decodeLoads(report controlapi.LoadReport) map[string]placement.Backlog {
	out := make(map[string]placement.Backlog, len(report.Tokens))
	for id, tokens := range report.Tokens {
		var backlog placement.Backlog
		for priority, v := range tokens[:min(len(tokens), len(backlog))] {
			backlog[priority] = float64(v)
		}
		out[id] = backlog
	}
	return out
}
