package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"filberthook/internal/serve/claim"
)

// runProposer sends batches until the client is closed. Each batch takes the commands
// that are queued when the proposer becomes free, so that batches grow with the load.
func (c *Client) runProposer() {
	for {
		select {
		case first := <-c.queue:
			c.sendBatch(c.collectBatch(first))
		case <-c.stopping.Done():
			return
		}
	}
}

// collectBatch takes queued commands without waiting, up to a full batch. It skips
// commands whose submitters have stopped waiting.
func (c *Client) collectBatch(first *submission) []*submission {
	batch := make([]*submission, 0, c.settings.MaxBatch)
	for s := first; ; {
		if s.taken.CompareAndSwap(false, true) {
			batch = append(batch, s)
		}
		if len(batch) == c.settings.MaxBatch {
			return batch
		}
		select {
		case s = <-c.queue:
		default:
			return batch
		}
	}
}

// sendBatch proposes a batch and passes the results to the submitters.
func (c *Client) sendBatch(batch []*submission) {
	if len(batch) == 0 {
		return
	}
	c.batches.Inc()
	c.commands.Add(len(batch))
	results, err := c.proposeBatch(batch)
	c.health.record(err)
	for i, s := range batch {
		s.err = err
		if err == nil {
			s.result = results[i]
		}
		close(s.done)
	}
}

func (c *Client) proposeBatch(batch []*submission) ([]claim.Result, error) {
	encoded := claim.Batch{Commands: make([]claim.Command, len(batch))}
	for i, s := range batch {
		encoded.Commands[i] = s.cmd
	}
	data, err := json.Marshal(encoded)
	if err != nil {
		return nil, &NotAppliedError{Err: err}
	}
	ctx, cancel := context.WithTimeout(c.stopping, c.settings.ProposeTimeout.Duration)
	defer cancel()
	answer, err := c.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	var res claim.BatchResult
	if err := json.Unmarshal(answer, &res); err != nil {
		return nil, fmt.Errorf("result of a batch of claims: %w", err)
	}
	if res.Error != "" {
		return nil, &NotAppliedError{Err: errors.New(res.Error)}
	}
	if len(res.Results) != len(batch) {
		return nil, fmt.Errorf("%d results for %d commands: upgrade the older process", len(res.Results), len(batch))
	}
	return res.Results, nil
}
