package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"filberthook/internal/serve/routes"
)

// Guards against exit codes by which a script would send a configuration with errors.
func TestConfigCheckExitsBySeverity(t *testing.T) {
	configs := map[string]*routes.Config{
		"sound":  {Version: 2},
		"unused": {Version: 3, Endpoints: map[string]routes.Endpoint{"lm": {Name: "lm"}}},
	}
	decode := func(body []byte) (*routes.Config, error) {
		if c := configs[string(body)]; c != nil {
			return c, nil
		}
		return nil, &routes.InvalidError{Field: "routes[0]", Reason: "has no host", Remedy: "name the host that callers send"}
	}
	for _, tt := range []struct {
		body, want string
		flags      []string
		code       int
	}{
		{"sound", "", nil, ExitOK},
		{"unused", "no route sends requests there", nil, ExitFailed},
		{"bad", "name the host that callers send", nil, ExitRefused},
		{"unused", `"entry": "service lm"`, []string{"-o", "json", "--in-force", "sound"}, ExitFailed},
		{"sound", "", []string{"--in-force", "bad"}, ExitUsage},
	} {
		file := write(t, tt.body)
		args := []string{"config-check", file}
		for _, flag := range tt.flags {
			if flag == "sound" || flag == "bad" {
				flag = write(t, flag)
			}
			args = append(args, flag)
		}
		var out, errOut bytes.Buffer
		if code := MainFor(Platform{DecodeConfig: decode}, args, &out, &errOut); code != tt.code || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%s %v: exit code %d, want %d, output %s%s", tt.body, tt.flags, code, tt.code, out.String(), errOut.String())
		}
	}
}

func write(t *testing.T, body string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
