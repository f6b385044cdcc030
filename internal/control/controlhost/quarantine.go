package controlhost

import (
	"context"
	"fmt"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
)

// copyTimeout bounds the time in which the leader passes an operator's word on. It ends before
// the call of the control host that forwarded the word to the leader.
const copyTimeout = callTimeout / 2

// evidence returns what is known of blocks and requests that end instances, nil if nothing is.
func (l *loads) evidence(now time.Time) *quarantine.Report {
	if r := l.quarantine.Report(now); !r.Empty() {
		return &r
	}
	return nil
}

func (l *loads) learnEvidence(r *quarantine.Report, now time.Time) {
	if r != nil {
		l.quarantine.Learn(*r, now)
	}
}

// noteLeadership records since when this host leads, for the grants of probes.
func (h *Host) noteLeadership() {
	if term, leads := h.membership.Leads(); leads {
		h.loads.mu.Lock()
		defer h.loads.mu.Unlock()
		h.loads.grants.Lead(term, time.Now())
	}
}

// grantProbe decides whether an entry host may probe a suspect in quarantine. Only the leader
// grants any, so that one host probes at a time.
func (h *Host) grantProbe(ctx context.Context, host string, p quarantine.Probe) controlapi.ProbeResponse {
	term, leads := h.membership.Leads()
	leads = leads && h.membership.Confirm(ctx) == nil
	h.loads.mu.Lock()
	granted := leads && h.loads.grants.Ask(p, term, time.Now())
	h.loads.mu.Unlock()
	h.logger.Info("probe of a suspect in quarantine asked for", "suspect", p.Suspect, "by", host, "leader", leads, "granted", granted)
	return controlapi.ProbeResponse{Granted: granted}
}

// BlockWordError reports an operator's word that was not taken.
type BlockWordError struct {
	Word   controlapi.BlockWord
	Block  quarantine.Suspect
	Remedy string
}

func (e *BlockWordError) Error() string {
	return fmt.Sprintf("%s of %q was not taken: %s", e.Word, e.Block, e.Remedy)
}

// LeaderUnreachedError reports that only this control host knows an operator's word, or that its
// list may lack blocks.
type LeaderUnreachedError struct {
	Leader string // address, empty if none is known
	Err    error
}

func (e *LeaderUnreachedError) Error() string {
	if e.Leader == "" {
		return "the control group has no leader: repeat the command once it has one"
	}
	return fmt.Sprintf("the leader %s was not reached, repeat the command: %v", e.Leader, e.Err)
}

func (e *LeaderUnreachedError) Unwrap() error { return e.Err }

// serveBlocks takes an operator's word on a block or a request and lists those in quarantine. The
// leader is told in any case: a few entry hosts exchange what they know through it alone, and
// it passes the word on to the other control hosts, as the next leader must know it.
func (h *Host) serveBlocks(ctx context.Context, from peer.Identity, req controlapi.BlocksRequest) (controlapi.BlocksResponse, error) {
	err := h.takeWord(req)
	if req.Word != controlapi.NoWord {
		h.logger.Warn("operator's word on a suspect", "word", req.Word, "suspect", req.Block, "by", from.Host, "forwarded", req.Forwarded, "copied", req.Copied, "taken", err == nil)
	}
	if err != nil {
		return controlapi.BlocksResponse{}, err
	}
	_, leads := h.membership.Leads()
	if leads && req.Word != controlapi.NoWord && !req.Copied {
		if err := h.copyWord(ctx, req); err != nil {
			return controlapi.BlocksResponse{}, err
		}
	}
	if leads || req.Forwarded || req.Copied {
		return controlapi.BlocksResponse{Blocks: h.loads.quarantine.Entries(time.Now())}, nil
	}
	leader := h.watcher.Leader()
	if leader == "" {
		return controlapi.BlocksResponse{}, &LeaderUnreachedError{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req.Forwarded = true
	var answer controlapi.BlocksResponse
	if err := h.rpc.Get(leader).Call(ctx, controlapi.MethodBlocks, req, &answer); err != nil {
		return answer, &LeaderUnreachedError{Leader: leader, Err: err}
	}
	return answer, nil
}

// WordNotKeptError reports an operator's word that would be lost with few control hosts.
type WordNotKeptError struct {
	Word         controlapi.BlockWord
	Block        quarantine.Suspect
	Taken, Hosts int // control hosts that have taken the word, of all members
	Err          error
}

func (e *WordNotKeptError) Error() string {
	return fmt.Sprintf("%s of %q was taken by %d of %d control hosts, repeat the command: %v", e.Word, e.Block, e.Taken, e.Hosts, e.Err)
}

func (e *WordNotKeptError) Unwrap() error { return e.Err }

// copyWord passes an operator's word on to the other members. It returns an error unless more than
// half of all members have taken it.
func (h *Host) copyWord(ctx context.Context, req controlapi.BlocksRequest) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	req.Forwarded, req.Copied = true, true
	members := h.membership.addresses()
	answers := make(chan error, len(members))
	for _, address := range members {
		if address == h.settings.Listen.peersAddress() {
			answers <- nil
			continue
		}
		go func() {
			var answer controlapi.BlocksResponse
			answers <- h.rpc.Get(address).Call(ctx, controlapi.MethodBlocks, req, &answer)
		}()
	}
	taken := 0
	var last error
	for range members {
		if err := <-answers; err != nil {
			last = err
		} else {
			taken++
		}
	}
	if 2*taken <= len(members) {
		return &WordNotKeptError{req.Word, req.Block, taken, len(members), last}
	}
	return nil
}

func (h *Host) takeWord(req controlapi.BlocksRequest) error {
	ledger, now := h.loads.quarantine, time.Now()
	if req.Word != controlapi.NoWord && !req.Block.Valid() {
		return &BlockWordError{req.Word, req.Block, "name a block as MODEL/ID, a request as request:ENDPOINT:DIGEST"}
	}
	taken := true
	switch req.Word {
	case controlapi.NoWord:
	case controlapi.HoldBlock:
		taken = ledger.Hold(req.Block, now)
	case controlapi.ReleaseBlock:
		taken = ledger.Release(req.Block, now)
	default:
		return &BlockWordError{req.Word, req.Block, "say hold or release"}
	}
	if !taken {
		return &BlockWordError{req.Word, req.Block, "release others first, there is room for no more"}
	}
	return nil
}
