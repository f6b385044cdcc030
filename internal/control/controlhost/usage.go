package controlhost

import (
	"context"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/usagereport"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/boottime"
	"filberthook/internal/replication/document"
)

// usageForwardTimeout bounds the call that passes a report on to the leader. It is shorter than
// the calls of entry hosts.
const usageForwardTimeout = 500 * time.Millisecond

// reportsUsage reports whether usage reports are among the duties.
func (h *Host) reportsUsage() bool {
	return h.duties.holder != nil && h.duties.set.UsageReports && h.settings.Usage.Window.Duration > 0
}

// newUsageReporter returns the task that reports usage while this host holds the duties.
func (h *Host) newUsageReporter() *usagereport.Reporter {
	return &usagereport.Reporter{
		Collector: h.usage, Ledger: h.membership.ledger, Duty: h.duties.holder, Platform: h.duties.platform,
		Propose: h.proposeUsage, Logger: h.logger, Metrics: h.metrics,
	}
}

// proposeUsage appends a command of the usage ledger to the replicated log.
func (h *Host) proposeUsage(ctx context.Context, command []byte) error {
	opened := h.membership.current.Load()
	if opened == nil {
		return errClosed
	}
	result, err := opened.replica.Propose(ctx, document.EncodeCommand(document.KindUsage, command))
	if err != nil {
		return err
	}
	if failure, ok := result.(error); ok {
		return fmt.Errorf("usage command: %w", failure)
	}
	return nil
}

// serveUsage takes the counts of an entry host if this host leads, and passes them on to the
// leader otherwise.
func (h *Host) serveUsage(ctx context.Context, from peer.Identity, report controlapi.UsageReport) (controlapi.UsageResponse, error) {
	answer := controlapi.UsageResponse{}
	_, leads := h.membership.Leads()
	switch {
	case report.TimeOnly:
	case leads && h.reportsUsage():
		host := from.Host
		if report.Host != "" {
			host = report.Host
		}
		answer.Recorded = h.membership.ledger().Last()
		if late := h.usage.Add(host, report, answer.Recorded, boottime.Now()); late > 0 {
			h.metrics.GetOrCreateCounter("filberthook_control_usage_late_total").AddInt64(late)
			h.logger.Warn("requests reported after the counts of their window were agreed", "entry", host, "requests", late, "recorded", answer.Recorded)
		}
		answer.Collector = h.epoch
	case report.Host == "":
		answer = h.forwardUsage(ctx, from.Host, report)
	}
	answer.TimeMS = time.Now().UnixMilli()
	return answer, nil
}

// forwardUsage passes the counts of an entry host on to the leader.
func (h *Host) forwardUsage(ctx context.Context, host string, report controlapi.UsageReport) controlapi.UsageResponse {
	leader := h.membership.leader()
	if leader == "" || leader == h.settings.Listen.peersAddress() {
		return controlapi.UsageResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, usageForwardTimeout)
	defer cancel()
	report.Host = host
	var answer controlapi.UsageResponse
	if err := h.rpc.Get(leader).Call(ctx, controlapi.MethodUsage, report, &answer); err != nil {
		h.logger.Debug("usage report not passed on", "entry", host, "leader", leader, "err", err)
		return controlapi.UsageResponse{}
	}
	return answer
}
