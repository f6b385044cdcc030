package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"filberthook/internal/process/settings"
)

// helperVariable makes the test binary run a host that serves nothing, so that signals
// can be sent to it.
const helperVariable = "FILBERTHOOK_TEST_HOST"

const (
	helperReady    = "serving"
	helperStopping = "stopping"
	helperDone     = "requests finished"
	// helperDrain is how long the helper's last requests take after the signal to stop.
	helperDrain = 400 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) != "" {
		os.Exit(helperHost())
	}
	if file := os.Getenv(controlVariable); file != "" {
		os.Exit(run([]string{"--settings", file, "control"}, reloadSignals()))
	}
	os.Exit(m.Run())
}

func helperHost() int {
	p := newProcess(os.DevNull, reloadSignals(), settings.Log{}, 0)
	serve := func(ctx context.Context) error {
		fmt.Println(helperReady)
		<-ctx.Done()
		fmt.Println(helperStopping)
		time.Sleep(helperDrain)
		fmt.Println(helperDone)
		return nil
	}
	load := func() ([]string, error) { return nil, nil }
	return p.run("127.0.0.1:0", nil, serve, load, func([]string) {})
}

// The platform may send SIGHUP at any time, also to a host that is stopping. If the host no
// longer caught it then, its default action would end the process and cut the last requests.
func TestReloadSignalDuringShutdown(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), helperVariable+"=1")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var seen []string
	for lines := bufio.NewScanner(out); lines.Scan(); {
		switch line := lines.Text(); line {
		case helperReady:
			seen = append(seen, line)
			signalHelper(t, cmd, syscall.SIGTERM)
		case helperStopping:
			seen = append(seen, line)
			time.Sleep(helperDrain / 4) // everything that ends on the signal to stop has ended by now
			signalHelper(t, cmd, syscall.SIGHUP)
		case helperDone:
			seen = append(seen, line)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the host ended with %v after %q; stderr: %s", err, seen, stderr.String())
	}
	if len(seen) != 3 {
		t.Errorf("the helper printed %q, want it to finish its requests", seen)
	}
}

func signalHelper(t *testing.T, cmd *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(s); err != nil {
		t.Errorf("signal %v: %v", s, err)
	}
}
