package changefile

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestExampleUsesKnownKinds(t *testing.T) {
	f, err := Load("../../../examples/changes.toml")
	if err != nil {
		t.Fatal(err)
	}
	messages := f.Messages()
	if len(messages) != len(f.Changes) {
		t.Errorf("%d messages for %d changes", len(messages), len(f.Changes))
	}
	if got := messages[1].GetCreateEndpoint().GetEndpoint().GetDefaultDeadlineMs(); got != 60_000 {
		t.Errorf("default deadline %d ms", got)
	}
}

// TestEveryKindHasAMessage sets each field of Change in turn.
func TestEveryKindHasAMessage(t *testing.T) {
	fields := reflect.TypeFor[Change]()
	for i := range fields.NumField() {
		var c Change
		field := reflect.ValueOf(&c).Elem().Field(i)
		field.Set(reflect.New(field.Type().Elem()))
		if got := c.messages(); len(got) != 1 || got[0].GetChange() == nil {
			t.Errorf("%s gives %d messages", fields.Field(i).Name, len(got))
		}
	}
}

func TestProblems(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no changes", "change_id = \"x\"\n", "changes: is empty"},
		{"empty change", "[[changes]]\n", "changes[0]: is empty"},
		{"two kinds", "[[changes]]\nremove_team = {name=\"a\"}\nremove_endpoint = {name=\"b\"}\n", "changes[0]: has 2 kinds"},
		{"unknown key", "[[changes]]\nremove_team = {nam=\"a\"}\n", "unknown key"},
		{"duration without unit", "[[changes]]\ncreate_endpoint = {name=\"a\", default_deadline=\"5\"}\n", "unit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "changes.toml")
			if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Load(file); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
