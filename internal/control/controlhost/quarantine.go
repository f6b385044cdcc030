package controlhost

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/replica"
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
	Word          controlapi.BlockWord
	Block         quarantine.Suspect
	Taken, Voters int // voters that have taken the word, of all
	Err           error
}

func (e *WordNotKeptError) Error() string {
	return fmt.Sprintf("%s of %q was taken by %d of %d control hosts with a vote, repeat the command: %v", e.Word, e.Block, e.Taken, e.Voters, e.Err)
}

func (e *WordNotKeptError) Unwrap() error { return e.Err }

// copyWord passes an operator's word on to the other members. It returns once more than half of
// the voters have taken it, or an error once they cannot; the others are still told.
func (h *Host) copyWord(ctx context.Context, req controlapi.BlocksRequest) error {
	req.Forwarded, req.Copied = true, true
	status, _ := h.membership.status()
	answers := make(chan error, len(status.Members))
	voters, taken := 0, 0
	for _, m := range status.Members {
		own := m.ID == status.ID
		if !m.Learner {
			voters++
			if own {
				taken++
			}
		}
		if !own {
			h.startCopy(ctx, m, req, answers)
		}
	}
	var last error
	for asked := voters - taken; asked > 0 && 2*taken <= voters && 2*(taken+asked) > voters; asked-- {
		if err := <-answers; err != nil {
			last = err
		} else {
			taken++
		}
	}
	if 2*taken <= voters {
		return &WordNotKeptError{req.Word, req.Block, taken, voters, last}
	}
	return nil
}

// startCopy tells a member an operator's word, after the earlier ones that it is being told: the
// word that a member takes last counts. A voter's answer is sent to answers.
func (h *Host) startCopy(ctx context.Context, m replica.MemberStatus, req controlapi.BlocksRequest, answers chan<- error) {
	client := h.rpc.Get(m.Address)
	earlier, done := h.copies.enter(m.Address)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	go func() {
		defer cancel()
		defer done()
		select {
		case <-earlier:
		case <-ctx.Done():
		}
		var answer controlapi.BlocksResponse
		err := client.Call(ctx, controlapi.MethodBlocks, req, &answer)
		if !m.Learner {
			answers <- err
		}
	}()
}

// wordCopies keeps the operators' words that are being passed on in order.
type wordCopies struct {
	mu   sync.Mutex
	last map[string]chan struct{} // by address; closed once the last word has been passed on
}

// enter returns a channel that is closed once the earlier words have been passed on to an address,
// and a function that tells that this one has.
func (c *wordCopies) enter(address string) (earlier <-chan struct{}, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, ok := c.last[address]
	if !ok {
		before = make(chan struct{})
		close(before)
	}
	own := make(chan struct{})
	if c.last == nil {
		c.last = map[string]chan struct{}{}
	}
	c.last[address] = own
	return before, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(own)
		if c.last[address] == own {
			delete(c.last, address)
		}
	}
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
