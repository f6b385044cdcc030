package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines on the sheet of pmr-norte.
const (
	engines        = 18
	prefillEngines = 6
	readTime       = 10 * time.Millisecond / 639 // of a prompt token: 63.9 in a ms
	stepTime       = 3700 * time.Microsecond
	switchTime     = 3 * time.Second
	transferTime   = 1700 * time.Microsecond
	decodeSlowdown = 2 // a decode engine reads a prompt at half the speed
)

// handles are the prefilled prompts that no engine has taken yet.
type handles struct {
	mu   sync.Mutex
	kept map[string]string // request ids by IP:PORT/HANDLE
}

// engine is a model engine of the pages: prefill, decode, orders of stages and handles.
type engine struct {
	worker  *worker
	handles *handles
	seen    *seen

	mu        sync.Mutex
	switching time.Time // until when a change of stage lasts
	sequence  int
}

// startEngines starts the engines of the sheet.
func (d *deployment) startEngines(s *seen) error {
	h := &handles{kept: map[string]string{}}
	for n := range engines {
		stage := "decode"
		if n < prefillEngines {
			stage = "prefill"
		}
		e := &engine{handles: h, seen: s}
		w, err := d.startWorker(n, "lm", stage, e.serve)
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.worker = w
		e.mu.Unlock()
	}
	return nil
}

func (e *engine) self() *worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worker
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Filberthook-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case e.self() == nil:
		notExecuted(w, http.StatusServiceUnavailable)
	case r.URL.Path == "/-/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.handles.mu.Lock()
		delete(e.handles.kept, e.self().address+"/"+strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		e.handles.mu.Unlock()
		fmt.Fprint(w, "{}")
	case strings.HasPrefix(r.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		e.run(w, r)
	}
}

// order carries out an order of a stage.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct{ Op, Stage, Holder string }
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	me := e.self()
	me.mu.Lock()
	same := me.stage == o.Stage
	me.stage = o.Stage
	me.mu.Unlock()
	record("order to %s: stage %s by %s", me.id, o.Stage, o.Holder)
	if same {
		return
	}
	e.mu.Lock()
	e.switching = time.Now().Add(switchTime)
	e.sequence++
	e.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

// run prefills or generates.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	me := e.self()
	me.mu.Lock()
	stage := me.stage
	me.mu.Unlock()
	e.mu.Lock()
	busy := time.Now().Before(e.switching)
	e.mu.Unlock()
	id := r.Header.Get("Filberthook-Request-Id")
	in, out, _ := strings.Cut(r.Header.Get("Filberthook-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(in)
	events, _ := strconv.Atoi(out)
	prefill := r.Header.Get("Filberthook-Stage") == "prefill"
	source := r.Header.Get("Filberthook-Kv-Source")
	switch {
	case busy:
		notExecuted(w, http.StatusServiceUnavailable)
		return
	case prefill != (stage == "prefill"):
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	reading := time.Duration(tokens) * readTime
	if prefill {
		e.seen.arrive(id, me.id, "prefill")
		time.Sleep(reading)
		var random [6]byte
		_, _ = rand.Read(random[:])
		handle := hex.EncodeToString(random[:])
		e.handles.mu.Lock()
		e.handles.kept[me.address+"/"+handle] = id
		e.handles.mu.Unlock()
		fmt.Fprintf(w, `{"kv_handle":%q,"tokens":%d,"version":1}`, handle, tokens)
		return
	}
	if source != "" {
		e.handles.mu.Lock()
		of, ok := e.handles.kept[source]
		delete(e.handles.kept, source)
		e.handles.mu.Unlock()
		if !ok {
			notExecuted(w, http.StatusServiceUnavailable)
			return
		}
		if of != id {
			record("FOREIGN handle: request %s takes that of %s", id, of)
		}
		reading = transferTime
	} else {
		reading *= decodeSlowdown
	}
	e.seen.arrive(id, me.id, "run")
	time.Sleep(reading)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Filberthook-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Filberthook-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		time.Sleep(stepTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %080d\n\n", n, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
