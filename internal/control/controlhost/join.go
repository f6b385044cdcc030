package controlhost

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/formation"
	"filberthook/internal/process/pause"
	"filberthook/internal/replication/replica"
)

const (
	// joinInterval is the pause between two requests to join the group.
	joinInterval = 300 * time.Millisecond
	// rejoinAfter is how long a member knows no leader before it asks again: the group may
	// have removed it while it was down.
	rejoinAfter = 2 * time.Second
	// joinLogInterval bounds the log lines about requests that fail, for each address.
	joinLogInterval = 5 * time.Second
)

// joins holds the pending requests to join the group, by address.
type joins struct {
	mu      sync.Mutex
	pending map[string]controlapi.JoinRequest
}

func (j *joins) add(req controlapi.JoinRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending[req.Address] = req
}

// take removes and returns all requests.
func (j *joins) take() []controlapi.JoinRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]controlapi.JoinRequest, 0, len(j.pending))
	for _, req := range j.pending {
		out = append(out, req)
	}
	clear(j.pending)
	return out
}

// joiner asks the control hosts that it knows to make this host's replica a member.
type joiner struct {
	*membership
	opened *openReplica
	req    controlapi.JoinRequest
	known  map[string]bool      // peer addresses
	logged map[string]time.Time // when a failed request was last logged, by address
}

// join asks to join while this host's replica is no member, or knows no leader for so long that it
// may have been removed. It returns when ctx ends.
func (m *membership) join(ctx context.Context, opened *openReplica) {
	j := &joiner{
		membership: m, opened: opened, known: map[string]bool{}, logged: map[string]time.Time{},
		req: controlapi.JoinRequest{ID: opened.id, Address: m.host.settings.Listen.peersAddress(), Zone: m.host.settings.Zone},
	}
	var asking sync.WaitGroup
	defer asking.Wait()
	asking.Go(func() { m.watchRemoval(ctx, opened) })
	member, leaderSeen := false, time.Now()
	for ctx.Err() == nil {
		status := opened.replica.Status()
		if status.Leader != 0 {
			leaderSeen = time.Now()
		}
		if isMember(status, opened.id) && !member {
			member = true
			m.host.logger.Info("this host is a member of the control group", "id", opened.id)
		}
		if !member || time.Since(leaderSeen) > rejoinAfter {
			j.ask(ctx)
		}
		pause.For(ctx, joinInterval)
	}
}

// ask sends the request to the known control hosts until one accepts it.
func (j *joiner) ask(ctx context.Context) {
	for _, address := range formation.PeerAddresses(j.host.seeds(), j.host.peerPort) {
		j.known[address] = true
	}
	for _, address := range j.addresses() {
		j.known[address] = true
	}
	j.req.Last = j.opened.replica.Status().LastIndex
	for address := range j.known {
		if address == j.req.Address {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var resp controlapi.JoinResponse
		err := j.host.rpc.Get(address).Call(call, controlapi.MethodJoin, j.req, &resp)
		cancel()
		if err != nil {
			j.logFailure(address, err)
			continue
		}
		for _, peer := range resp.Peers {
			j.known[peer] = true
		}
		j.told.Store(&resp.Members)
		if resp.Removed {
			j.host.logger.Warn("this host was removed from the control group while it was down, or holds the log of another group", "id", j.req.ID, "told_by", address)
			j.opened.replica.Exclude()
		}
		return
	}
}

func (j *joiner) logFailure(address string, err error) {
	if now := time.Now(); now.Sub(j.logged[address]) >= joinLogInterval {
		j.logged[address] = now
		j.host.logger.Info("request to join the group failed", "at", address, "err", err)
	}
}

func isMember(status replica.Status, id uint64) bool {
	for _, m := range status.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// addressesByID returns the addresses of the members by replica id.
func addressesByID(status replica.Status) map[uint64]string {
	out := make(map[uint64]string, len(status.Members))
	for _, m := range status.Members {
		out[m.ID] = m.Address
	}
	return out
}

// serveJoin queues a request to join, or forwards it to the leader.
func (h *Host) serveJoin(ctx context.Context, req controlapi.JoinRequest) (controlapi.JoinResponse, error) {
	status, ok := h.membership.status()
	if !ok {
		return controlapi.JoinResponse{}, &UnavailableError{errClosed}
	}
	if status.Role == replica.RoleLeader {
		if _, removed := slices.BinarySearch(status.Removed, req.ID); removed {
			return controlapi.JoinResponse{Removed: true}, nil
		}
		if stranger, err := h.isStranger(ctx, req); stranger || err != nil {
			return controlapi.JoinResponse{Removed: stranger}, err
		}
		h.joins.add(req)
		return controlapi.JoinResponse{Peers: h.membership.addresses(), Members: addressesByID(status)}, nil
	}
	if status.LeaderAddress == "" || status.LeaderAddress == h.settings.Listen.peersAddress() {
		return controlapi.JoinResponse{}, &UnavailableError{errors.New("no leader is known")}
	}
	var resp controlapi.JoinResponse
	err := h.rpc.Get(status.LeaderAddress).Call(ctx, controlapi.MethodJoin, req, &resp)
	return resp, err
}
