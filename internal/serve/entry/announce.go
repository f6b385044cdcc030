package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/membership"
	"filberthook/internal/process/loglimit"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 256 << 10

// registrarsPerInstance is the number of entry hosts that an instance announces itself to.
const registrarsPerInstance = 3

// announcer accepts announcements and lists the other entry hosts.
type announcer interface {
	Announced(a engineapi.Announcement) error
	Members() []membership.Member
}

// announceHandler serves engineapi.PathAnnounce.
type announceHandler struct {
	node     announcer
	self     membership.Host
	accepted *metrics.Counter
	refused  *metrics.Counter
}

func newAnnounceHandler(node announcer, self membership.Host, set *metrics.Set) *announceHandler {
	return &announceHandler{
		node:     node,
		self:     self,
		accepted: set.GetOrCreateCounter("filberthook_announcements_total"),
		refused:  set.GetOrCreateCounter("filberthook_announcements_refused_total"),
	}
}

// ServeHTTP implements http.Handler.
func (h *announceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != engineapi.PathAnnounce {
		http.Error(w, "POST "+engineapi.PathAnnounce+" only", http.StatusNotFound)
		return
	}
	var a engineapi.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		h.refuse(w, err)
		return
	}
	if a.Zone != h.self.Zone {
		h.refuse(w, &directory.InvalidError{Field: "zone", Problem: "is not " + h.self.Zone + ", the zone of this entry host"})
		return
	}
	if err := h.node.Announced(a); err != nil {
		h.refuse(w, err)
		return
	}
	h.accepted.Inc()
	reply(w, http.StatusOK, engineapi.AnnounceReply{Accepted: true, Peers: h.registrars(a.Instance)})
}

func (h *announceHandler) refuse(w http.ResponseWriter, err error) {
	h.refused.Inc()
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	reply(w, status, engineapi.AnnounceReply{Reason: loglimit.Shorten(err.Error())})
}

func reply(w http.ResponseWriter, status int, body engineapi.AnnounceReply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// registrars returns the announce addresses of the hosts of this zone that an instance
// announces to and that watch its lease. The hosts are chosen by rendezvous hashing, so
// that all hosts of the zone choose the same ones without coordination.
func (h *announceHandler) registrars(instance string) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	hosts := []ranked{{h.self.Announce, rank(instance, h.self.Name)}}
	for _, m := range h.node.Members() {
		if m.Zone == h.self.Zone && m.Reachable() && m.Announce != "" {
			hosts = append(hosts, ranked{m.Announce, rank(instance, m.Name)})
		}
	}
	slices.SortFunc(hosts, func(a, b ranked) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	var out []string
	for _, host := range hosts[:min(registrarsPerInstance, len(hosts))] {
		out = append(out, host.address)
	}
	return out
}

func rank(instance, host string) uint64 { return xxhash.Sum64String(instance + "\x00" + host) }
