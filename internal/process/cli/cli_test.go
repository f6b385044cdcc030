package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	filberthookv1 "filberthook/api/filberthook/v1"
	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/controlnode"
	"filberthook/internal/engines/fleet"
	"filberthook/internal/process/settings"
)

// startControl runs a control group of one replica and points the command line
// at it.
func startControl(t *testing.T) { startControlAt(t, loopback.String(), settings.TLS{}) }

func startControlAt(t *testing.T, operators string, tls settings.TLS) {
	t.Helper()
	peers := loopback.String()
	s := settings.Control{
		Host: "c1", Zone: "bio", DataDir: filepath.Join(t.TempDir(), "data"),
		Listen:    settings.ControlListen{Peers: peers, Operators: operators, Status: loopback.String()},
		Replica:   settings.ControlReplica{ID: 1, Members: []settings.ControlMember{{ID: 1, Address: peers, Zone: "bio"}}},
		Operators: settings.Operators{BootstrapKeySHA256: string(fleet.HashKey("admin"))},
		TLS:       tls,
	}
	node, err := controlnode.New(s, slog.New(slog.DiscardHandler), metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Setenv("FILBERTHOOK_ADDRESS", s.Listen.Operators)
	t.Setenv("FILBERTHOOK_KEY", "admin")
}

// outcome is the result of one run of the command line.
type outcome struct {
	code        int
	out, errOut string
}

func run(args ...string) outcome {
	var out, errOut bytes.Buffer
	code := Main(args, &out, &errOut)
	return outcome{code: code, out: out.String(), errOut: errOut.String()}
}

func TestSession(t *testing.T) {
	startControl(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "backup.json")
	tests := []struct {
		name string
		args []string
		code int
		want string // part of the output or of the error output
	}{
		{"dry run", []string{"apply", "-f", "../../../examples/changes.toml", "--dry-run"}, ExitOK, "would make revision 1; nothing was changed"},
		{"apply", []string{"apply", "-f", "../../../examples/changes.toml", "--change-id", "first"}, ExitOK, "accepted at revision 1"},
		{"resend", []string{"apply", "-f", "../../../examples/changes.toml", "--change-id", "first"}, ExitOK, "accepted before at revision 1"},
		{"reused change id", []string{"team", "remove", "agents", "--change-id", "first"}, ExitRefused, "new change id"},
		{"conflict", []string{"team", "remove", "agents", "--expected-revision", "0"}, ExitConflict, "current team agents"},
		{"wait", []string{"team", "create", "dispatch", "--wait"}, ExitOK, "in force at all live hosts"},
		{"approve", []string{"endpoint", "approve", "booking", "dispatch"}, ExitOK, "+ approved.dispatch = 3"},
		{"list endpoints", []string{"endpoint", "list"}, ExitOK, "agents,dispatch"},
		{"rotate", []string{"team", "rotate", "agents", "--key-id", "k2"}, ExitOK, "keys.0.revoked = true"},
		{"list teams", []string{"team", "list"}, ExitOK, "k2"},
		{"declare", []string{"declare", "set", "w9", "m@2+a+b"}, ExitOK, "+ models.0.adapters.1"},
		{"engines", []string{"engines"}, ExitOK, "m@2+a+b"},
		{"policy keeps other values", []string{"policy", "set", "--goodput-weight", "0"}, ExitOK, "- goodput_weight = 1"},
		{"policy", []string{"policy", "show"}, ExitOK, "0.5"},
		{"operators", []string{"operator", "list"}, ExitOK, "olga"},
		{"refused", []string{"endpoint", "approve", "nowhere", "agents"}, ExitRefused, "there is no endpoint"},
		{"audit", []string{"audit", "--limit", "1"}, ExitOK, "set policy"},
		{"members", []string{"members", "list"}, ExitOK, "agreed up to"},
		{"member change without id", []string{"members", "promote", "0"}, ExitRefused, "replica id"},
		{"save", []string{"snapshot", "save", file}, ExitOK, "is intact: revision 6"},
		{"save keeps files", []string{"snapshot", "save", file}, ExitUsage, "name a new file"},
		{"change after the backup", []string{"team", "remove", "agents"}, ExitOK, "- team agents"},
		{"restore without --allow-older", []string{"snapshot", "restore", file}, ExitRefused, "older than the configuration"},
		{"restore", []string{"snapshot", "restore", file, "--allow-older"}, ExitOK, "+ team agents"},
		{"status", []string{"status", "--wait", "0"}, ExitOK, "revision 8"},
		{"unknown command", []string{"nope"}, ExitUsage, "--help"},
		{"bad model", []string{"declare", "set", "w9", "m"}, ExitUsage, "NAME@VERSION"},
		{"bad file", []string{"snapshot", "verify", "cli_test.go"}, ExitUsage, "take another backup"},
		{"no host", []string{"--address", "127.0.0.1:1", "--timeout", "300ms", "status"}, ExitUnavailable, "nothing was changed"},
	}
	for _, tt := range tests {
		got := run(tt.args...)
		if got.code != tt.code || !strings.Contains(got.out+got.errOut, tt.want) {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", tt.name, got.code, tt.code, tt.want, got.out, got.errOut)
		}
	}
}

func TestWrongKeyIsDenied(t *testing.T) {
	startControl(t)
	t.Setenv("FILBERTHOOK_KEY", "secret-guess")
	got := run("-o", "json", "status")
	var f failure
	if err := json.Unmarshal([]byte(got.errOut), &f); err != nil {
		t.Fatalf("%v: %s", err, got.errOut)
	}
	if got.code != ExitDenied || f.ExitCode != ExitDenied || f.Reason != "unauthenticated" {
		t.Errorf("got %d, %+v", got.code, f)
	}
	if strings.Contains(got.errOut, "secret-guess") {
		t.Error("the output contains the key")
	}
}

func TestKeysAndCertificates(t *testing.T) {
	dir := t.TempDir()
	steps := [][]string{
		{"keys", "ca", "--dir", dir},
		{"keys", "host", "c1", "--zone", "bio", "--role", "control", "--ip", "127.0.0.1", "--dir", dir},
		{"keys", "check", filepath.Join(dir, "c1.pem")},
		{"keys", "gossip", "--file", filepath.Join(dir, "gossip.key")},
		{"key", "new"},
	}
	for _, args := range steps {
		if got := run(args...); got.code != ExitOK {
			t.Fatalf("%v: %d\n%s%s", args, got.code, got.out, got.errOut)
		}
	}
	if got := run("keys", "ca", "--dir", dir); got.code != ExitUsage {
		t.Errorf("a second CA in the folder: exit code %d, want %d", got.code, ExitUsage)
	}
	if _, err := os.Stat(filepath.Join(dir, "c1.key")); err != nil {
		t.Error(err)
	}
}

// TestOverTLS issues certificates with the command line and serves with them.
func TestOverTLS(t *testing.T) {
	dir, operators := t.TempDir(), loopback.Address()
	for _, args := range [][]string{{"keys", "ca", "--dir", dir}, {"keys", "host", "c1", "--zone", "bio", "--role", "control", "--ip", operators.Addr().String(), "--dir", dir}} {
		if got := run(args...); got.code != ExitOK {
			t.Fatalf("%v: %+v", args, got)
		}
	}
	ca := filepath.Join(dir, "ca.pem")
	startControlAt(t, operators.String(), settings.TLS{CA: ca, Certificate: filepath.Join(dir, "c1.pem"), Key: filepath.Join(dir, "c1.key")})
	if got := run("--ca", ca, "team", "create", "a"); got.code != ExitOK {
		t.Errorf("with the CA: %+v", got)
	}
	if got := run("--timeout", "300ms", "status"); got.code == ExitOK {
		t.Error("plaintext was served")
	}
	other := t.TempDir()
	run("keys", "ca", "--dir", other)
	if got := run("--ca", filepath.Join(other, "ca.pem"), "--timeout", "300ms", "status"); got.code == ExitOK {
		t.Error("a control host of another CA was trusted")
	}
}

func TestExplainQueriesTheEntryHost(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("request_id") == "unknown" {
			http.Error(w, "not remembered", http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(r.URL.String())
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"requests", []string{"requests"}, ExitOK, "/requests"},
		{"call", []string{"explain", "r1"}, ExitOK, "/explain?request_id=r1"},
		{"request now", []string{"explain", "--endpoint", "e", "--deadline", "20s"}, ExitOK, "deadline=20s"},
		{"neither", []string{"explain"}, ExitUsage, "request id or --endpoint"},
		{"unknown call", []string{"explain", "unknown"}, ExitUsage, "not remembered"},
	}
	for _, tt := range tests {
		got := run(append(tt.args, "--entry", address)...)
		if got.code != tt.code || !strings.Contains(got.out+got.errOut, tt.want) {
			t.Errorf("%s: %+v", tt.name, got)
		}
	}
}

func TestHelpNamesExitCodes(t *testing.T) {
	if got := run("--help"); got.code != ExitOK || !strings.Contains(got.out, "Exit codes") {
		t.Errorf("exit code %d, %d bytes", got.code, len(got.out))
	}
	// The library writes completions to the standard output of the process.
	if got := run("--completion-bash", "endpoint", ""); got.code != ExitOK {
		t.Errorf("completion: exit code %d", got.code)
	}
}

func TestParseModel(t *testing.T) {
	m, err := parseModel("assist-7b@1+rail+air")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"rail", "air"}, m.Adapters); diff != "" || m.Name != "assist-7b" || m.Version != "1" {
		t.Errorf("got %v", m)
	}
	if got := formatModels([]*filberthookv1.Model{m}); got != "assist-7b@1+rail+air" {
		t.Errorf("formatted as %q", got)
	}
}
