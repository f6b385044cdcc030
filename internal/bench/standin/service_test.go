package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/process/settings"
)

func startService(t *testing.T, cfg ServiceConfig) (*Service, *httptest.Server) {
	t.Helper()
	s, err := NewService(cfg, metrics.NewSet(), quiet())
	if err != nil {
		t.Fatalf("NewService: %v", err)
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server
}

func TestServiceCountsRunsPerKey(t *testing.T) {
	s, server := startService(t, ServiceConfig{})
	key := header{engineapi.HeaderIdempotencyKey, "k"}
	body := map[string]string{"flight": "IB1"}
	raw, _ := json.Marshal(body)
	for run := 1; run <= 2; run++ {
		got := decode[ServiceAnswer](t, post(t, server.URL+"/bookings", body, key))
		want := ExpectedAnswer("k", "/bookings", raw)
		want.Run = run
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("run %d (-want +got):\n%s", run, diff)
		}
	}
	if diff := cmp.Diff(map[string]int{"k": 2}, s.Runs()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	resp, err := http.Get(server.URL + "/cases/7")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if diff := cmp.Diff(ExpectedStatus("/cases/7"), decode[StatusAnswer](t, resp)); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestServiceFaults(t *testing.T) {
	s, server := startService(t, ServiceConfig{})
	url := server.URL + "/bookings"
	key := func(k string) header { return header{engineapi.HeaderIdempotencyKey, k} }
	s.Faults().LoseAnswers(1)
	if resp, err := tryPost(t, url, "a", key("lost")); err == nil {
		resp.Body.Close()
		t.Error("answer arrived that was to be lost")
	}
	if got := s.Runs()["lost"]; got != 1 {
		t.Errorf("lost call ran %d times, want 1", got)
	}
	post(t, url, "a", key("first"), header{engineapi.HeaderAttemptID, "one"})
	s.Faults().CrossAnswers(1)
	resp := post(t, url, "a", key("second"), header{engineapi.HeaderAttemptID, "two"})
	got := decode[ServiceAnswer](t, resp)
	if resp.Header.Get(engineapi.HeaderAttemptID) != "one" || VerifyAnswer(got, "second", "/bookings", []byte(`"a"`)) == nil {
		t.Errorf("crossed answer = %+v, want the one before", got)
	}
}

func TestLeavingServiceRefusesNotRun(t *testing.T) {
	s, server := startService(t, ServiceConfig{Identity: Identity{LeaveGrace: time.Nanosecond}})
	if err := s.Leave(t.Context()); err != nil {
		t.Fatalf("Leave: %v", err)
	}
	resp := post(t, server.URL+"/bookings", "a")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(engineapi.HeaderRunDisposition) != dispositionNotRun {
		t.Errorf("leaving service answered %s (%s), want 503 not_run", resp.Status, resp.Header.Get(engineapi.HeaderRunDisposition))
	}
	if got := s.LeaveReport().Arrivals; got != 1 {
		t.Errorf("arrivals while leaving = %d, want 1", got)
	}
}

func TestAnnouncesToEntriesAndPeers(t *testing.T) {
	received := make(chan engineapi.Announcement, 100)
	entry := func(peers ...string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var a engineapi.Announcement
			if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
				t.Errorf("announcement: %v", err)
			}
			writeJSON(w, http.StatusOK, engineapi.AnnounceReply{Accepted: true, Peers: peers})
			received <- a
		}))
		t.Cleanup(server.Close)
		return server
	}
	second := entry()
	first := entry(second.Listener.Addr().String())
	s, _ := startService(t, ServiceConfig{Identity: Identity{
		Instance: "b1", Endpoint: "bookings", Zone: "bio", Incarnation: 4, LeaveGrace: time.Nanosecond,
		Entries: []string{first.Listener.Addr().String()}, AnnounceEvery: time.Hour,
	}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	got := <-received
	if got.Instance != "b1" || got.Incarnation != 4 || got.Sequence != 1 || got.Draining || got.LeaseSeconds != DefaultLease.Seconds() {
		t.Errorf("first announcement = %+v", got)
	}
	for len(s.ann.entries()) < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := s.Leave(ctx); err != nil {
		t.Fatalf("Leave: %v", err)
	}
	for range 2 {
		if got := <-received; !got.Draining || got.Sequence != 2 {
			t.Errorf("announcement while leaving = %+v, want draining with sequence 2", got)
		}
	}
	cancel()
	<-done
}

func TestSettingsAreStrict(t *testing.T) {
	const good = `kind = "service"
instance = "b1"
endpoint = "bookings"
zone = "bio"
listen = "127.0.0.1:1"
entries = ["127.0.0.1:2"]
`
	tests := []struct{ name, text, want string }{
		{"valid", good, ""},
		{"unknown key", good + "colour = 1\n", "colour"},
		{"bad unit", good + "lease = \"3 parsecs\"\n", "lease"},
		{"negative duration", good + "lease = \"-3s\"\n", "lease"},
		{"negative speed", good + "[engine]\nspeed = -1.0\n", "engine.speed"},
		{"entry twice", strings.Replace(good, `"127.0.0.1:2"`, `"127.0.0.1:2", "127.0.0.1:2"`, 1), "entries"},
		{"no zone", strings.Replace(good, "zone = \"bio\"\n", "", 1), "zone"},
		{"host name", strings.Replace(good, "127.0.0.1:1", "localhost:1", 1), "listen"},
		{"wrong kind", strings.Replace(good, "service", "oven", 1), "kind"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := settings.Decode("s.toml", []byte(tt.text), &Settings{})
			if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("error = %v, want one that names %q", err, tt.want)
			}
		})
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	for _, name := range []string{"engine", "service"} {
		if err := settings.Load("../../../examples/"+name+".toml", &Settings{}); err != nil {
			t.Error(err)
		}
	}
}
