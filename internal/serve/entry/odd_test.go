package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthook/internal/engines/engineapi"

	"github.com/VictoriaMetrics/metrics"
)

func TestOddAnnouncementsGetShortAnswersBesideSoundOnes(t *testing.T) {
	const good = `{"instance":"w1","incarnation":1,"sequence":1,"kind":"model","zone":"bio","address":"127.0.0.1:9000"}`
	const maxAnswerBytes = 4 << 10
	change := func(old, next string) string { return strings.Replace(good, old, next, 1) }
	long := strings.Repeat("9", maxAnnouncementBytes-1024)
	tests := map[string]string{
		"nested lists":           strings.Repeat("[", len(long)),
		"nested unknown field":   change(`"zone"`, `"more":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`,"zone"`),
		"number of many digits":  change(`"sequence":1`, `"sequence":`+long),
		"number without digits":  change(`"sequence":1`, `"sequence":1e400`),
		"negative number":        change(`"incarnation":1`, `"incarnation":-1`),
		"fraction":               change(`"incarnation":1`, `"incarnation":0.5`),
		"long address":           change("127.0.0.1", long),
		"long zone":              change(`"bio"`, `"`+long+`"`),
		"port out of range":      change(":9000", ":99999"),
		"bytes that are no text": string([]byte{0xff, 0, 0x80}),
		"load of another type":   change(`"zone"`, `"load":[1],"zone"`),
		"lease without digits":   change(`"zone"`, `"lease_seconds":1e999,"zone"`),
	}
	for name, body := range tests {
		h := newAnnounceHandler(fakeAnnouncer{}, host("e1", "bio"), metrics.NewSet())
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, engineapi.PathAnnounce, strings.NewReader(body)))
		if w.Body.Len() > maxAnswerBytes || w.Code != http.StatusBadRequest {
			t.Errorf("%s: answered %d with %d bytes", name, w.Code, w.Body.Len())
		}
		if status, _ := announceTo(t, h, good); status != http.StatusOK {
			t.Errorf("after %s a sound announcement is answered %d", name, status)
		}
	}
}
