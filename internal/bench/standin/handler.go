package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// maxBodyBytes is the largest request that a stand-in reads.
const maxBodyBytes = 16 << 20

// callerPathPrefix is the path prefix of callers' requests.
const callerPathPrefix = "/v1/"

// pathCache is the call by which another engine fetches an exported KV cache.
const pathCache = "/engine/kv/cache/"

// dispositionNotRun is the run disposition of a refusal before any work.
const dispositionNotRun = "not_run"

// Codes of refusals that do not come from the engine model.
const (
	codeBadRequest = "bad_request"
	codeQueueFull  = "queue_full"
	codeLeaving    = "leaving"
	codeBusy       = "busy"
	codeUnknownKV  = "unknown_kv_cache"
	codeNotFound   = "not_found"
	codeAborted    = "aborted_by_order"
	codeDeadline   = "deadline_exceeded"
)

// engineMetrics counts what an engine did.
type engineMetrics struct {
	requests *metrics.Counter
	tokens   *metrics.Counter
	crashes  *metrics.Counter
	refusals refusalCounters
}

func newEngineMetrics(set *metrics.Set) engineMetrics {
	return engineMetrics{
		requests: set.NewCounter("filberthook_standin_requests_total"),
		tokens:   set.NewCounter("filberthook_standin_tokens_total"),
		crashes:  set.NewCounter("filberthook_standin_crashes_total"),
		refusals: refusalCounters{set},
	}
}

// refusalCounters has one counter for each refusal code.
type refusalCounters struct{ set *metrics.Set }

func (r refusalCounters) inc(code string) {
	r.set.GetOrCreateCounter(`filberthook_standin_refusals_total{code="` + code + `"}`).Inc()
}

// ErrorBody is the body of every refusal of a stand-in.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail gives the code of a refusal and a message with the reason and the remedy.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.countArrival(r)
	if !e.faults.waitOrAbort(r.Context()) {
		return
	}
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(e.Incarnation(), 10))
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) countArrival(r *http.Request) {
	switch {
	case r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Path, callerPathPrefix):
	case r.Header.Get(engineapi.HeaderPrefillOnly) == "1":
		e.prefills.Add(1)
	default:
		e.arrivals.Add(1)
	}
}

// Incarnation returns the incarnation of the engine.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// newMux routes the calls of package engineapi.
func (e *Engine) newMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathChatCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+engineapi.PathCompletions, e.serveCompletion)
	mux.HandleFunc("GET "+engineapi.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engineapi.PathState, e.serveState)
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+engineapi.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engineapi.PathOrders+"/{id}", e.serveOrderStatus)
	mux.HandleFunc("POST "+engineapi.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+engineapi.PathKVExport, e.serveExport)
	mux.HandleFunc("POST "+engineapi.PathKVImport, e.serveImport)
	mux.HandleFunc("GET "+pathCache+"{id}", e.serveCache)
	return mux
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.model.Load(e.now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		e.refuse(w, http.StatusBadRequest, codeBadRequest, "after is not a sequence number: send the next of the last page, or 0")
		return
	}
	e.mu.Lock()
	page := e.model.CacheEvents(e.now(), after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// serveOrder starts an order at once, or rejects it.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if !e.readJSON(w, r, &o) {
		return
	}
	if o.ID == "" {
		e.refuse(w, http.StatusBadRequest, codeBadRequest, "order has no id: give each order its own")
		return
	}
	e.mu.Lock()
	st := e.model.Order(e.now(), o)
	e.mu.Unlock()
	e.wakeUp()
	e.log.Info("order", "id", o.ID, "kind", o.Kind, "fence", o.Fence, "phase", st.Phase, "reason", st.Reason)
	writeJSON(w, http.StatusOK, st)
}

func (e *Engine) serveOrderStatus(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	st, known := e.model.OrderStatus(e.now(), r.PathValue("id"))
	e.mu.Unlock()
	if !known {
		e.refuse(w, http.StatusNotFound, codeNotFound, "no such order in this incarnation: read the engine's state")
		return
	}
	writeJSON(w, http.StatusOK, st)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c engineapi.CancelRequest
	if !e.readJSON(w, r, &c) {
		return
	}
	if !e.cancel(c.AttemptID) {
		e.refuse(w, http.StatusNotFound, codeNotFound, "no such attempt: it ended or never arrived")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// cancel ends an attempt and its stream.
func (e *Engine) cancel(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[attempt]
	if s == nil {
		return false
	}
	e.model.Cancel(e.now(), attempt)
	s.deliver(enginemodel.Event{Kind: enginemodel.EventAborted, Request: attempt})
	return true
}

// refuse counts a refusal and answers it with the run disposition not_run.
func (e *Engine) refuse(w http.ResponseWriter, status int, code, message string) {
	e.metrics.refusals.inc(code)
	refuse(w, status, code, message)
}

func (e *Engine) readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	e.refuse(w, status, codeBadRequest, "body is not readable: "+err.Error())
	return false
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(engineapi.HeaderRunDisposition, dispositionNotRun)
	writeJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// deadline returns the time that the request leaves for its answer.
func deadline(r *http.Request) (left time.Duration, set bool) {
	ms, err := strconv.ParseInt(r.Header.Get(engineapi.HeaderDeadline), 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// echo copies the identifiers of a request to its answer.
func echo(w http.ResponseWriter, r *http.Request, attempt string) {
	if id := r.Header.Get(engineapi.HeaderRequestID); id != "" {
		w.Header().Set(engineapi.HeaderRequestID, id)
	}
	if attempt != "" {
		w.Header().Set(engineapi.HeaderAttemptID, attempt)
	}
}
