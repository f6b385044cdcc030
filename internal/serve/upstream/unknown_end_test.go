package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// largeBody does not fit the buffers of a connection whose other end does not read.
var largeBody = []byte(strings.Repeat("x", 8<<20))

// answerEarly starts an endpoint that answers a request whose body it has not read. It then waits
// and closes the connection, which resets it, as bytes of the body are unread.
func answerEarly(t *testing.T, answer string, wait time.Duration) *endpoint {
	return listen(t, func(c net.Conn, _ func() (*http.Request, string)) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		io.WriteString(c, answer)
		time.Sleep(wait)
	})
}

// upload sends a large request and reads its whole answer.
func upload(t *testing.T, address string) (status int, body string, err error) {
	t.Helper()
	r := get("1")
	r.Method, r.Body = http.MethodPost, largeBody
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := newPool(t).Send(ctx, address, r)
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	data, err := a.ReadAll(1 << 20)
	return a.StatusCode, string(data), err
}

func TestAnswerWithoutLengthThatIsResetDuringTheUploadIsLost(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, wait := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(proto, " ", wait), func(t *testing.T) {
				t.Parallel()
				e := answerEarly(t, proto+" 200 OK\r\nX-Id: 1\r\n\r\npart of", wait)
				for range 10 {
					var lost *LostError
					if status, body, err := upload(t, e.address()); !errors.As(err, &lost) {
						t.Errorf("status %d, body %q, %v, want a lost answer", status, body, err)
					}
				}
			})
		}
	}
}

func TestAnswerWithoutLengthThatEndsDuringTheUploadIsLost(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = reader.WriteTo(io.Discard) // until the other end closes
	})
	for range 10 {
		begin := time.Now()
		var lost *LostError
		if status, body, err := upload(t, e.address()); !errors.As(err, &lost) || time.Since(begin) > 3*time.Second {
			t.Errorf("status %d, body %q, %v after %v, want a lost answer at once", status, body, err, time.Since(begin))
		}
	}
}

func TestEarlyAnswerOfKnownLengthIsWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 8\r\n\r\ntoo long",
		"chunks": "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ntoo long\r\n0\r\n\r\n",
	} {
		for _, wait := range []time.Duration{0, 3 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", wait), func(t *testing.T) {
				t.Parallel()
				e := answerEarly(t, answer, wait)
				for range 10 {
					if status, body, err := upload(t, e.address()); err != nil || status != http.StatusRequestEntityTooLarge || body != "too long" {
						t.Errorf("status %d, body %q, %v, want the whole 413", status, body, err)
					}
				}
			})
		}
	}
}

func TestAnswerWithoutLengthToAWholeUploadIsWhole(t *testing.T) {
	e := listen(t, func(c net.Conn, next func() (*http.Request, string)) {
		if r, body := next(); r != nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n%d", len(body))
		}
	})
	for range 10 {
		if status, body, err := upload(t, e.address()); err != nil || status != http.StatusOK || body != fmt.Sprint(len(largeBody)) {
			t.Errorf("status %d, body %q, %v, want the whole answer", status, body, err)
		}
	}
}
