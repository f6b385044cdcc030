package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// handlerFunc serves one call.
type handlerFunc func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Mux maps method names to handlers. Register everything before serving.
type Mux struct{ handlers map[string]handlerFunc }

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: make(map[string]handlerFunc)} }

// CodedError is an error that a handler returns to choose the code and the
// detail that the caller sees in its RemoteError.
type CodedError interface {
	error
	RPCCode() int64
}

// Handle registers a typed handler. It panics when the method is registered
// twice.
func Handle[Req, Resp any](m *Mux, method string, fn func(ctx context.Context, from Identity, req Req) (Resp, error)) {
	if _, ok := m.handlers[method]; ok {
		panic("peer: method registered twice: " + method)
	}
	m.handlers[method] = func(ctx context.Context, from Identity, params json.RawMessage) (any, error) {
		var req Req
		if len(params) > 0 {
			if err := json.Unmarshal(params, &req); err != nil {
				return nil, &jsonrpc2.Error{Code: CodeBadParams, Message: fmt.Sprintf("parameters of %s: %v", method, err)}
			}
		}
		return fn(ctx, from, req)
	}
}

func (m *Mux) serve(ctx context.Context, from Identity, method string, params json.RawMessage) (any, error) {
	h, ok := m.handlers[method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: CodeNoSuchCall, Message: fmt.Sprintf("method %s is unknown here: upgrade this process", method)}
	}
	return h(ctx, from, params)
}

// wireError turns a handler's error into the one sent to the caller.
func wireError(err error) *jsonrpc2.Error {
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) {
		return rpc
	}
	out := &jsonrpc2.Error{Code: CodeApp, Message: err.Error()}
	var coded CodedError
	if errors.As(err, &coded) {
		out.Code = coded.RPCCode()
		if data, jerr := json.Marshal(coded); jerr == nil {
			raw := json.RawMessage(data)
			out.Data = &raw
		}
	}
	return out
}

// remoteError turns an answered error into a RemoteError and leaves others.
func remoteError(err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return err
	}
	out := &RemoteError{Code: rpc.Code, Message: rpc.Message}
	if rpc.Data != nil {
		out.Data = *rpc.Data
	}
	return out
}
