package authority

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/engines/engineapi"
)

// callTimeout bounds the calls of these tests.
const callTimeout = 10 * time.Second

// orderServer answers orders and counts those whose body arrived completely.
type orderServer struct {
	received atomic.Int64
	answer   func(w http.ResponseWriter, order engineapi.Order)
}

func (s *orderServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		http.NotFound(w, r)
		return
	}
	var order engineapi.Order
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &order) != nil {
		return
	}
	s.received.Add(1)
	s.answer(w, order)
}

func echo(w http.ResponseWriter, order engineapi.Order) {
	json.NewEncoder(w).Encode(engineapi.OrderStatus{ID: order.ID, Phase: engineapi.OrderRunning})
}

func TestHTTPOrder(t *testing.T) {
	lost := errors.New("lease lost")
	allow := func() error { return nil }
	tests := []struct {
		name     string
		check    func() error
		answer   func(http.ResponseWriter, engineapi.Order)
		received int64
		ok       bool
		notSent  bool
	}{
		{"taken", allow, echo, 1, true, false},
		{"lease lost right before the write", func() error { return lost }, echo, 0, false, true},
		{"connection cut after the order", allow, func(http.ResponseWriter, engineapi.Order) { panic(http.ErrAbortHandler) }, 1, false, false},
		{"server error", allow, func(w http.ResponseWriter, _ engineapi.Order) { w.WriteHeader(500) }, 1, false, false},
		{"answer about another order", allow, func(w http.ResponseWriter, _ engineapi.Order) { echo(w, engineapi.Order{ID: "other"}) }, 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handler := &orderServer{answer: tt.answer}
			server := httptest.NewServer(handler)
			defer server.Close()
			ref := EngineRef{Instance: "e1", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://")}
			status, err := NewHTTPTransport(callTimeout).Order(context.Background(), ref, engineapi.Order{ID: "o1", Fence: 3}, tt.check)
			var notSent *NotSentError
			if (err == nil) != tt.ok || errors.As(err, &notSent) != tt.notSent || handler.received.Load() != tt.received {
				t.Errorf("got %+v, %v with %d received", status, err, handler.received.Load())
			}
		})
	}
}

func TestHTTPUnknownOrder(t *testing.T) {
	server := httptest.NewServer(&orderServer{answer: echo})
	defer server.Close()
	ref := EngineRef{Address: strings.TrimPrefix(server.URL, "http://")}
	_, err := NewHTTPTransport(callTimeout).OrderStatus(context.Background(), ref, "o1")
	var unknown *UnknownOrderError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
}

func TestHTTPConnectionRefused(t *testing.T) {
	server := httptest.NewServer(nil)
	ref := EngineRef{Address: strings.TrimPrefix(server.URL, "http://")}
	server.Close()
	_, err := NewHTTPTransport(callTimeout).Order(context.Background(), ref, engineapi.Order{ID: "o1"}, func() error { return nil })
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("got %v, want an order that was not sent", err)
	}
}

// An engine writes the answer to the call before once more on a kept connection.
func TestAnswerToAnotherCallIsNotTakenForTheStateOfAnEngine(t *testing.T) {
	for name, other := range map[string]any{
		"order": engineapi.OrderStatus{ID: "o1", Phase: engineapi.OrderDone}, "load": engineapi.LoadReport{Sequence: 3}, "error": map[string]any{"error": "full"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engineapi.HeaderIncarnation, "1")
			_ = json.NewEncoder(w).Encode(other)
		}))
		ref := EngineRef{Instance: "e1", Incarnation: 1, Address: strings.TrimPrefix(server.URL, "http://")}
		if state, _, err := NewHTTPTransport(callTimeout).State(t.Context(), ref); err == nil {
			t.Errorf("%s: taken for the state %+v", name, state)
		}
		server.Close()
	}
}
