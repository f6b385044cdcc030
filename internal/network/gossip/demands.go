package gossip

import (
	"cmp"
	"slices"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/engines/demand"

	"google.golang.org/protobuf/proto"
)

// demandTransmissions is how often a host transmits a demand report. If all of them are
// lost, the next report replaces it.
const demandTransmissions = 3

// demands spreads demand reports among the hosts of one availability zone. It is guarded
// by the node's lock.
type demands struct {
	zone       string
	aggregator *demand.Aggregator
	sent       map[string]int // host to transmissions so far of its newest report
}

func newDemands(zone string, aggregator *demand.Aggregator) *demands {
	return &demands{zone: zone, aggregator: aggregator, sent: make(map[string]int)}
}

// put stores a report and queues it for transmission if it is newer than the known one.
func (d *demands) put(now time.Duration, r demand.Report) {
	if d.aggregator.Put(now, r) {
		d.sent[r.Host] = 0
	}
}

// fill adds queued reports to a packet, up to a size of limit bytes, if the packet goes
// to the own zone.
func (d *demands) fill(now time.Duration, p *gossipv1.Packet, toZone string, limit int) {
	if toZone != d.zone || len(d.sent) == 0 {
		return
	}
	size := proto.Size(p)
	for _, host := range d.leastSent() {
		r, ok := d.aggregator.Get(host)
		if !ok || now-r.MadeAt > demand.MaxAge {
			delete(d.sent, host)
			continue
		}
		u := toDemand(now, &r)
		size += proto.Size(u) + updateOverheadBytes
		if size > limit {
			return
		}
		p.Demands = append(p.Demands, u)
		d.sent[host]++
		if d.sent[host] >= demandTransmissions {
			delete(d.sent, host)
		}
	}
}

func (d *demands) leastSent() []string {
	hosts := make([]string, 0, len(d.sent))
	for host := range d.sent {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.sent[a], d.sent[b]), cmp.Compare(a, b))
	})
	return hosts
}

// merge stores the reports of a received packet.
func (d *demands) merge(now time.Duration, updates []*gossipv1.DemandUpdate) {
	for _, u := range updates {
		if u.GetHost() == "" {
			continue
		}
		d.put(now, fromDemand(now, u))
	}
}

func toDemand(now time.Duration, r *demand.Report) *gossipv1.DemandUpdate {
	return &gossipv1.DemandUpdate{
		Host:          r.Host,
		Incarnation:   r.Incarnation,
		Sequence:      r.Sequence,
		AgeMs:         uint32(max(0, now-r.MadeAt).Milliseconds()),
		Requests:      float32(r.Rates.Requests),
		PromptTokens:  float32(r.Rates.PromptTokens),
		OutputTokens:  float32(r.Rates.OutputTokens),
		ContextTokens: float32(r.Rates.ContextTokens),
	}
}

func fromDemand(now time.Duration, u *gossipv1.DemandUpdate) demand.Report {
	return demand.Report{
		Host:        u.GetHost(),
		Incarnation: u.GetIncarnation(),
		Sequence:    u.GetSequence(),
		MadeAt:      now - time.Duration(u.GetAgeMs())*time.Millisecond,
		Rates: demand.Rates{
			Requests:      float64(u.GetRequests()),
			PromptTokens:  float64(u.GetPromptTokens()),
			OutputTokens:  float64(u.GetOutputTokens()),
			ContextTokens: float64(u.GetContextTokens()),
		},
	}
}
