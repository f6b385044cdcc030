package usage

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/boottime"
	"filberthook/internal/process/loglimit"
	"filberthook/internal/process/pause"
)

const (
	// reportInterval is how often the counts are sent: what a host that dies has counted since
	// its last report is lost.
	reportInterval = time.Second
	// clockInterval is how often the times of day of the control hosts are read.
	clockInterval = 5 * time.Second
	// firstClockInterval replaces it until those of two control hosts are known.
	firstClockInterval = 200 * time.Millisecond
	// callTimeout bounds one call to a control host.
	callTimeout = 800 * time.Millisecond
	// flushTimeout bounds the last report of a process that stops.
	flushTimeout = 250 * time.Millisecond
)

// Control tells which control hosts there are, by peer address.
type Control interface {
	// Leader returns the leader of the control group, empty when none is known.
	Leader() string
	// Reached returns the control hosts that answer.
	Reached() []string
}

// Clients are the connections to control hosts.
type Clients interface {
	Get(address string) *peer.Client
}

// Reporter sends the counts to the leader of the control group.
type Reporter struct {
	Counts  *Counts
	Control Control
	Clients Clients
	Logger  *slog.Logger

	lines loglimit.Limiter
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	clocks := make(chan struct{})
	go func() {
		defer close(clocks)
		r.readClocks(ctx)
	}()
	defer func() { <-clocks }()
	for pause.For(ctx, reportInterval/2+rand.N(reportInterval)) { // spread over time: many hosts report
		r.send(ctx, false)
	}
}

// Flush sends the last report of a process that stops. Control hosts wait for no other.
func (r *Reporter) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	r.send(ctx, true)
	if r.Counts.hasUnsent() { // taken by a new leader, which lacks earlier counts, or not taken
		r.send(ctx, true)
	}
}

// send sends one report to the leader or, if that cannot be reached, through another control host.
func (r *Reporter) send(ctx context.Context, final bool) {
	leader := r.Control.Leader()
	report := r.Counts.report(boottime.Now(), final)
	var answer controlapi.UsageResponse
	err := error(nil)
	for _, address := range r.path(leader) {
		if answer, err = r.call(ctx, address, report); err == nil && answer.Collector != "" {
			break
		}
	}
	r.Counts.taken(answer.Collector, answer.Recorded)
	if answer.Collector == "" {
		if omitted, ok := r.lines.Allow("not taken", time.Now()); ok {
			r.Logger.Info("usage report not taken, the counts are kept", "leader", leader, "windows", r.Counts.kept(), "err", err, "omitted", omitted)
		}
	}
}

// path returns the control hosts to send a report to, in order, until one takes it.
func (r *Reporter) path(leader string) []string {
	var path []string
	if leader != "" {
		path = append(path, leader)
	}
	reached := r.Control.Reached()
	if len(reached) > 0 {
		if other := reached[rand.IntN(len(reached))]; other != leader {
			path = append(path, other)
		}
	}
	return path
}

// call sends a report to a control host and reads its clock.
func (r *Reporter) call(ctx context.Context, address string, report controlapi.UsageReport) (controlapi.UsageResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer controlapi.UsageResponse
	sentAt := boottime.Now()
	if err := r.Clients.Get(address).Call(ctx, controlapi.MethodUsage, report, &answer); err != nil {
		return controlapi.UsageResponse{}, err
	}
	if report.TimeOnly { // an answer to counts may have waited for another control host
		r.Counts.observe(address, time.Duration(answer.TimeMS)*time.Millisecond, boottime.Now()-sentAt)
	}
	return answer, nil
}

// readClocks reads the times of day of the control hosts until ctx ends.
func (r *Reporter) readClocks(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range r.Control.Reached() {
			// Ignore the error: the watch of the same control host logs its loss.
			_, _ = r.call(ctx, address, controlapi.UsageReport{TimeOnly: true})
		}
		interval := clockInterval
		if !r.Counts.synchronized() {
			interval = firstClockInterval
		}
		pause.For(ctx, interval)
	}
}
