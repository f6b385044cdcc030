package cli

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/quarantine"
	"filberthook/internal/network/peer"
)

// blocksHost is a control host that takes any word and lists one block.
func blocksHost(t *testing.T, got *controlapi.BlocksRequest) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := peer.NewMux()
	peer.Handle(mux, controlapi.MethodBlocks, func(_ context.Context, _ peer.Identity, req controlapi.BlocksRequest) (controlapi.BlocksResponse, error) {
		*got = req
		return controlapi.BlocksResponse{Blocks: []quarantine.Entry{{
			Suspect: "m/bad", SinceMS: 2500, Ends: 3, Instances: []quarantine.EndEntry{{Instance: "i-7", AgeMS: 4000}},
		}}}, nil
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
	return ln.Addr().String()
}

func TestQuarantineCommandsReachTheFirstControlHostThatAnswers(t *testing.T) {
	var got controlapi.BlocksRequest
	host := blocksHost(t, &got)
	for _, tt := range []struct {
		args string
		code int
		sent controlapi.BlocksRequest
		out  string
	}{
		{"list", ExitOK, controlapi.BlocksRequest{}, "m/bad"},
		{"list", ExitOK, controlapi.BlocksRequest{}, "i-7"},
		{"hold m/bad", ExitOK, controlapi.BlocksRequest{Word: controlapi.HoldBlock, Block: "m/bad"}, "2.5s"},
		{"release m/bad", ExitOK, controlapi.BlocksRequest{Word: controlapi.ReleaseBlock, Block: "m/bad"}, ""},
		{"hold bad", ExitUsage, controlapi.BlocksRequest{}, ""},
	} {
		got = controlapi.BlocksRequest{}
		var out, errOut strings.Builder
		args := append([]string{"quarantine", "--control", "127.0.0.1:1", "--control", host}, strings.Fields(tt.args)...)
		if code := Main(args, &out, &errOut); code != tt.code {
			t.Errorf("%s: exit code %d, want %d: %s", tt.args, code, tt.code, errOut.String())
		}
		if got != tt.sent || !strings.Contains(out.String(), tt.out) {
			t.Errorf("%s: sent %+v, printed %q", tt.args, got, out.String())
		}
	}
	var out, errOut strings.Builder
	if code := Main([]string{"quarantine", "--control", "127.0.0.1:1", "list"}, &out, &errOut); code != ExitUnavailable {
		t.Errorf("exit code %d without a control host, want %d", code, ExitUnavailable)
	}
}
