package cli

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/network/peer"
)

// groupHost is a control host that answers with a status; members are set before it is asked.
func groupHost(t *testing.T, status *controlapi.GroupStatus) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	status.Address = ln.Addr().String()
	mux := peer.NewMux()
	peer.Handle(mux, controlapi.MethodGroup, func(context.Context, peer.Identity, controlapi.GroupRequest) (controlapi.GroupStatus, error) {
		return *status, nil
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.NewServer(controlapi.PeerOptions(peer.Identity{Host: "c"}, true, metrics.NewSet(), slog.New(slog.DiscardHandler)), mux).Serve(ctx, ln)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func TestGroupShowsTheHostWithTheMostCompleteLogFirst(t *testing.T) {
	less := &controlapi.GroupStatus{Host: "c1", Member: true, Voter: true, WithoutLeaderMS: 3000, Term: 9, LastTerm: 4, Last: 200, Commit: 190, Version: 7}
	more := &controlapi.GroupStatus{Host: "c2", Member: true, WithoutLeaderMS: 3000, Term: 6, LastTerm: 5, Last: 150, Commit: 140, Version: 8}
	groupHost(t, less)
	groupHost(t, more)
	gone := "127.0.0.1:1"
	less.Members = []controlapi.GroupMember{
		{Address: less.Address, Voter: true, Answers: true}, {Address: more.Address, Answers: true}, {Address: gone, Voter: true, SilentMS: 61000},
	}
	var out, errOut strings.Builder
	if code := Main([]string{"group", "--control", less.Address}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	text := out.String()
	first, second, last := strings.Index(text, "c2"), strings.Index(text, "c1"), strings.Index(text, gone)
	if first < 0 || second < first || last < second {
		t.Errorf("order of the hosts:\n%s", text)
	}
	for _, want := range []string{"none for 3s", "1m1s ago", more.Address + " holds most: up to entry 150 of term 5", "up to 190 (" + less.Address + ")", "no answer"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	if code := Main([]string{"group", "--control", gone}, &out, &errOut); code != ExitUnavailable {
		t.Errorf("exit code %d without any answer, want %d", code, ExitUnavailable)
	}
}
