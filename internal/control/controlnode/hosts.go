package controlnode

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"filberthook/internal/control/distribution"
	"filberthook/internal/replication/raftnet"
)

// reportsTimeout bounds the calls for the reports of the other replicas.
const reportsTimeout = 500 * time.Millisecond

// hosts collects the reports that hosts have sent to any replica. It implements
// operator.Hosts.
type hosts struct {
	registry *distribution.Registry
	self     uint64
	log      Log
	clients  *raftnet.Pool
}

// Reports implements operator.Hosts.
func (h *hosts) Reports(ctx context.Context) ([]distribution.HostReport, []string) {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	members := h.log.Status().Members
	lists := make([][]distribution.HostReport, len(members))
	failed := make([]string, len(members))
	var calls errgroup.Group
	for i, m := range members {
		if m.ID == h.self {
			continue
		}
		calls.Go(func() error {
			var resp reportsResponse
			if err := h.clients.Get(m.Address).Call(ctx, methodReports, reportsRequest{}, &resp); err != nil {
				failed[i] = m.Address
				return nil
			}
			lists[i] = resp.Reports
			return nil
		})
	}
	_ = calls.Wait() // failures are in failed
	lists = append(lists, h.registry.Reports())
	failed = slices.DeleteFunc(failed, func(address string) bool { return address == "" })
	return distribution.Merge(lists...), failed
}
