package logtrace

import (
	"errors"
	"strings"
	"testing"
)

const log = `
   1.0 c1 {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"instance changed","host":"c1","instance":"i-1","state":"draining"}
{"time":"2026-01-01T00:00:01.1Z","level":"INFO","msg":"instance changed","host":"c1","instance":"i-2","state":"ready"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"configuration in force","host":"e1","version":7}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"configuration in force","host":"e2","version":7}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","host":"e1","id":"r1","ms":500,"attempts":[{"instance":"i-1","outcome":"no_contact"}],"outcome":"failed"}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request","host":"e1","id":"r2","ms":5,"attempts":[],"outcome":"answered"}
{"time":"2026-01-01T00:01:03Z","level":"INFO","msg":"instance silent","host":"c1","instance":"i-1"}
not a log line
{"time":"no time","msg":"x"}
`

func TestTraceOfOneRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	if err != nil || len(lines) != 7 {
		t.Fatalf("read %d lines, %v", len(lines), err)
	}
	got, err := Trace(lines, "r1")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Write(&out, got, "r1"); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{`-1.500s c1`, `-0.500s e1`, `+0.500s e1`}
	if len(rows) != len(want) {
		t.Fatalf("%d rows:\n%s", len(rows), out.String())
	}
	for i := range want {
		if !strings.Contains(rows[i], want[i]) {
			t.Errorf("row %q, want %q", rows[i], want[i])
		}
	}
	if !strings.Contains(rows[2], `outcome="failed"`) {
		t.Errorf("the request's own line lacks its outcome: %q", rows[2])
	}
}

func TestUnknownRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var notFound *NotFoundError
	if _, err := Trace(lines, "nobody"); !errors.As(err, &notFound) || notFound.Lines != 7 {
		t.Errorf("got %v", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			if l.Time.IsZero() && l.Message == "" && l.Fields == nil {
				t.Error("an empty line was read")
			}
		}
	})
}
