package statuspage

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestPageShowsAndEscapes(t *testing.T) {
	h := Handler(func() Page {
		return Page{
			Host: "entry-1", Zone: "bio", Ready: "stopping", Revision: 42, ConfigAge: 1500 * time.Millisecond,
			Instances: []Instance{{Name: "<script>", Zone: "bio", State: "ready", Running: 7}},
			Refusals:  []Count{{Name: "queue_full", Value: 3}},
		}
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	body := w.Body.String()
	for _, want := range []string{"entry-1", "revision 42", "1.5s", "&lt;script&gt;", "queue_full", `class="bad">stopping`} {
		if !strings.Contains(body, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if strings.Contains(body, "<script>") {
		t.Error("a name from outside was not escaped")
	}
}
