package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all hosts; each host has a loopback address of its own. newDeployment moves them if one
// is not free.
var (
	portFront   = 8149 // callers
	portReady   = 8141
	portControl = 8144
	portPeers   = 7380
	portStatus  = 9464
	portWorker  = 8501
)

// Bounds of the sheet of pmr-norte.
const (
	memoryMB  = 284
	heartbeat = 1200 * time.Millisecond
)

// deployment is a small deployment of the project's hosts as processes.
type deployment struct {
	prefix   string // first three numbers of all addresses
	dir      string
	guard    net.Listener // keeps the addresses from other runs
	controls []*process
	entries  []*process
	mu       sync.Mutex
	workers  []*worker
	entryFds int // limit of descriptors of the entry hosts, which then have one core as well; 0 for no limits
}

// process is one host of the project.
type process struct {
	name, role, address string
	file                string
	fds                 int // limit of descriptors, 0 for that of this program
	cmd                 *exec.Cmd
	ended               chan struct{}
}

// newDeployment reserves addresses and a temporary folder.
func newDeployment() (*deployment, error) {
	dir, err := os.MkdirTemp("", "filberthook-review-")
	if err != nil {
		return nil, err
	}
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 40+n, 1+os.Getpid()%250)
		guard, err := net.Listen("tcp", prefix+".250:7999")
		if err != nil {
			continue
		}
		d := &deployment{prefix: prefix, dir: dir, guard: guard}
		return d, d.choosePorts()
	}
	return nil, errors.New("no free loopback addresses")
}

// choosePorts moves the ports by steps until all are free.
func (d *deployment) choosePorts() error {
	ports := []*int{&portFront, &portReady, &portControl, &portPeers, &portStatus, &portWorker}
	for range 50 {
		free := true
		for _, port := range ports {
			ln, err := net.Listen("tcp", d.at(1, *port))
			if err != nil {
				free = false
				continue
			}
			ln.Close()
		}
		if free {
			return nil
		}
		for _, port := range ports {
			*port += 13
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) at(n, port int) string { return fmt.Sprintf("%s.%d:%d", d.prefix, n, port) }

// controlAddress returns the address of a control host for operators and workers.
func (d *deployment) controlAddress(i int) string { return d.at(1+i, portControl) }

// front returns the address of an entry host for callers.
func (d *deployment) front(i int) string { return d.at(11+i, portFront) }

// start starts control hosts and entry hosts. Zones are z0, z1, ...
func (d *deployment) start(controls, entries int) error {
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", d.controlAddress(i)))
	}
	common := func(name string, zone int) string {
		return fmt.Sprintf("host = %q\nzone = \"z%d\"\nseeds = [%s]\ntrusted_network = true\nmemory_mb = %d\nheartbeat = \"1200ms\"\n",
			name, zone, strings.Join(seeds, ", "), memoryMB)
	}
	for i := range controls {
		p := &process{name: fmt.Sprintf("core-%d", i), role: "control", address: d.at(1+i, 0)}
		text := common(p.name, i) + fmt.Sprintf(`data_dir = %q
bootstrap = true
replace_after = "4s"
[listen]
control = %q
peers = %q
status = %q
[tolerate]
hosts = 1
zones = 1
[stages]
lease = "3000ms"
expected_prompt_tokens = 13000.0
expected_output_tokens = 860.0
`, filepath.Join(d.dir, p.name), d.at(1+i, portControl), d.at(1+i, portPeers), d.at(1+i, portStatus))
		if err := d.run(p, text); err != nil {
			return err
		}
		d.controls = append(d.controls, p)
	}
	for i := range entries {
		p := &process{name: fmt.Sprintf("edge-%d", i), role: "entry", address: d.at(11+i, 0), fds: d.entryFds}
		text := common(p.name, i) + fmt.Sprintf(`peer_port = %d
grace = "8s"
[listen]
callers = %q
ready = %q
status = %q
[retry]
ratio = 0.2
slack = 56
window = "10s"
`, portPeers, d.at(11+i, portFront), d.at(11+i, portReady), d.at(11+i, portStatus))
		if err := d.run(p, text); err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	return nil
}

func (d *deployment) run(p *process, settings string) error {
	if p.role == "control" {
		if err := os.MkdirAll(filepath.Join(d.dir, p.name), 0o755); err != nil {
			return err
		}
	}
	p.file = filepath.Join(d.dir, p.name+".toml")
	if err := os.WriteFile(p.file, []byte(settings), 0o644); err != nil {
		return err
	}
	return d.exec(p)
}

// exec starts the process with its settings file.
func (d *deployment) exec(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command("target/filberthook-host", "--settings", p.file, p.role)
	if p.fds > 0 {
		p.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(p.fds), "target/filberthook-host", "--settings", p.file, p.role)
		p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // as Go sets it itself on a machine with one core
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	record("start %s (%s) pid %d", p.name, p.role, p.cmd.Process.Pid)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	record("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s) // fails only if the process has ended
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, p := range append(d.entries, d.controls...) {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// anonymousMB returns the resident memory of a process without pages of files.
func (p *process) anonymousMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// processorTime returns the processor time that a process has used, in seconds.
func (p *process) processorTime() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	var user, system float64
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) / 100
}

// call makes a call to a control host.
func call(method, url string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// configure sends a configuration to the control hosts in turn until it is acknowledged.
func (d *deployment) configure(config any, limit time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		to := d.controlAddress(n % len(d.controls))
		status, answer, err := call("POST", "http://"+to+"/-/Config.Replace", body, 3*time.Second)
		record("operator: Config.Replace (%d bytes) to %s: %d %s %v", len(body), to, status, strings.TrimSpace(string(answer[:min(len(answer), 200)])), err)
		if err == nil && status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// ready waits until all entry hosts are ready.
func (d *deployment) ready(limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := range d.entries {
		for {
			status, _, err := call("GET", "http://"+d.at(11+i, portReady)+"/-/readiness", nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("edge-%d is not ready", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
