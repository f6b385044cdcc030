package cli

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"filberthook/internal/bench/brokenanswer"
)

// answerCommands has the command line call a stand-in of a control host.
func answerCommands(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) {
	t.Helper()
	ln, err := brokenanswer.Listen(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	t.Setenv("FILBERTHOOK_ADDRESS", ln.Addr().String())
	t.Setenv("FILBERTHOOK_KEY", "admin")
}

func TestBrokenAnswerOfAControlHostIsNoSuccess(t *testing.T) {
	for _, b := range brokenanswer.All() {
		if b.Early { // calls are small
			continue
		}
		t.Run(b.Name, func(t *testing.T) {
			answerCommands(t, func(c *net.TCPConn, r *http.Request) { b.Send(c, r, "Content-Type: application/proto\r\n", "") })
			if got := run("members", "promote", "2", "--timeout", "100ms"); got.code != ExitUnknown || !strings.Contains(got.errOut, "again") {
				t.Errorf("exit code %d, %q%q, want an unknown outcome", got.code, got.out, got.errOut)
			}
		})
	}
}

func TestEndlessAnswerOfAControlHostDoesNotFillMemory(t *testing.T) {
	for name, begin := range map[string]string{"body": "Content-Type: application/proto\r\n\r\n", "head": "X-A: a\r\n"} {
		block := []byte(strings.Repeat("X-Many: a\r\n", 10<<10))
		answerCommands(t, func(c *net.TCPConn, _ *http.Request) {
			for _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n", begin); err == nil; {
				_, err = c.Write(block)
			}
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got := run("members", "list", "--timeout", "500ms")
		runtime.ReadMemStats(&after)
		// A buffer that doubles until it exceeds the limit allocates up to four times the limit.
		if allocated := after.TotalAlloc - before.TotalAlloc; got.code == ExitOK || allocated > 5*maxControlAnswerBytes {
			t.Errorf("%s: exit code %d, %d bytes allocated, at most %d wanted", name, got.code, allocated, 5*maxControlAnswerBytes)
		}
	}
}
