package controlhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/formation"
	"filberthook/internal/network/peer"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/consensus"
	"filberthook/internal/replication/storage"
)

// expelInterval is how often the members of a former group are told. It is below the shortest
// time that a host waits for a leader before it starts an election.
const expelInterval = 200 * time.Millisecond

const (
	// removalTimeout bounds asking whether the replica was removed.
	removalTimeout = 400 * time.Millisecond
	// removalInterval is how often a member asks again.
	removalInterval = 3 * time.Second
)

// expelFormer tells the members of the group that this host's group has replaced, if any, that
// they are no members, so that they neither elect a leader nor answer one when they come back.
func (h *Host) expelFormer(ctx context.Context) {
	former, err := storage.ReadFormer(h.membership.fs, h.membership.dir())
	if err != nil || len(former) == 0 {
		return // the replica reports an unusable folder
	}
	req, addresses := expulsion(former, h.settings.Listen.peersAddress())
	h.former.Store(&req.IDs)
	h.logger.Info("this host was made a new control group; members of the former one are told that they were removed",
		"ids", req.IDs, "addresses", addresses)
	var running sync.WaitGroup
	defer running.Wait()
	for _, address := range addresses {
		running.Go(func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, callTimeout)
				_ = h.rpc.Get(address).Call(call, controlapi.MethodExpelled, req, &struct{}{}) // repeated
				cancel()
				pause.For(ctx, expelInterval)
			}
		})
	}
}

// expulsion returns the request to members of a former group and their addresses other than
// the own one.
func expulsion(former []consensus.Member, own string) (controlapi.ExpelledRequest, []string) {
	var req controlapi.ExpelledRequest
	var addresses []string
	for _, m := range former {
		req.IDs = append(req.IDs, m.ID)
		if m.Address != own && !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	return req, addresses
}

// wasRemoved reports whether a replica was a member of this host's group and was removed. That is
// never undone, so any host may tell.
func (h *Host) wasRemoved(id uint64) bool {
	status, _ := h.membership.status()
	_, removed := slices.BinarySearch(status.Removed, id)
	return removed
}

// watchRemoval asks other hosts whether this host's replica was removed, at its start and from
// then on: former members that come back together could elect a leader, which none of them asks.
func (m *membership) watchRemoval(ctx context.Context, opened *openReplica) {
	for ctx.Err() == nil {
		m.askWhetherRemoved(ctx, opened)
		pause.For(ctx, removalInterval)
	}
}

// askWhetherRemoved asks the hosts that a replica with a log knows.
func (m *membership) askWhetherRemoved(ctx context.Context, opened *openReplica) {
	if opened.replica.Status().LastIndex == 0 {
		return
	}
	known := append(m.addresses(), formation.PeerAddresses(m.host.seeds(), m.host.peerPort)...)
	slices.Sort(known)
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, address := range slices.Compact(known) {
		if address == m.host.settings.Listen.peersAddress() {
			continue
		}
		asking.Go(func() {
			var answer controlapi.GroupStatus
			err := m.host.rpc.Get(address).Call(ctx, controlapi.MethodGroup, controlapi.GroupRequest{Replica: opened.id}, &answer)
			if err == nil && answer.Removed {
				m.host.logger.Warn("this host's replica was removed from the control group while it was down", "id", opened.id, "told_by", address)
				opened.replica.Exclude()
			}
		})
	}
	asking.Wait()
}

// TwoGroupsError reports that two hosts were made new groups in place of the same former one.
type TwoGroupsError struct {
	Host  string // that the caller names
	Other string // this host
}

// Error implements error.
func (e *TwoGroupsError) Error() string {
	return fmt.Sprintf("%s and %s were both made new groups of the same former group: stop one of them, empty its data folder and start it again", e.Host, e.Other)
}

// serveExpelled ends the replica of this host if it is among those that are no members any more.
func (h *Host) serveExpelled(from peer.Identity, req controlapi.ExpelledRequest) error {
	opened := h.membership.current.Load()
	if opened == nil {
		return nil
	}
	if slices.Contains(req.IDs, opened.id) {
		h.logger.Warn("this host's group lost its quorum and was replaced: its replica is no member any more", "id", opened.id, "told_by", from.Host)
		opened.replica.Exclude()
		return nil
	}
	former := h.former.Load()
	if former == nil || !slices.ContainsFunc(*former, func(id uint64) bool { return slices.Contains(req.IDs, id) }) {
		return nil
	}
	err := &TwoGroupsError{Host: from.Host, Other: h.settings.Host}
	if omitted, ok := h.expelLines.Allow("two groups", time.Now()); ok {
		h.logger.Error("two control groups in place of one", "err", err, "omitted", omitted)
	}
	return err
}
