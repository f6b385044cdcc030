package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"filberthook/internal/engines/engineapi"
)

// maxCaches bounds the exported and, separately, the imported KV caches that an
// engine keeps track of.
const maxCaches = 4096

// kvFetchTimeout bounds the call to the engine that exported a KV cache.
const kvFetchTimeout = 2 * time.Second

// kvStore keeps track of exported and imported KV caches.
type kvStore struct {
	exports boundedHandles
	imports boundedHandles
	next    uint64
}

func newKVStore() kvStore {
	return kvStore{exports: newBoundedHandles(), imports: newBoundedHandles()}
}

func (k *kvStore) imported(id string) (engineapi.KVHandle, bool) {
	h, ok := k.imports.byID[id]
	return h, ok
}

// boundedHandles keeps the newest maxCaches handles.
type boundedHandles struct {
	byID  map[string]engineapi.KVHandle
	order []string // oldest first
}

func newBoundedHandles() boundedHandles {
	return boundedHandles{byID: make(map[string]engineapi.KVHandle)}
}

func (b *boundedHandles) put(h engineapi.KVHandle) {
	if _, known := b.byID[h.ID]; !known {
		b.order = append(b.order, h.ID)
	}
	b.byID[h.ID] = h
	if len(b.order) > maxCaches {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
	}
}

// export registers the KV cache of an attempt under a new identifier; the caller
// holds e.mu.
func (e *Engine) export(model string, tokens int) engineapi.KVHandle {
	e.caches.next++
	h := engineapi.KVHandle{
		ID:     e.cfg.Instance + "-" + strconv.FormatUint(e.incarnation, 10) + "-" + strconv.FormatUint(e.caches.next, 10),
		Source: e.cfg.Address,
		Tokens: tokens,
		Model:  model,
	}
	e.caches.exports.put(h)
	return h
}

// exportPrompt exports the KV cache of a computed prompt.
func (e *Engine) exportPrompt(s *stream) engineapi.KVHandle {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.export(s.run.Model, s.run.PromptTokens)
}

// serveExport exports the KV cache of a running attempt.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var t engineapi.KVTransfer
	if !e.readJSON(w, r, &t) {
		return
	}
	e.mu.Lock()
	s := e.streams[t.AttemptID]
	generated, running := e.model.Generated(t.AttemptID)
	if s == nil || !running {
		e.mu.Unlock()
		e.refuse(w, http.StatusNotFound, codeNotFound, "no such attempt: start the request without a KV cache")
		return
	}
	h := e.export(s.run.Model, s.run.PromptTokens+generated)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

// serveImport fetches a KV cache from the engine that exported it.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var h engineapi.KVHandle
	if !e.readJSON(w, r, &h) {
		return
	}
	got, err := e.fetch(r.Context(), h)
	if err != nil {
		e.refuse(w, http.StatusConflict, codeUnknownKV, err.Error())
		return
	}
	e.mu.Lock()
	e.caches.imports.put(got)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// fetch gets the handle of a KV cache from its source. No cache data is transferred;
// the engine model accounts for the transfer time.
func (e *Engine) fetch(ctx context.Context, h engineapi.KVHandle) (engineapi.KVHandle, error) {
	var got engineapi.KVHandle
	ctx, cancel := context.WithTimeout(ctx, kvFetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Source+pathCache+h.ID, nil)
	if err != nil {
		return got, fmt.Errorf("source of the KV cache %q: %w", h.Source, err)
	}
	resp, err := e.ann.client.Do(req)
	if err != nil {
		return got, fmt.Errorf("KV cache %s not fetched, compute the prompt here: %w", h.ID, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got, fmt.Errorf("KV cache %s is gone at its source (%s): compute the prompt here", h.ID, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&got)
	return got, err
}

// serveCache answers another engine that imports a KV cache.
func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	h, known := e.caches.exports.byID[r.PathValue("id")]
	e.mu.Unlock()
	if !known {
		e.refuse(w, http.StatusNotFound, codeNotFound, "no such KV cache: export it again")
		return
	}
	writeJSON(w, http.StatusOK, h)
}
