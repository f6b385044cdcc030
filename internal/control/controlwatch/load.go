package controlwatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/saturate"
	"filberthook/internal/replication/raftnet"
)

const (
	// loadInterval is how often the load is exchanged: about the time of the prefill of
	// one long prompt.
	loadInterval = 120 * time.Millisecond
	// loadTimeout bounds one exchange.
	loadTimeout = 500 * time.Millisecond
	// unknownHostsInterval is used until a control host has told how many entry hosts there
	// are, as when all hosts have just started.
	unknownHostsInterval = 4 * loadInterval
	// maxLoadPause bounds the pause between failing exchanges, which doubles so that an
	// overloaded control host does not get the same work again at once.
	maxLoadPause = 2 * time.Second
)

// ShareLoad exchanges the load and cache updates of this host with those of the other
// entry hosts until ctx ends. The calls need connections of their own: a slow call must
// not end the watch of the same control host.
func (w *Watcher) ShareLoad(ctx context.Context, clients *raftnet.Pool, fleet *placement.Fleet, ledger *quarantine.Ledger, self peer.Identity) {
	e := loadExchange{watcher: w, clients: clients, fleet: fleet, quarantine: ledger}
	delay := loadInterval
	for pause.For(ctx, delay) {
		address, interval := w.exchangePoint(self)
		fleet.SetPeers(w.Hosts())
		ledger.SetHosts(w.Hosts())
		if err := e.once(ctx, address, interval); err != nil {
			// The watch of the same control host logs its loss.
			w.logger.Debug("load not exchanged", "control", address, "err", err)
			delay = min(2*delay, maxLoadPause)
			continue
		}
		delay = exchangeDelay(interval, w.Hosts(), ledger.HasEvidence())
		if address == "" {
			continue
		}
		w.exchanged.Store(true)
		e.askProbes(ctx)
	}
}

// loadExchange exchanges load and cache updates through a control host.
type loadExchange struct {
	watcher    *Watcher
	clients    *raftnet.Pool
	fleet      *placement.Fleet
	quarantine *quarantine.Ledger
	epoch      string // of the last answer
	position   uint64 // of the last answer
}

// once makes one exchange. Cache updates are kept for the next one if it fails.
func (e *loadExchange) once(ctx context.Context, address string, interval time.Duration) error {
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report := encodeLoads(e.fleet.Loads(), e.fleet.Demand(time.Now()))
	report.IntervalMS = interval.Milliseconds()
	report.Requests, report.Notices = e.fleet.Requests(time.Now()), e.fleet.Notices(time.Now())
	report.Updates, report.UpdatesEpoch, report.UpdatesPosition = e.fleet.TakeUpdates(), e.epoch, e.position
	if evidence := e.quarantine.Report(time.Now()); !evidence.Empty() {
		report.Evidence = &evidence
	}
	var others controlapi.LoadReport
	if err := e.clients.Get(address).Call(ctx, controlapi.MethodLoad, report, &others); err != nil {
		e.fleet.RequeueUpdates(report.Updates)
		return err
	}
	others.Bound()
	e.epoch, e.position = others.UpdatesEpoch, others.UpdatesPosition
	e.fleet.SetPeerLoads(decodeLoads(others), time.Now())
	e.fleet.ApplyUpdates(others.Updates, time.Now())
	e.fleet.SetPeerRequests(others.Requests, time.Now())
	e.learn(others.Notices)
	if others.Evidence != nil {
		e.quarantine.Learn(*others.Evidence, time.Now())
	}
	e.logQuarantine()
	return nil
}

// logQuarantine logs which suspects came into quarantine and which left it.
func (e *loadExchange) logQuarantine() {
	blamed, released := e.quarantine.TakeChanges()
	for _, v := range blamed {
		e.watcher.logger.Warn("suspect in quarantine", "kind", v.Suspect.Kind().String(), "suspect", v.Suspect, "ends", v.Ends, "since_ms", time.Since(v.Since).Milliseconds(),
			"last_end_ms", time.Since(v.LastEnd).Milliseconds(), "probes", v.Probes, "by_operator", v.ByOperator)
	}
	for _, r := range released {
		e.watcher.logger.Info("suspect out of quarantine", "kind", r.Suspect.Kind().String(), "suspect", r.Suspect, "ends", r.Ends, "held", r.Held)
	}
}

