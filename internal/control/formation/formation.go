// Package formation decides the initial members of a control group and the changes of
// its membership. It does no I/O: the caller reads the data folder, queries the group and
// makes the changes.
//
// Founders are the control hosts among the first seeds. Their ids are derived from their
// addresses, so all of them start the same group without communication. Every other host
// joins with a random id that is unique to its disk.
package formation

import (
	"net"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/replication/replica"
)

// FounderID returns the id of a founder.
func FounderID(address string) uint64 {
	// 0 is not a valid id.
	return max(1, xxhash.Sum64String("founder "+address))
}

// PeerAddresses returns the peer addresses of the seeds' hosts; the port is the same on
// all hosts. Malformed seeds are skipped, as settings are validated before.
func PeerAddresses(seeds []string, port uint16) []string {
	out := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(ip, strconv.Itoa(int(port))))
		}
	}
	return out
}

// Founders returns the initial members of a group: the seeds' hosts, sorted by id and
// without duplicates.
func Founders(seeds []string, port uint16) []replica.Member {
	var out []replica.Member
	for _, address := range PeerAddresses(seeds, port) {
		m := replica.Member{ID: FounderID(address), Address: address}
		if !slices.ContainsFunc(out, func(o replica.Member) bool { return o.ID == m.ID }) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b replica.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
