package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthook/internal/serve/membudget"
)

// endless returns an endpoint that answers with a text and then repeats another one until
// the connection is closed, and the count of the bytes that it could send.
func endless(t *testing.T, begin, repeat string) (*endpoint, *atomic.Int64) {
	sent := &atomic.Int64{}
	block := []byte(strings.Repeat(repeat, 1+(64<<10)/len(repeat)))
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		if r, _ := next(); r == nil {
			return
		}
		io.WriteString(c, begin)
		for {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return e, sent
}

// maxEndlessBytes is what an exchange may take from an instance that sends without end: the
// limit of a head and what the sockets of both ends buffer.
const maxEndlessBytes = 16 << 20

func TestEndlessHeadDoesNotFillMemory(t *testing.T) {
	for name, bytes := range map[string][2]string{
		"status line":  {"HTTP/1.1 200 ", "a"},
		"header field": {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"fields":       {"HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
		"early hints":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"blank lines":  {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, sent := endless(t, bytes[0], bytes[1])
			pool := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			begin := time.Now()
			_, err := pool.Send(ctx, e.address(), get("1"))
			var lost *LostError
			if !errors.As(err, &lost) || time.Since(begin) > time.Second {
				t.Errorf("ended after %v with %v, want a lost answer at once", time.Since(begin), err)
			}
			time.Sleep(50 * time.Millisecond)
			if n := sent.Load(); n > maxEndlessBytes {
				t.Errorf("%d bytes were read of a head without an end, at most %d wanted", n, maxEndlessBytes)
			}
		})
	}
}

func TestEndlessAnswerToAnotherRequestIsNotReadAsTheNextOne(t *testing.T) {
	own := answer("1", "forged")
	e, _ := endless(t, "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n"+strings.Repeat("a", maxSkippedBytes), own)
	pool := newPool(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := pool.Send(ctx, e.address(), get("1"))
	if err == nil {
		body, _ := a.ReadAll(100)
		t.Errorf("bytes of an answer to another request were read as an answer: %q", body)
		a.Close()
	}
}

func TestManyEndlessBodiesShareOneBound(t *testing.T) {
	const exchanges = 12
	pool := newPool(t)
	total := &atomic.Int64{}
	done := make(chan error, exchanges)
	for range exchanges {
		e, sent := endless(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "a")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			a, err := pool.Send(ctx, e.address(), get("1"))
			if err == nil {
				_, err = a.ReadAll(32 << 20)
				a.Close()
			}
			total.Add(sent.Load())
			done <- err
		}()
	}
	for range exchanges {
		if err := <-done; err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a body without an end ended with %v, want an error before the deadline", err)
		}
	}
	if n := total.Load(); n > maxBufferedBytes+exchanges*maxEndlessBytes {
		t.Errorf("%d bytes were read of %d bodies at once, at most %d may be held", n, exchanges, maxBufferedBytes)
	}
}

// Heads of many fields take several times their bytes.
func TestLargeHeadsShareTheMemoryOfBodies(t *testing.T) {
	const fitting = 4
	pool := newPool(t)
	pool.UseBudget(membudget.New(fitting*(1<<20) + 1<<20))
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n" + strings.Repeat("X-Many: a\r\n", 5<<10) + "\r\n"
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		next()
		io.WriteString(c, head)
		next()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var open []*Answer
	refused := 0
	for range 2 * fitting {
		a, err := pool.Send(ctx, e.address(), get("1"))
		var full *FullError
		switch {
		case err == nil:
			open = append(open, a)
		case errors.As(err, &full):
			refused++
		default:
			t.Error(err)
		}
	}
	if len(open) == 0 || len(open) > fitting+1 || refused == 0 {
		t.Errorf("%d heads were read, %d refused, want at most %d", len(open), refused, fitting+1)
	}
	for _, a := range open {
		a.Close()
	}
	if a, err := pool.Send(ctx, e.address(), get("1")); err != nil {
		t.Errorf("once the others are closed: %v", err)
	} else {
		a.Close()
	}
}

// Whatever an instance sends, the exchange ends with an error or with the answer to the request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "ok")))
	f.Add([]byte(answer("2", "ok") + answer("1", "ok")))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		near, far := net.Pipe()
		defer far.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go func() {
			_, _ = far.Write(bytes) // fails if the exchange has ended
			far.Close()
		}()
		pool := newPool(t)
		pool.dial = func(context.Context, string) (net.Conn, error) { return near, nil }
		a, err := pool.Send(context.Background(), "i", get("1"))
		if err != nil {
			return
		}
		defer a.Close()
		if a.Header.Get("X-Id") != "1" {
			t.Errorf("took an answer with the id %q", a.Header.Get("X-Id"))
		}
		if body, err := a.ReadAll(100); err == nil && len(body) > 100 {
			t.Errorf("%d bytes", len(body))
		}
	})
}
