package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthook/internal/control/directory"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/membership"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
)

// fakeAnnouncer has fixed members and refuses the announcements that the directory would
// refuse.
type fakeAnnouncer struct{ members []membership.Member }

func (f fakeAnnouncer) Announced(a engineapi.Announcement) error { return directory.Validate(&a) }
func (f fakeAnnouncer) Members() []membership.Member             { return f.members }

func host(name, zone string) membership.Host {
	return membership.Host{Name: name, Zone: zone, Announce: name + ":1"}
}

func announceTo(t *testing.T, h http.Handler, body string) (int, engineapi.AnnounceReply) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, engineapi.PathAnnounce, strings.NewReader(body)))
	var reply engineapi.AnnounceReply
	if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
		t.Fatalf("%s: %v", w.Body, err)
	}
	return w.Code, reply
}

func TestAnnouncements(t *testing.T) {
	const good = `{"instance":"w1","incarnation":1,"sequence":1,"kind":"model","zone":"bio","address":"127.0.0.1:9000"}`
	cases := []struct {
		name, body string
		status     int
	}{
		{"good", good, http.StatusOK},
		{"of another zone", strings.Replace(good, "bio", "sdr", 1), http.StatusBadRequest},
		{"not JSON", "hello", http.StatusBadRequest},
		{"without an incarnation", strings.Replace(good, `"incarnation":1`, `"incarnation":0`, 1), http.StatusBadRequest},
		{"too large", `{"instance":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newAnnounceHandler(fakeAnnouncer{}, host("e1", "bio"), metrics.NewSet())
			status, reply := announceTo(t, h, tc.body)
			if status != tc.status || reply.Accepted != (status == http.StatusOK) {
				t.Errorf("status %d, reply %+v", status, reply)
			}
			if !reply.Accepted && reply.Reason == "" {
				t.Error("refused without a reason")
			}
		})
	}
}

// TestHostsAgreeOnRegistrars checks that all hosts of a zone choose the same registrars
// for an instance, and only reachable hosts of the zone.
func TestHostsAgreeOnRegistrars(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	registrarsAt := func(self string) []string {
		var others []membership.Member
		for _, name := range names {
			state := membership.Alive
			if name == "e5" {
				state = membership.Dead
			}
			if name != self {
				others = append(others, membership.Member{Host: host(name, "bio"), State: state})
			}
		}
		others = append(others, membership.Member{Host: host("far", "sdr"), State: membership.Alive})
		return newAnnounceHandler(fakeAnnouncer{others}, host(self, "bio"), metrics.NewSet()).registrars("w1")
	}
	first := registrarsAt("e1")
	if len(first) != registrarsPerInstance {
		t.Errorf("%d registrars, want %d", len(first), registrarsPerInstance)
	}
	for _, self := range names[1:4] {
		if diff := cmp.Diff(first, registrarsAt(self)); diff != "" {
			t.Errorf("e1 and %s disagree:\n%s", self, diff)
		}
	}
	for _, address := range first {
		if address == "e5:1" || address == "far:1" {
			t.Errorf("%s must not be a registrar: it is dead or in another zone", address)
		}
	}
}
