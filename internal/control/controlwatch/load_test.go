package controlwatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/engines/placement"
	"filberthook/internal/network/peer"
)

func TestChoiceOfTheControlHostToExchangeLoadWith(t *testing.T) {
	zones := map[string]string{"10.1.0.1": "bio", "10.2.0.1": "sdr", "10.3.0.1": "ovd"}
	tests := []struct {
		name    string
		zone    string
		hosts   int
		reached map[string]string
		leader  string
		want    string
	}{
		{"none reached", "bio", 8, nil, "10.2.0.1", ""},
		{"few hosts use the leader", "bio", 8, zones, "10.2.0.1", "10.2.0.1"},
		{"few hosts without the leader use the lowest address", "sdr", 8, zones, "10.9.0.1", "10.1.0.1"},
		{"many hosts use their zone's control host", "ovd", 294, zones, "10.2.0.1", "10.3.0.1"},
		{"an unknown number uses their zone's control host", "ovd", 0, zones, "10.2.0.1", "10.3.0.1"},
	}
	for _, tt := range tests {
		self := peer.Identity{Host: "e", Zone: tt.zone}
		if got, _ := chooseExchange(self, tt.hosts, tt.reached, tt.leader); got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}

// A zone without a reachable control host spreads its entry hosts over the others.
func TestHostsWithoutAControlHostInTheirZoneAreSpread(t *testing.T) {
	reached := map[string]string{"10.1.0.1": "bio", "10.2.0.1": "sdr", "10.3.0.1": "ovd"}
	counts := map[string]int{}
	for n := range 300 {
		address, _ := chooseExchange(peer.Identity{Host: fmt.Sprint("e-", n), Zone: "vgo"}, 300, reached, "")
		counts[address]++
	}
	for address := range reached {
		if counts[address] < 60 {
			t.Errorf("%d of 300 hosts use %s, want about 100", counts[address], address)
		}
	}
}

// Whatever the number of entry hosts, a control host gets at most MaxHostsPerExchange
// reports in each loadInterval.
func TestExchangesOfAControlHostAreBounded(t *testing.T) {
	for _, controls := range []int{3, 6, 9} {
		reached := map[string]string{}
		for n := range controls {
			reached[fmt.Sprint(n)] = "z"
		}
		for _, hosts := range []int{1, 8, 24, 25, 64, 294, 1000} {
			_, interval := chooseExchange(peer.Identity{Host: "e"}, hosts, reached, "0")
			sharing := controls
			if hosts <= controlapi.MaxHostsPerExchange {
				sharing = 1
			}
			perInterval := float64(hosts) / float64(sharing) * float64(loadInterval) / float64(interval)
			if perInterval > controlapi.MaxHostsPerExchange+0.01 || interval < loadInterval || interval > 5*time.Second {
				t.Errorf("%d hosts, %d control hosts: one exchange each %v, %.1f reports in %v", hosts, controls, interval, perInterval, loadInterval)
			}
		}
	}
}

// BenchmarkExchangeOfALargeFleet measures what an answer costs an entry host of a large
// fleet: the backlog of 320 engines and an update of each.
func BenchmarkExchangeOfALargeFleet(b *testing.B) {
	fleet := placement.New(placement.DefaultSettings(), func() float64 { return 0.5 }, func(string) bool { return true })
	snapshot := &instances.Snapshot{ByEndpoint: map[string][]instances.Instance{}}
	answer := controlapi.LoadReport{Tokens: controlapi.Backlogs{}}
	for n := range 320 {
		id := fmt.Sprintf("i-%010x", n*7919)
		snapshot.ByEndpoint["lm"] = append(snapshot.ByEndpoint["lm"], instances.Instance{ID: id, Endpoint: "lm", Address: id})
		answer.Tokens[id] = []int64{1200, 3000, 0, 8000}
		answer.Updates = append(answer.Updates, placement.CacheUpdate{Instance: id, PrefixKeys: placement.PrefixKeys{uint64(n)}, PrefillRate: 50})
	}
	fleet.Update(snapshot)
	text, err := json.Marshal(answer)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		var got controlapi.LoadReport
		if err := json.Unmarshal(text, &got); err != nil {
			b.Fatal(err)
		}
		fleet.SetPeerLoads(decodeLoads(got), now)
		fleet.ApplyUpdates(got.Updates, now)
	}
	b.ReportMetric(float64(len(text)), "bytes")
}
