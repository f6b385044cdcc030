package metricsdoc

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestUndocumented(t *testing.T) {
	page := "| `filberthook_a_total`, `filberthook_b_seconds` | two |"
	names := []string{
		`filberthook_a_total{kind="x"} 3`, "filberthook_b_seconds_count 1", "go_goroutines 9",
		"filberthook_c", `filberthook_c{reason="y"} 0`,
	}
	if diff := cmp.Diff([]string{"filberthook_c"}, Undocumented(page, names)); diff != "" {
		t.Error(diff)
	}
}
