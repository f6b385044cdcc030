package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the small deployment; the values are those of the users' sheets.
const (
	heartbeat  = 1200 * time.Millisecond
	memoryMB   = 284
	peersPort  = 7380
	publicPort = 8144
	readyPort  = 8141
	statusPort = 9464
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	return &recorder{file: f, begin: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, kind, settings, ip string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir     string
	subnet  string // first three numbers of the addresses
	record  *recorder
	entries []*host

	mu       sync.Mutex
	controls []*host // guarded by mu; running control hosts
}

// controlHosts returns the control hosts that run.
func (c *cluster) controlHosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.controls)
}

// setControls replaces the control hosts that run.
func (c *cluster) setControls(list []*host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controls = list
}

// newCluster chooses a free part of the loopback network and starts the processes.
func newCluster(rec *recorder, controls, entries int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: rec, subnet: freeSubnet()}
	go c.closeOnSignal()
	var seeds []string
	for n := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", c.address(10+n, publicPort)))
	}
	list := strings.Join(seeds, ",")
	for n := range controls {
		h := &host{name: fmt.Sprint("core-", n+1), kind: "control", ip: c.ip(10 + n)}
		data := filepath.Join(dir, h.name)
		text := fmt.Sprintf(`host = %q
zone = "z%d"
data_dir = %q
seeds = [%s]
bootstrap = true
trusted_network = true
memory_mb = 280
heartbeat = "1200ms"
replace_after = "4s"
[listen]
control = "%s:%d"
peers = "%s:%d"
status = "%s:%d"
[tolerate]
hosts = 1
zones = 1
[stages]
lease = "3000ms"
expected_prompt_tokens = 13000.0
expected_output_tokens = 860.0
`, h.name, n, data, list, h.ip, publicPort, h.ip, peersPort, h.ip, statusPort)
		if err := c.add(h, text); err != nil {
			return c, err
		}
		c.setControls(append(c.controlHosts(), h))
	}
	for n := range entries {
		h := &host{name: fmt.Sprint("edge-", n+1), kind: "entry", ip: c.ip(50 + n)}
		text := fmt.Sprintf(`host = %q
zone = "z0"
seeds = [%s]
peer_port = %d
trusted_network = true
memory_mb = %d
heartbeat = "1200ms"
grace = "8s"
[listen]
callers = "%s:%d"
ready = "%s:%d"
status = "%s:%d"
[retry]
ratio = 0.2
slack = 56
window = "10s"
`, h.name, list, peersPort, memoryMB, h.ip, publicPort, h.ip, readyPort, h.ip, statusPort)
		if err := c.add(h, text); err != nil {
			return c, err
		}
		c.entries = append(c.entries, h)
	}
	return c, nil
}

func (c *cluster) ip(n int) string { return fmt.Sprint(c.subnet, ".", n) }

func (c *cluster) address(n, port int) string { return fmt.Sprint(c.ip(n), ":", port) }

func freeSubnet() string {
	for {
		subnet := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprint(subnet, ".10:", publicPort))
		if err != nil {
			continue
		}
		ln.Close()
		return subnet
	}
}

func (c *cluster) add(h *host, settings string) error {
	h.settings = filepath.Join(c.dir, h.name+".toml")
	if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	return c.start(h)
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/filberthook-host", "--settings", h.settings, h.kind)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // the state is read from the process
		close(ended)
	}()
	c.record.log("%s started", h.name)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may have ended
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// memory returns the anonymous resident memory of a process in MB: its own, without pages of the
// program's file.
func (h *host) memory() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// closeOnSignal ends all processes when this one is told to end.
func (c *cluster) closeOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	c.close()
	os.Exit(couldNot)
}

// close ends all processes and removes the folder.
func (c *cluster) close() {
	for _, h := range append(slices.Clone(c.entries), c.controlHosts()...) {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	}
}

// configure sends a configuration as the operator does until it is acknowledged.
func (c *cluster) configure(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for n := range 100 {
		controls := c.controlHosts()
		h := controls[n%len(controls)]
		resp, err := client.Post(fmt.Sprintf("http://%s:%d/-/Config.Replace", h.ip, publicPort), "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.record.log("operator: version %v acknowledged by %s", config["version"], h.name)
				return nil
			}
			if resp.StatusCode == http.StatusBadRequest {
				return fmt.Errorf("configuration refused: %s", text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no acknowledgement of the configuration")
}

// awaitReady waits until all entry hosts say that they are ready.
func (c *cluster) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	end := time.Now().Add(within)
	for _, h := range c.entries {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", h.ip, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// routeHost is the host name of all routes.
const routeHost = "ficu95.example"
