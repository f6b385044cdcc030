package controlwatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/raftnet"
)

// lockedBuffer is a log that several goroutines write.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// oddChanges are entries of a list that no control host of this version sends.
func oddChanges() map[string]string {
	sound := soundChange("odd", 1)
	change := func(old, next string) string { return strings.Replace(sound, old, next, 1) }
	long := strings.Repeat("x", 60<<10)
	return map[string]string{
		"state of another kind": change(`"state":0`, `"state":200`),
		"state too large":       change(`"state":0`, `"state":300`),
		"state by name":         change(`"state":0`, `"state":"ready"`),
		"stage of another kind": change(`"stage":0`, `"stage":99`),
		"slots too large":       change(`"slots":4`, `"slots":1e300`),
		"slots of many digits":  change(`"slots":4`, `"slots":`+strings.Repeat("9", 300)),
		"negative slots":        change(`"slots":4`, `"slots":-4`),
		"negative start":        change(`"born":100`, `"born":-100`),
		"negative sequence":     change(`"sequence":1`, `"sequence":-1`),
		"nested models":         change(`"zone":"z"`, `"models":`+strings.Repeat("[", 5000)+strings.Repeat("]", 5000)),
		"port out of range":     change(`:80"`, `:99999"`),
		"no port":               change(`:80"`, `"`),
		"long zone":             change(`"zone":"z"`, `"zone":"`+long+`"`),
		"empty id":              change(`"id":"odd"`, `"id":""`),
		"gone without an id":    `{"state":2}`,
		"null":                  `null`,
		"a list":                `[1,2]`,
		"a text":                `"odd"`,
	}
}

func soundChange(id string, sequence int) string {
	return fmt.Sprintf(`{"id":%q,"born":100,"sequence":%d,"endpoint":"lm","address":"10.0.0.%d:80","zone":"z","slots":4,"state":0,"stage":0}`,
		id, sequence, len(id))
}

func TestOddEntryOfAListHidesNoneOfTheOthers(t *testing.T) {
	for name, odd := range oddChanges() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			options := peer.Options{Self: peer.Identity{Host: "e"}, DropOnTimeout: true}
			mux := peer.NewMux()
			peer.Handle(mux, controlapi.MethodWatch, func(ctx context.Context, _ peer.Identity, req controlapi.WatchRequest) (json.RawMessage, error) {
				if req.Position > 0 { // the list goes on after the odd entry
					return json.RawMessage(fmt.Sprintf(`{"epoch":"1","position":%d,"changes":[%s]}`, req.Position+1, soundChange("later", int(req.Position)))), nil
				}
				return json.RawMessage(fmt.Sprintf(`{"epoch":"1","position":1,"changes":[%s,%s,%s]}`, soundChange("a", 1), odd, soundChange("bb", 1))), nil
			})
			clients := raftnet.NewPool(options)
			view, log := instances.NewView(time.Second), &lockedBuffer{}
			w := New(clients, view, &fixedConfiguration{}, slog.New(slog.NewJSONHandler(log, nil)))
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = peer.NewServer(options, mux).Serve(ctx, ln) })
			running.Go(func() { w.Run(ctx, func() []string { return []string{ln.Addr().String()} }) })
			defer running.Wait()
			defer clients.Close()
			defer stop()
			var listed []instances.Instance
			for end := time.Now().Add(4 * time.Second); len(listed) < 3 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				listed = view.Snapshot().ByEndpoint["lm"]
			}
			if len(listed) != 3 || listed[0].ID != "a" || listed[1].ID != "bb" || listed[2].ID != "later" {
				t.Errorf("the entry host lists %.300v, want a, bb and later", listed)
			}
			if text := log.String(); len(text) > 8<<10 || !strings.Contains(text, "entries of a control host refused") {
				t.Errorf("the log has %d bytes: %.500s", len(text), text)
			}
		})
	}
}
