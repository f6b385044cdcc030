package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/httpanswer"
	"filberthook/internal/network/ident"
	"filberthook/internal/serve/request"
)

// maxHandleBytes is the largest accepted answer to a prefill.
const maxHandleBytes = 16 << 10

// prefill runs a disaggregated prefill: the prefill engine computes the KV cache, and the
// picked engine imports it directly from there. If a step fails, the picked engine runs the
// prefill itself. That costs only time, so the failure is only counted.
func (a *attempt) prefill(ctx context.Context) {
	if a.decision.Prefill == "" {
		return
	}
	defer a.proxy.sched.PrefillDone(&a.decision, a.routingReq)
	handle, err := a.computePrompt(ctx)
	if err == nil {
		err = a.importCache(ctx, handle)
	}
	if err != nil {
		a.proxy.splitFailed.Inc()
		httpanswer.Count(a.proxy.set, err)
		return
	}
	a.proxy.splitDone.Inc()
	a.cache = handle.ID
}

// computePrompt asks the prefill engine for the prompt's KV cache.
func (a *attempt) computePrompt(ctx context.Context) (engineapi.KVHandle, error) {
	var handle engineapi.KVHandle
	url := "http://" + a.decision.PrefillAddress + a.call.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.call.Body))
	if err != nil {
		return handle, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineapi.HeaderRequestID, a.call.Request.ID())
	id := ident.New()
	req.Header.Set(engineapi.HeaderAttemptID, id)
	req.Header.Set(engineapi.HeaderPrefillOnly, "1")
	req.Header.Set(engineapi.HeaderPriority, strconv.Itoa(int(a.call.Class)))
	resp, err := a.proxy.pooled.RoundTrip(req)
	if err != nil {
		return handle, err
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(engineapi.HeaderAttemptID); got != id {
		a.call.Counters.Dropped(request.DropCrossed)
		return handle, fmt.Errorf("answer of attempt %q came to the prefill %q", got, id)
	}
	a.reportPrefillLoad(resp)
	if resp.StatusCode != http.StatusOK {
		return handle, fmt.Errorf("prefill engine answered %s", resp.Status)
	}
	body, err := httpanswer.ReadBody(resp.Body, resp.ContentLength, maxHandleBytes, nil)
	if err != nil {
		return handle, err
	}
	err = json.Unmarshal(body, &handle)
	return handle, err
}

// reportPrefillLoad passes the prefill engine's load report to the scheduler.
func (a *attempt) reportPrefillLoad(resp *http.Response) {
	var load engineapi.LoadReport
	if json.Unmarshal([]byte(resp.Header.Get(engineapi.HeaderEngineLoad)), &load) == nil {
		a.proxy.sched.ObserveLoad(a.decision.Prefill, a.decision.PrefillIncarnation, load)
	}
}

// importCache tells the picked engine to import a KV cache.
func (a *attempt) importCache(ctx context.Context, handle engineapi.KVHandle) error {
	body, err := json.Marshal(handle)
	if err != nil {
		return err
	}
	url := "http://" + a.decision.Address + engineapi.PathKVImport
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.proxy.pooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("import of KV cache %s: %s", handle.ID, resp.Status)
	}
	return nil
}
