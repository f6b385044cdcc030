package faultnet

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer answers each byte with itself.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func newRelay(t *testing.T, target string) *Relay {
	t.Helper()
	r, err := NewRelay(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// roundTrip sends one byte and reports whether it comes back before the limit.
func roundTrip(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	return receive(t, c, limit)
}

func receive(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

const (
	answerLimit = 10 * time.Second       // an expected answer must arrive within this
	silence     = 100 * time.Millisecond // no answer may arrive within this
)

func TestCutHoldsBytesUntilHeal(t *testing.T) {
	tests := []struct {
		name string
		cut  func(*Relay)
	}{
		{"to target", (*Relay).CutToTarget},
		{"to caller", (*Relay).CutToCaller},
		{"both", (*Relay).Cut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRelay(t, echoServer(t))
			c := dial(t, r)
			if !roundTrip(t, c, answerLimit) {
				t.Fatal("no answer through an open relay")
			}
			tt.cut(r)
			if roundTrip(t, c, silence) {
				t.Error("answer through a cut relay")
			}
			r.Heal()
			if !receive(t, c, answerLimit) {
				t.Error("no answer after the relay healed")
			}
		})
	}
}

func TestConnectionOpenedDuringCutWorksAfterHeal(t *testing.T) {
	r := newRelay(t, echoServer(t))
	r.CutToTarget()
	c := dial(t, r)
	if roundTrip(t, c, silence) {
		t.Error("answer through a cut relay")
	}
	r.Heal()
	if !receive(t, c, answerLimit) {
		t.Error("no answer after the relay healed")
	}
}

func TestResetAndDelay(t *testing.T) {
	r := newRelay(t, echoServer(t))
	r.Delay(10 * time.Millisecond)
	c := dial(t, r)
	start := time.Now()
	if !roundTrip(t, c, answerLimit) || time.Since(start) < 20*time.Millisecond {
		t.Errorf("answer after %v, want one after at least 20ms", time.Since(start))
	}
	r.Reset()
	if roundTrip(t, c, answerLimit) {
		t.Error("answer on a connection that was reset")
	}
	if !roundTrip(t, dial(t, r), answerLimit) {
		t.Error("no answer on a new connection after a reset")
	}
}

func TestDownClosesOldAndNewConnections(t *testing.T) {
	r := newRelay(t, echoServer(t))
	c := dial(t, r)
	if !roundTrip(t, c, answerLimit) {
		t.Fatal("no answer through an open relay")
	}
	r.Down()
	if roundTrip(t, c, answerLimit) || roundTrip(t, dial(t, r), answerLimit) {
		t.Error("answer through a relay that is down")
	}
	r.Up()
	if !roundTrip(t, dial(t, r), answerLimit) {
		t.Error("no answer after the relay came up")
	}
}

func TestRetargetMovesNewConnections(t *testing.T) {
	r := newRelay(t, "")
	if roundTrip(t, dial(t, r), answerLimit) {
		t.Error("answer through a relay without a target")
	}
	r.Retarget(echoServer(t))
	if !roundTrip(t, dial(t, r), answerLimit) {
		t.Error("no answer from the new target")
	}
}

func TestEndOfStreamPasses(t *testing.T) {
	r := newRelay(t, echoServer(t))
	c := dial(t, r)
	if _, err := c.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if string(got) != "ab" || err != nil {
		t.Errorf("read %q, %v; want ab and the end", got, err)
	}
	if there, back := r.Bytes(); there != 2 || back != 2 {
		t.Errorf("relay passed %d and %d bytes, want 2 and 2", there, back)
	}
}
