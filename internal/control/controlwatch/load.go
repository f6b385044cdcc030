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
	// loadInterval is how often the load is exchanged: about the time in which an
	// engine reads one long prompt.
	loadInterval = 120 * time.Millisecond
	// loadTimeout bounds one exchange.
	loadTimeout = 500 * time.Millisecond
	// maxLoadPause bounds the pause after exchanges that failed in a row, which doubles: a
	// control host that is short of time must not get the same work again at once.
	maxLoadPause = 2 * time.Second
	// hostsPerInterval exchange their load each interval; more do so less often, so that the
	// control host's part does not grow with their number.
	hostsPerInterval = 24
)

// ShareLoad exchanges the load of this host with that of the others until ctx ends.
// All hosts ask the leader of the control group or, while it is not reached, the first
// control host in the order of addresses. The calls have connections of their own:
// one that is late must not end the watch of the same control host.
func (w *Watcher) ShareLoad(ctx context.Context, clients *raftnet.Pool, fleet *placement.Fleet) {
	e := loadExchange{watcher: w, clients: clients, fleet: fleet}
	interval := loadInterval * time.Duration(1+w.Hosts()/hostsPerInterval)
	for delay := interval; pause.For(ctx, delay); {
		interval = loadInterval * time.Duration(1+w.Hosts()/hostsPerInterval)
		if err := e.once(ctx); err != nil {
			// The watch of the same control host reports when it is lost.
			w.logger.Debug("load not exchanged", "err", err)
			delay = min(2*delay, maxLoadPause)
			continue
		}
		delay = interval
	}
}

// loadExchange is the loadExchange of load with the control hosts.
type loadExchange struct {
	watcher  *Watcher
	clients  *raftnet.Pool
	fleet    *placement.Fleet
	epoch    string // of the last answer
	position uint64
}

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

// loadHost returns the address of a control host on which all hosts agree while
// they reach the same ones, empty when none is reached.
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
