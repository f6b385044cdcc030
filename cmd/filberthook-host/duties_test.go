package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/loopback"
	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlwatch"
	"filberthook/internal/engines/instances"
	"filberthook/internal/network/peer"
	"filberthook/internal/replication/document"
	"filberthook/internal/replication/raftnet"
	"filberthook/internal/serve/usage"
)

// controlVariable makes the test binary run a control host with a settings file.
const controlVariable = "FILBERTHOOK_TEST_CONTROL"

// Settings of the test's hosts.
const (
	replaceAfter = 1500 * time.Millisecond
	dutyLease    = time.Second
	dutyWindow   = 250 * time.Millisecond
)

// dutyCall is a call as the platform's API sees it.
type dutyCall struct {
	holder string
	token  uint64
	window int64
	body   string
	at     time.Time
}

// dutyAPI stands in for the platform's API.
type dutyAPI struct {
	mu    sync.Mutex
	calls []dutyCall
}

func (a *dutyAPI) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has reset the connection: nothing arrived
	}
	var report struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	token, tokenErr := strconv.ParseUint(r.Header.Get("Filberthook-Fencing-Token"), 10, 64)
	if json.Unmarshal(body, &report) != nil || tokenErr != nil {
		return
	}
	a.mu.Lock()
	a.calls = append(a.calls, dutyCall{r.Header.Get("Filberthook-Duty-Holder"), token, report.Window, string(body), time.Now()})
	a.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
}

// last returns the last call.
func (a *dutyAPI) last() dutyCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.calls) == 0 {
		return dutyCall{}
	}
	return a.calls[len(a.calls)-1]
}

// check reports calls that break the rules of the duties.
func (a *dutyAPI) check(t *testing.T) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.Logf("%d calls", len(a.calls))
	if len(a.calls) < 20 {
		t.Errorf("%d calls: the test has seen too little", len(a.calls))
	}
	reports, last := map[int64]string{}, map[string]time.Time{}
	for i, c := range a.calls {
		if first, ok := reports[c.window]; ok && first != c.body {
			t.Errorf("call %d: window %d reported as %s and %s", i, c.window, first, c.body)
		}
		reports[c.window] = c.body
		if i > 0 {
			before := a.calls[i-1]
			changed := c.holder != before.holder
			if c.token < before.token || changed && c.token == before.token {
				t.Errorf("call %d: %s with token %d after %s with %d", i, c.holder, c.token, before.holder, before.token)
			}
			if seen, ok := last[c.holder]; ok && changed && c.at.Sub(seen) < dutyLease {
				t.Errorf("call %d: %s takes turns after %v", i, c.holder, c.at.Sub(seen))
			}
		}
		last[c.holder] = c.at
	}
}

// controlProcesses are three control hosts as processes of their own.
type controlProcesses struct {
	t       *testing.T
	prefix  string
	api     string
	root    string
	running map[string]*exec.Cmd
}

func (p *controlProcesses) start(n int, bootstrap bool) {
	p.t.Helper()
	name := fmt.Sprint("c", n)
	file := filepath.Join(p.root, name+".toml")
	text := fmt.Sprintf(`host = "%s"
zone = "z%d"
data_dir = %q
seeds = ["%s.1:7480", "%s.2:7480", "%s.3:7480"]
bootstrap = %v
heartbeat = "1s"
replace_after = "%v"
[listen]
control = "%s.%d:7480"
peers = "%s.%d:7481"
status = "%s.%d:7482"
[tolerate]
hosts = 1
zones = 1
[stages]
lease = "%v"
[platform]
address = %q
duties = ["usage_report"]
[usage]
window = "%v"
late = "2s"
`, name, n, filepath.Join(p.root, name), p.prefix, p.prefix, p.prefix, bootstrap, replaceAfter, p.prefix, n, p.prefix, n, p.prefix, n, dutyLease, p.api, dutyWindow)
	if err := os.MkdirAll(filepath.Join(p.root, name), 0o755); err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), controlVariable+"="+file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[name] = cmd
}

// kill ends a process, also a stopped one.
func (p *controlProcesses) kill(name string) {
	_ = p.running[name].Process.Kill() // fails only if it has ended
	_ = p.running[name].Wait()         // reports the kill
}

// noConfiguration ignores configurations: the test serves no callers.
type noConfiguration struct{}

func (noConfiguration) Version() uint64                       { return ^uint64(0) }
func (noConfiguration) Offer(document.Document, string) error { return nil }

// reportUsage runs an entry host's part until ctx ends: it counts a request every 10 ms.
func (p *controlProcesses) reportUsage(ctx context.Context, running *sync.WaitGroup) {
	logger := slog.New(slog.DiscardHandler)
	clients := raftnet.NewPool(controlapi.PeerOptions(peer.Identity{Host: "e", Zone: "z"}, false, metrics.NewSet(), logger))
	context.AfterFunc(ctx, clients.Close)
	w := controlwatch.New(clients, instances.NewView(time.Second), noConfiguration{}, logger)
	counts := usage.NewCounts(dutyWindow, metrics.NewSet())
	entry := usage.Reporter{Counts: counts, Control: w, Clients: clients, Logger: logger}
	seeds := []string{p.prefix + ".1:7481", p.prefix + ".2:7481", p.prefix + ".3:7481"}
	running.Go(func() { w.Run(ctx, func() []string { return seeds }) })
	running.Go(func() { entry.Run(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			counts.Count("a", time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Guards against calls of a holder that was frozen or killed while another one took over: the
// platform must see no lower token after a higher one, no holders that take turns within the
// lease, and no two reports of one window.
func TestFrozenAndKilledHoldersBreakNoRuleOfTheDuties(t *testing.T) {
	reserved, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	api := &dutyAPI{}
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	p := &controlProcesses{t: t, prefix: reserved.Prefix, api: server.Listener.Addr().String(), root: t.TempDir(), running: map[string]*exec.Cmd{}}
	t.Cleanup(func() {
		for name := range p.running {
			p.kill(name)
		}
	})
	for n := 1; n <= 3; n++ {
		p.start(n, true)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	p.reportUsage(ctx, &running)
	nextHolder := func(after uint64) string {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(3 * time.Millisecond) {
			if c := api.last(); c.token > after {
				return c.holder
			}
		}
		t.Fatalf("no call with a token above %d within 40 s", after)
		return ""
	}
	nextHolder(0)
	for range 2 {
		time.Sleep(2 * replaceAfter) // three hosts may lose one at a time
		holder, before := api.last().holder, api.last().token
		signalHelper(t, p.running[holder], syscall.SIGSTOP) // right after a call has arrived
		next := nextHolder(before)
		signalHelper(t, p.running[holder], syscall.SIGCONT)
		// The thawed host makes the calls that it had under way, if any, and gets its vote back.
		time.Sleep(2 * replaceAfter)
		before = api.last().token
		p.kill(next)
		n, err := strconv.Atoi(next[1:])
		if err != nil {
			t.Fatalf("holder %q: %v", next, err)
		}
		p.start(n, false)
		nextHolder(before)
	}
	time.Sleep(2 * time.Second)
	api.check(t)
}
