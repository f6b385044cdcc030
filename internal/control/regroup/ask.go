package regroup

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
)

// askTimeout bounds asking one control host.
const askTimeout = 2 * time.Second

// maxFound bounds the control hosts that Find asks.
const maxFound = 64

// Answer is what a control host that was asked has said.
type Answer struct {
	Address string
	Reached bool // it has answered, if only with an error
	// Status is what it knows of its group; nil if it has answered with an error.
	Status *controlapi.GroupStatus
}

// Find asks the control hosts at the peer addresses, and those that they name, what they know of
// their group. The host with the most complete log comes first, hosts without an answer last.
func Find(ctx context.Context, addresses []string) []Answer {
	var out []Answer
	asked := map[string]bool{}
	for next := slices.Compact(slices.Sorted(slices.Values(addresses))); len(next) > 0 && len(out) < maxFound; {
		for _, address := range next {
			asked[address] = true
		}
		answers := Ask(ctx, next, true)
		out, next = append(out, answers...), unasked(answers, asked)
	}
	slices.SortStableFunc(out, compare)
	return out
}

// unasked returns the addresses that the answers name and that were not asked.
func unasked(answers []Answer, asked map[string]bool) []string {
	var out []string
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, m := range a.Status.Members {
			if !asked[m.Address] && !slices.Contains(out, m.Address) {
				out = append(out, m.Address)
			}
		}
	}
	return out
}

// compare orders answers by how complete the hosts' logs are.
func compare(x, y Answer) int {
	switch {
	case x.Status == nil && y.Status == nil:
	case x.Status == nil:
		return 1
	case y.Status == nil, x.Status.Ahead(y.Status):
		return -1
	case y.Status.Ahead(x.Status):
		return 1
	}
	return strings.Compare(x.Address, y.Address)
}

// Ask asks the control hosts at the peer addresses for their status, all at once. With others,
// each also asks the members that it knows.
func Ask(ctx context.Context, addresses []string, others bool) []Answer {
	options := controlapi.PeerOptions(peer.Identity{Host: "operator"}, true, metrics.NewSet(), slog.New(slog.DiscardHandler))
	out := make([]Answer, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() { out[i] = askOne(ctx, address, others, options) })
	}
	asking.Wait()
	return out
}

func askOne(ctx context.Context, address string, others bool, options peer.Options) Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := peer.NewClient(address, options)
	defer client.Close()
	var status controlapi.GroupStatus
	err := client.Call(ctx, controlapi.MethodGroup, controlapi.GroupRequest{Ask: others}, &status)
	var refused *peer.RemoteError
	switch {
	case err == nil:
		return Answer{Address: address, Reached: true, Status: &status}
	case errors.As(err, &refused):
		return Answer{Address: address, Reached: true}
	default:
		return Answer{Address: address}
	}
}
