package authority

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/network/httpanswer"
)

// maxResponseBytes bounds an engine's response.
const maxResponseBytes = 4 << 20

// HTTPTransport calls engines over HTTP. It implements Transport.
type HTTPTransport struct{ client *http.Client }

// NewHTTPTransport returns a transport that bounds each call by timeout.
func NewHTTPTransport(timeout time.Duration) *HTTPTransport {
	return &HTTPTransport{client: httpanswer.NewClient(timeout)}
}

// checkedBody is a request body that can be read only while the lease is valid, so
// that the lease is checked when the body is written.
type checkedBody struct {
	body   *bytes.Reader
	check  func() error
	opened atomic.Bool // part of the body may have been written
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	b.opened.Store(true)
	return b.body.Read(p)
}

// Order implements Transport.
func (t *HTTPTransport) Order(ctx context.Context, ref EngineRef, order engineapi.Order, check func() error) (engineapi.OrderStatus, error) {
	var status engineapi.OrderStatus
	data, err := json.Marshal(order)
	if err != nil {
		return status, &NotSentError{Err: err}
	}
	body := &checkedBody{body: bytes.NewReader(data), check: check}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, engineURL(ref, engineapi.PathOrders), body)
	if err != nil {
		return status, &NotSentError{Err: err}
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engineapi.HeaderFencingNumber, strconv.FormatUint(order.Fence, 10))
	_, err = t.do(req, &status)
	if err != nil && !body.opened.Load() {
		return status, &NotSentError{Err: err}
	}
	if err == nil && status.ID != order.ID {
		err = fmt.Errorf("the engine answered about order %q instead of %q; the order is sent again", status.ID, order.ID)
	}
	return status, err
}

// OrderStatus implements Transport.
func (t *HTTPTransport) OrderStatus(ctx context.Context, ref EngineRef, id string) (engineapi.OrderStatus, error) {
	var status engineapi.OrderStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, engineURL(ref, engineapi.PathOrders+"/"+url.PathEscape(id)), nil)
	if err != nil {
		return status, err
	}
	_, err = t.do(req, &status)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusNotFound {
		return status, &UnknownOrderError{Order: id}
	}
	return status, err
}

// errNoState reports an answer to another call: each engine has a role.
var errNoState = errors.New("the engine's answer names no role, so it is no state")

// State implements Transport.
func (t *HTTPTransport) State(ctx context.Context, ref EngineRef) (engineapi.EngineState, uint64, error) {
	var state engineapi.EngineState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, engineURL(ref, engineapi.PathState), nil)
	if err != nil {
		return state, 0, err
	}
	header, err := t.do(req, &state)
	if err == nil && state.Role == "" {
		err = errNoState
	}
	if err != nil {
		return state, 0, err
	}
	// Engines without this header refuse orders for another incarnation too.
	incarnation, err := strconv.ParseUint(header.Get(engineapi.HeaderIncarnation), 10, 64)
	if err != nil {
		return state, ref.Incarnation, nil
	}
	return state, incarnation, nil
}

func engineURL(ref EngineRef, path string) string { return "http://" + ref.Address + path }

// statusError is a response with a status other than 200.
type statusError struct {
	status int
	body   string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("the engine answered status %d: %s", e.status, e.body)
}

// do makes a request and decodes the response.
func (t *HTTPTransport) do(req *http.Request, v any) (http.Header, error) {
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := httpanswer.ReadBody(resp.Body, resp.ContentLength, maxResponseBytes, nil)
	if err != nil {
		return nil, fmt.Errorf("read the engine's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{status: resp.StatusCode, body: string(data[:min(len(data), 200)])}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("decode the engine's answer: %w", err)
	}
	return resp.Header, nil
}
