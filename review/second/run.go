package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the sheet of pmr-norte.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	catchUp     = 4 * time.Second
	configApply = 2 * time.Second
	drain       = 2 * time.Second
)

// record is record.txt, with the time of each line.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begin time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, begin: time.Now()} }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// run is one deployment. Each machine has an address of its own in 127.0.0.0/8; ports are the
// same on all machines.
type run struct {
	record  *record
	dir     string
	trouble bool
	prefix  string // of the machines' addresses, without the last two parts
	port    int    // first port

	mu      sync.Mutex
	hosts   []*host
	closers []func()
}

// Ports, counted from the first one.
const (
	portControl = iota // of control hosts, for workers and the operator
	portPeers
	portFront
	portReady
	portStatus
	ports
)

// Machines: the last part of their addresses.
const (
	firstControl = 10
	firstEntry   = 50
	firstWorker  = 100
)

// Subnets: the third part of the addresses. A control host listens for its peers at the inner
// address, and a relay at the outer one passes their connections on.
const (
	outer = iota
	inner
)

// place chooses addresses and ports that nobody listens at.
func (r *run) place() error {
	for range 50 {
		r.prefix = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		r.port = 20000 + rand.IntN(10000)
		if r.free() {
			r.record.log("machines at %s.0.0/16, ports from %d", r.prefix, r.port)
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (r *run) free() bool {
	for _, machine := range []int{firstControl, firstControl + 6, firstEntry, firstEntry + 1, firstWorker, firstWorker + 1, firstWorker + 5} {
		for p := range ports {
			l, err := net.Listen("tcp", r.address(outer, machine, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (r *run) address(subnet, machine, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", r.prefix, subnet, machine, r.port+port)
}

func (r *run) controlAddress(n int) string { return r.address(outer, firstControl+n, portControl) }

func (r *run) frontAddress(n int) string { return r.address(outer, firstEntry+n, portFront) }

func (r *run) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all processes and stand-ins that the run has started.
func (r *run) close() {
	r.mu.Lock()
	hosts, closers := r.hosts, r.closers
	r.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	for _, f := range closers {
		f()
	}
}

// host is a machine with one process of the system.
type host struct {
	run      *run
	name     string
	kind     string // control or entry
	settings string // of the process, but for bootstrap
	file     string
	disk     string // empty for an entry host

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (r *run) newHost(name, kind, settings, disk string) *host {
	h := &host{run: r, name: name, kind: kind, settings: settings, file: filepath.Join(r.dir, name+".toml"), disk: disk}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append(r.hosts, h)
	return h
}

// newControl returns a control host. Its settings are those of deploy/control.toml.tmpl; with a
// relay its peers reach it through that.
func (r *run) newControl(n int, seeds []int, relayed bool) *host {
	name := fmt.Sprintf("control%d", n)
	disk := filepath.Join(r.dir, name)
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", r.controlAddress(s)))
	}
	peers, advertised := r.address(outer, firstControl+n, portPeers), ""
	if relayed {
		advertised = fmt.Sprintf("advertised = %q\n", peers)
		peers = r.address(inner, firstControl+n, portPeers)
	}
	settings := fmt.Sprintf(`host = %q
zone = "z%d"
data_dir = %q
seeds = [%s]
trusted_network = true
memory_mb = 280
heartbeat = "%dms"
replace_after = "%ds"
`, name, n%4, disk, strings.Join(addresses, ", "), heartbeat.Milliseconds(), int(catchUp.Seconds())) + "bootstrap = %v\n" + fmt.Sprintf(`
[listen]
control = %q
peers = %q
%sstatus = %q

[tolerate]
hosts = 1
zones = 1

[stages]
lease = "3000ms"
expected_prompt_tokens = 13000.0
expected_output_tokens = 860.0
`, r.controlAddress(n), peers, advertised, r.address(outer, firstControl+n, portStatus))
	return r.newHost(name, "control", settings, disk)
}

// newEntry returns an entry host with the settings of deploy/entry.toml.tmpl.
func (r *run) newEntry(n int, seeds []int) *host {
	name := fmt.Sprintf("entry%d", n)
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", r.controlAddress(s)))
	}
	settings := fmt.Sprintf(`host = %q
zone = "z%d"
seeds = [%s]
peer_port = %d
trusted_network = true
memory_mb = 284
heartbeat = "%dms"
grace = "8s"

[listen]
callers = %q
ready = %q
status = %q

[retry]
ratio = 0.2
slack = 56
window = "10s"
`, name, n%4, strings.Join(addresses, ", "), r.port+portPeers, heartbeat.Milliseconds(),
		r.frontAddress(n), r.address(outer, firstEntry+n, portReady), r.address(outer, firstEntry+n, portStatus))
	return r.newHost(name, "entry", settings, "")
}

// start starts the process. Bootstrap is true at the first start of the whole system only.
func (h *host) start(bootstrap bool) error {
	text := h.settings
	if h.kind == "control" {
		text = fmt.Sprintf(text, bootstrap)
		if err := os.MkdirAll(h.disk, 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(h.file, []byte(text), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.run.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/filberthook-host", "--settings", h.file, h.kind)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	h.run.record.log("%s started, bootstrap %v", h.name, bootstrap)
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

// end sends a signal to the process and waits until it has ended, for a time at most.
func (h *host) end(s syscall.Signal, within time.Duration) bool {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return true
	}
	_ = cmd.Process.Signal(s) // fails only if it has ended
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

func (h *host) kill() { h.end(syscall.SIGKILL, 5*time.Second) }

// logged reports whether the log of a host holds a text.
func (h *host) logged(text string) bool {
	data, err := os.ReadFile(filepath.Join(h.run.dir, h.name+".log"))
	return err == nil && strings.Contains(string(data), text)
}

// quote copies the lines of a host's log that hold one of some texts into the record.
func (h *host) quote(most int, texts ...string) {
	data, err := os.ReadFile(filepath.Join(h.run.dir, h.name+".log"))
	if err != nil {
		return
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	for _, line := range lines[max(0, len(lines)-most):] {
		h.run.record.log("log of %s: %.400s", h.name, line)
	}
}
