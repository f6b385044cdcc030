package loadgen

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of processor times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// Positions in /proc/PID/stat, counted from 0 after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// OwnCPU returns the processor time that this process has used.
func OwnCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("processor time of this process: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// ProcessCPU returns the processor time that a process has used.
func ProcessCPU(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("cannot read the processor time of process %d, give the ID of a running process: %w", pid, err)
	}
	end := strings.LastIndexByte(string(b), ')')
	fields := strings.Fields(string(b[end+1:]))
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("processor time of process %d: stat has only %d fields", pid, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, err2 := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("processor time of process %d: stat fields are not numbers", pid)
	}
	return time.Duration(user+system) * clockTick, nil
}
