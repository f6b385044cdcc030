package connguard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/serve/membudget"
)

const testHeadTime = 400 * time.Millisecond

// serve starts a server that answers with the length of the body it could read.
func serve(t *testing.T, budget *membudget.Budget, connections int) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(Settings{
		Port: "test", MaxConnections: connections, Budget: budget,
		Limits: func() Limits { return Limits{Bytes: 4 << 10, Time: testHeadTime} },
	}, slog.New(slog.DiscardHandler), metrics.NewSet())
	server := &http.Server{ConnState: g.Track, Handler: Bodies(budget, 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if NotRead(err) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, n)
	}))}
	go func() { _ = server.Serve(g.Listen(ln)) }()
	t.Cleanup(func() {
		server.Close()
		for end := time.Now().Add(5 * time.Second); budget.Stats().Used != 0 || g.Open() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%d bytes and %d connections are left after the end", budget.Stats().Used, g.Open())
				return
			}
		}
	})
	return ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// status sends bytes and returns the status of the answer, 0 if the connection was closed.
func status(c net.Conn, bytes string) int {
	go func() { _, _ = io.WriteString(c, bytes) }() // fails if the connection is closed
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// Guards against limits of a head that stay in force for bodies and for further requests.
func TestRequestsWithinTheLimitsAreServedInTurn(t *testing.T) {
	c := dial(t, serve(t, membudget.New(8<<20), 10))
	for range 3 {
		if got := status(c, post(100<<10, strings.Repeat("a", 100<<10))); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
	}
	io.WriteString(c, post(10, "12345"))
	time.Sleep(2 * testHeadTime)
	if got := status(c, "67890"); got != http.StatusOK {
		t.Errorf("a body that takes longer than a head may: status %d", got)
	}
	time.Sleep(2 * testHeadTime)
	if got := status(c, post(0, "")); got != http.StatusOK {
		t.Errorf("after a pause without a request: status %d", got)
	}
}

// Guards against heads without end in bytes or time.
func TestHeadsThatDoNotEndAreCutOff(t *testing.T) {
	address := serve(t, membudget.New(8<<20), 10)
	if got := status(dial(t, address), "GET / HTTP/1.1\r\nX: "+strings.Repeat("a", 4<<10+headSlack)); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head without end: status %d", got)
	}
	c := dial(t, address)
	for n := 0; ; n++ {
		if _, err := io.WriteString(c, "X"); err != nil {
			break
		}
		if n == 100 {
			t.Fatal("a head that trickles was not cut off")
		}
		time.Sleep(testHeadTime / 20)
	}
}

// Guards against stalled bodies that keep others from being served, and memory that they leave.
func TestStalledBodyMakesRoomForAnother(t *testing.T) {
	address := serve(t, membudget.New(2<<20), 10)
	for range 3 {
		stalled := dial(t, address)
		io.WriteString(stalled, post(900<<10, strings.Repeat("a", 900<<10-1)))
	}
	time.Sleep(membudget.MinStall + 100*time.Millisecond)
	if got := status(dial(t, address), post(900<<10, strings.Repeat("a", 900<<10))); got != http.StatusOK {
		t.Errorf("a whole body beside stalled ones: status %d", got)
	}
}

// Guards against clients whose requests were refused before their bodies ended, and who stay connected:
// net/http reads on, without a time limit, and neither limit of the guard ends such a connection.
func TestRefusedBodyThatStopsShortDoesNotKeepItsConnection(t *testing.T) {
	c := dial(t, serve(t, membudget.New(128<<10), 10))
	if got := status(c, post(256<<10, strings.Repeat("a", 200<<10))); got != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want a refusal for want of memory", got)
	}
	_, err := io.Copy(io.Discard, c)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection stays open")
	}
}

// Guards against a full set of connections that keeps new ones out, or cuts a request in progress.
func TestIdleConnectionMakesRoomForAnother(t *testing.T) {
	address := serve(t, membudget.New(8<<20), 2)
	busy, idle := dial(t, address), dial(t, address)
	io.WriteString(busy, post(5, "1234"))
	if got := status(idle, post(0, "")); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	time.Sleep(minIdle + 100*time.Millisecond)
	if got := status(dial(t, address), post(0, "")); got != http.StatusOK {
		t.Errorf("a new connection beside an idle one: status %d", got)
	}
	if got := status(busy, "5"); got != http.StatusOK {
		t.Errorf("the request in progress: status %d", got)
	}
}
