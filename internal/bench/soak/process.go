// Package soak monitors processes of the system during a long load: it samples
// their memory, open files and goroutines, pauses and kills some of them with
// signals, and checks that their resource use does not grow. It starts no process.
package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Names and limits for reading a process's resource use.
const (
	residentField    = "VmRSS:"
	goroutinesMetric = "go_goroutines"
	statusTimeout    = 2 * time.Second
)

// Process is a process to monitor. An external supervisor starts it and restarts
// it when it ends.
type Process struct {
	Name    string
	PIDFile string // file that contains its process ID
	Status  string // IP:port that serves its /metrics; empty for none
}

// ParseProcess parses NAME=PIDFILE or NAME=PIDFILE@STATUS.
func ParseProcess(s string) (Process, error) {
	name, rest, ok := strings.Cut(s, "=")
	if !ok || name == "" || rest == "" {
		return Process{}, fmt.Errorf("process %q: write it as NAME=PIDFILE or NAME=PIDFILE@IP:PORT", s)
	}
	file, status, _ := strings.Cut(rest, "@")
	return Process{Name: name, PIDFile: file, Status: status}, nil
}

// PID reads the process ID from the PID file.
func (p Process) PID() (int, error) {
	b, err := os.ReadFile(p.PIDFile)
	if err != nil {
		return 0, fmt.Errorf("process %s: %w", p.Name, err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
	if err != nil || pid <= 1 {
		return 0, fmt.Errorf("process %s: %s contains no process ID", p.Name, p.PIDFile)
	}
	return pid, nil
}

// Sample is the resource use of a process at one time.
type Sample struct {
	PID        int
	Resident   int64 // bytes
	Files      int
	Goroutines int // 0 if unknown
}

// Sample reads the process's current resource use.
func (p Process) Sample(ctx context.Context) (Sample, error) {
	pid, err := p.PID()
	if err != nil {
		return Sample{}, err
	}
	s := Sample{PID: pid}
	if s.Resident, err = resident(pid); err != nil {
		return s, fmt.Errorf("process %s: %w", p.Name, err)
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return s, fmt.Errorf("process %s: %w", p.Name, err)
	}
	s.Files = len(files)
	if p.Status != "" {
		s.Goroutines = goroutines(ctx, p.Status)
	}
	return s, nil
}

func resident(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		rest, ok := strings.CutPrefix(line, residentField)
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("no %s in the status of process %d", residentField, pid)
}

// goroutines reads the number of goroutines from /metrics; it returns 0 if the
// number cannot be read, for example while the process is paused.
func goroutines(ctx context.Context, status string) int {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+status+"/metrics", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		value, ok := strings.CutPrefix(lines.Text(), goroutinesMetric+" ")
		if !ok {
			continue
		}
		n, _ := strconv.Atoi(strings.TrimSpace(value))
		return n
	}
	return 0
}
