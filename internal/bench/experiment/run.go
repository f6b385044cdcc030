package experiment

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// Run runs the named policies on a scenario with each seed, at most parallel runs at a
// time. All policies get the same trace for a seed.
func Run(ctx context.Context, s *Scenario, policies []string, seeds []uint64, parallel int) (*Comparison, error) {
	results := make([]Result, len(policies)*len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for i, seed := range seeds {
		trace := newTrace(s, seed)
		bound := newBound(s, trace)
		for k, name := range policies {
			policy, err := newPolicy(name, s)
			if err != nil {
				return nil, err
			}
			into := &results[k*len(seeds)+i]
			group.Go(func() error {
				if err := ctx.Err(); err != nil {
					return fmt.Errorf("experiment: %w", err)
				}
				*into = newResult(runOne(s, trace, policy, seed), name, seed, bound)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	c := &Comparison{Scenario: s.Name, Runs: results}
	for k := range policies {
		c.Summaries = append(c.Summaries, newSummary(results[k*len(seeds):(k+1)*len(seeds)]))
	}
	return c, nil
}