// askProbes asks the leader for the probes of suspects in quarantine that are due.
func (e *loadExchange) askProbes(ctx context.Context) {
	for _, probe := range e.quarantine.DueProbes(time.Now()) {
		leader := e.watcher.Leader()
		if leader == "" {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		var answer controlapi.ProbeResponse
		err := e.clients.Get(leader).Call(ctx, controlapi.MethodProbe, probe, &answer)
		cancel()
		if err != nil {
			e.watcher.logger.Debug("probe not asked for", "suspect", probe.Suspect, "control", leader, "err", err)
			return
		}
		if answer.Granted {
			e.quarantine.Grant(probe.Suspect, time.Now())
			e.watcher.logger.Info("probe of a suspect in quarantine granted", "suspect", probe.Suspect, "control", leader)
		}
	}
}

// learn records what other hosts have heard of instances.
func (e *loadExchange) learn(notices []notice.Report) {
	for _, n := range e.fleet.LearnNotices(notices, time.Now()) {
		e.watcher.logger.Info("instance notice", "instance", n.Instance, "born", n.Born, "heard_by", "another host",
			"per_second", n.Limit, "leaving", n.Leaving, "age_ms", n.Age.Milliseconds())
	}
}

// exchangePoint returns the address of the control host to exchange load through, empty
// when none is reached, and the interval of the exchange.
func (w *Watcher) exchangePoint(self peer.Identity) (address string, interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached := map[string]string{} // zone by address
	for address, t := range w.watched {
		if t.up {
			reached[address] = t.zone
		}
	}
	return chooseExchange(self, w.hosts.highest(time.Now()), reached, w.leader)
}

// chooseExchange chooses among the control hosts that are reached, given by address with
// their zones. Few entry hosts all use the leader or, while it is not reached, the lowest
// address. Many, or an unknown number, use the control hosts of their own zones, which
// bounds the work of each and the age of what it tells.
func chooseExchange(self peer.Identity, hosts int, reached map[string]string, leader string) (address string, interval time.Duration) {
	if len(reached) == 0 {
		return "", loadInterval
	}
	if hosts > 0 && hosts <= controlapi.MaxHostsPerExchange {
		if _, ok := reached[leader]; ok {
			return leader, loadInterval
		}
		return slices.Min(slices.Collect(maps.Keys(reached))), loadInterval
	}
	return nearest(self, reached), spacedInterval(hosts, len(reached))
}

// nearest returns a control host of the own zone or, if none is reached, of another one.
// Hosts of a zone with several are spread over them by rendezvous hashing.
func nearest(self peer.Identity, reached map[string]string) string {
	best, highest, local := "", uint64(0), false
	for candidate, zone := range reached {
		weight := xxhash.Sum64String(self.Host + "/" + candidate)
		sameZone := zone == self.Zone
		if best == "" || sameZone && !local || sameZone == local && weight > highest {
			best, highest, local = candidate, weight, sameZone
		}
	}
	return best
}

// exchangeDelay returns the time to the next exchange. A host that has just started and knows of
// instances that have ended does not wait until it is told how many hosts there are.
func exchangeDelay(interval time.Duration, hosts int, evidence bool) time.Duration {
	if hosts == 0 && evidence {
		return min(interval, loadInterval)
	}
	return interval
}

// spacedInterval returns the interval at which each control host gets at most
// MaxHostsPerExchange reports in one loadInterval.
func spacedInterval(hosts, controlHosts int) time.Duration {
	if hosts == 0 {
		return unknownHostsInterval
	}
	capacity := controlapi.MaxHostsPerExchange * controlHosts
	return loadInterval * time.Duration(max(hosts, capacity)) / time.Duration(capacity)
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
				tokens[priority] = saturate.Int64(min(v, controlapi.MaxTokens))
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
