package gossip

import (
	"math"
	"testing"
	"time"

	gossipv1 "filberthook/api/filberthook/gossip/v1"
	"filberthook/internal/network/membership"

	"google.golang.org/protobuf/proto"
)

// FuzzPacket checks that whatever packet a host receives, it goes on, its own packets can be
// encoded, and it still takes what an instance announces to it.
func FuzzPacket(f *testing.F) {
	seed := func(p *gossipv1.Packet) {
		body, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	seed(&gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h001", Incarnation: math.MaxUint64, Instances: []*gossipv1.InstanceUpdate{
		{Instance: "odd", Incarnation: math.MaxUint64, Sequence: math.MaxUint64, AgeMs: math.MaxUint32, Announcement: &gossipv1.Announcement{Kind: "model", Zone: "z0", Address: "10.0.0.1:0", LeaseMs: math.MaxUint32}},
		{Instance: "odd", Sequence: 1, Load: &gossipv1.Load{StepMs: float32(math.Inf(1)), PrefillPerSec: float32(math.NaN()), Running: math.MaxUint32, AgeMs: math.MaxUint32}},
		{Instance: "odd", Expired: true, Incarnation: math.MaxUint64},
	}})
	seed(&gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h001", Demands: []*gossipv1.DemandUpdate{
		{Host: "h001", Incarnation: math.MaxUint64, Sequence: math.MaxUint64, Requests: float32(math.NaN()), PromptTokens: float32(math.Inf(1))},
	}})
	seed(&gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h001", Hosts: []*gossipv1.HostUpdate{{Host: "h000", State: 2, Incarnation: math.MaxUint64}, {Host: "h002", Incarnation: math.MaxUint64, State: 99}}})
	seed(&gossipv1.Packet{Protocol: membership.ProtocolVersion, From: "h001", Kind: &gossipv1.Packet_SyncRequest{SyncRequest: &gossipv1.SyncRequest{InstanceHashes: []uint64{1, 2}}}})
	f.Fuzz(func(t *testing.T, body []byte) {
		var p gossipv1.Packet
		if proto.Unmarshal(body, &p) != nil {
			return
		}
		w := newNetwork(2, 2, 1, 500*time.Millisecond)
		w.run(t, time.Second)
		m := w.machines["h000"]
		send := func(out []membership.Outgoing) {
			for _, o := range out {
				if _, err := proto.Marshal(o.Packet); err != nil {
					t.Errorf("a packet to another host: %v", err)
				}
			}
		}
		send(m.receive(w.now, "h001", &p))
		for range 5 {
			w.now += step
			send(m.tick(w.now))
		}
		sum, _ := m.demands.aggregator.Total(w.now)
		for _, v := range []float64{sum.Requests, sum.PromptTokens, sum.OutputTokens, sum.ContextTokens} {
			if !(v >= 0 && v <= math.MaxFloat64) {
				t.Errorf("a demand of %v", v)
			}
		}
		a := *w.workers["w000"]
		a.Instance, a.Incarnation, a.Sequence = "i-sound", math.MaxUint64, math.MaxUint64
		if _, err := m.instances.receiveAnnouncement(w.now, a); err != nil || w.dirs["h000"].Snapshot().Find("i-sound") == nil {
			t.Errorf("a sound announcement is not taken, error %v", err)
		}
	})
}
