package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func exampleControl(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExampleIsValid(t *testing.T) {
	var s Control
	if err := Decode("control.toml", []byte(exampleControl(t)), &s); err != nil {
		t.Fatal(err)
	}
	if s.Listen.Peers != "127.0.0.1:7101" || s.Zone != "bio" {
		t.Errorf("decoded %+v", s)
	}
}

func TestProblemsNameKeyAndRemedy(t *testing.T) {
	tests := []struct {
		name, old, new string
		key            string
	}{
		{"unknown key", "zone = \"bio\"             #", "zones = \"bio\" #", "zones"},
		{"zone missing", "zone = \"bio\"             #", "#", "zone"},
		{"wrong type", "id = 1\njoin", "id = \"one\"\njoin", "replica.id"},
		{"syntax", "host =", "host", "syntax"},
		{"duplicate address", "operators = \"127.0.0.1:7102\"", "operators = \"127.0.0.1:7101\"", "listen.operators"},
		{"host name as address", "status = \"127.0.0.1:7103\"", "status = \"localhost:7103\"", "listen.status"},
		{"port 0", "status = \"127.0.0.1:7103\"", "status = \"127.0.0.1:0\"", "listen.status"},
		{"plaintext outside loopback", "operators = \"127.0.0.1:7102\"", "operators = \"10.0.0.1:7102\"", "listen.operators"},
		{"self not listed", "id = 1\njoin", "id = 2\njoin", "replica.members"},
		{"member address differs", "address = \"127.0.0.1:7101\"", "address = \"127.0.0.1:7109\"", "replica.members[0].address"},
		{"bootstrap sum malformed", "bootstrap_key_sha256 = \"", "bootstrap_key_sha256 = \"zz", "operators.bootstrap_key_sha256"},
		{"log format", "format = \"json\"", "format = \"xml\"", "log.format"},
		{"tls incomplete", "[log]", "[tls]\nca = \"x\"\n[log]", "tls.certificate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := exampleControl(t)
			if !strings.Contains(text, tt.old) {
				t.Fatalf("the example does not hold %q", tt.old)
			}
			var s Control
			err := Decode("control.toml", []byte(strings.Replace(text, tt.old, tt.new, 1)), &s)
			var wrong *Error
			if !errors.As(err, &wrong) {
				t.Fatalf("got %v, want a settings error", err)
			}
			for _, p := range wrong.Problems {
				if p.Key == tt.key && p.Remedy != "" {
					return
				}
			}
			t.Errorf("no problem names %s: %v", tt.key, err)
		})
	}
}
