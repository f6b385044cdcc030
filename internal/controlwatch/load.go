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
	loadTimeout = 400 * time.Millisecond
	// fewHosts exchange their load each interval; more do so less often, so that the
	// control host's part does not grow with their number.
	fewHosts = 24
)

// ShareLoad exchanges the load of this host with that of the others until ctx ends.
// All hosts ask the first control host that they reach, in the order of addresses.
func (w *Watcher) ShareLoad(ctx context.Context, fleet *placement.Fleet) {
	for pause.For(ctx, loadInterval*time.Duration(1+w.Hosts()/fewHosts)) {
		address := w.firstReached()
		if address == "" {
			continue
		}
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		var others controlapi.LoadReport
		err := w.clients.Get(address).Call(call, controlapi.MethodLoad, encodeLoads(fleet.Loads()), &others)
		cancel()
		if err != nil {
			// The watch of the same control host reports when it is lost.
			w.logger.Debug("load not exchanged", "control", address, "err", err)
			continue
		}
		fleet.SetOthers(decodeLoads(others), time.Now())
	}
}

// firstReached returns the address of a control host on which all hosts agree while
// they reach the same ones, empty when none is reached.
func (w *Watcher) firstReached() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var reached []string
	for address, t := range w.watched {
		if t.up {
			reached = append(reached, address)
		}
	}
	if len(reached) == 0 {
		return ""
	}
	return slices.Min(reached)
}

func encodeLoads(loads map[string]placement.Backlog) controlapi.LoadReport {
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
	return controlapi.LoadReport{Tokens: out}
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
