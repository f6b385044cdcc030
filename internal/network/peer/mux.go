package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// handlerFunc serves a call.
type handlerFunc func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Mux maps method names to handlers. All handlers must be registered before serving.
type Mux struct{ handlers map[string]handlerFunc }

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: make(map[string]handlerFunc)} }

// CodedError is an error whose code and JSON encoding become the Code and Data of the
// caller's RemoteError.
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

// wireError converts a handler's error to the one sent to the caller.
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

// remoteError converts an error that the peer returned to a RemoteError and returns any
// other error unchanged.
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
