package controlwatch

import (
	"context"
	"slices"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/placement"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/raftnet"
)

const (
	// loadInterval is how often the load is exchanged: about the time of the prefill of
	// one long prompt.
	loadInterval = 120 * time.Millisecond
	// loadTimeout bounds one exchange.
	loadTimeout = 500 * time.Millisecond
	// maxLoadPause bounds the pause between failing exchanges, which doubles so that an
	// overloaded control host does not get the same work again at once.
	maxLoadPause = 2 * time.Second
	// maxHostsPerInterval bounds how many entry hosts exchange their load within one
	// loadInterval. More hosts exchange it less often, so that the control host's work
	// does not grow with their number.
	maxHostsPerInterval = 24
)

// ShareLoad exchanges the load and cache updates of this host with those of the other
// entry hosts until ctx ends. All hosts call the leader of the control group or, while it
// is unreachable, the reachable control host with the lowest address. The calls need
// connections of their own: a slow call must not end the watch of the same control host.
func (w *Watcher) ShareLoad(ctx context.Context, clients *raftnet.Pool, fleet *placement.Fleet) {
	e := loadExchange{watcher: w, clients: clients, fleet: fleet}
	interval := loadInterval * time.Duration(1+w.Hosts()/maxHostsPerInterval)
	for delay := interval; pause.For(ctx, delay); {
		interval = loadInterval * time.Duration(1+w.Hosts()/maxHostsPerInterval)
		if err := e.once(ctx); err != nil {
			// The watch of the same control host logs its loss.
			w.logger.Debug("load not exchanged", "err", err)
			delay = min(2*delay, maxLoadPause)
			continue
		}
		delay = interval
	}
}

// loadExchange exchanges load and cache updates through a control host.
type loadExchange struct {
	watcher  *Watcher
	clients  *raftnet.Pool
	fleet    *placement.Fleet
	epoch    string // of the last answer
	position uint64 // of the last answer
}

// once makes one exchange. Cache updates are kept for the next one if it fails.
func (e *loadExchange) once(ctx context.Context) error {
	address := e.watcher.loadHost()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report := encodeLoads(e.fleet.Loads(), e.fleet.Demand(time.Now()))
	report.Updates, report.UpdatesEpoch, report.UpdatesPosition = e.fleet.TakeUpdates(), e.epoch, e.position
	var others controlapi.LoadReport
	if err := e.clients.Get(address).Call(ctx, controlapi.MethodLoad, report, &others); err != nil {
		e.fleet.RequeueUpdates(report.Updates)
		return err
	}
	e.epoch, e.position = others.UpdatesEpoch, others.UpdatesPosition
	e.fleet.SetPeerLoads(decodeLoads(others), time.Now())
	e.fleet.ApplyUpdates(others.Updates, time.Now())
	return nil
}

// loadHost returns the address of the control host to exchange load through, empty when
// none is reached. Hosts that reach the same control hosts choose the same one.
func (w *Watcher) loadHost() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.watched[w.leader]; ok && t.up {
		return w.leader
	}
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
	demands := make(map[string]controlapi.Demand, len(demand))
	for endpoint, d := range demand {
		demands[endpoint] = controlapi.Demand(d)
	}
	return controlapi.LoadReport{Tokens: out, Demand: demands}
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
