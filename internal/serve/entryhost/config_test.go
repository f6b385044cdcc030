package entryhost

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/process/tomltime"
	"filberthook/internal/replication/document"
	"filberthook/internal/serve/routes"
)

func TestOlderConfigurationNeverReplacesANewerOne(t *testing.T) {
	decode := func(body []byte) (*routes.Config, error) {
		version, err := strconv.ParseUint(string(body), 10, 64)
		return &routes.Config{Version: version}, err
	}
	h := New(Settings{
		Host: "e", Zone: "z", Seeds: []string{"127.0.0.1:7600"}, PeerPort: 7601, Heartbeat: tomltime.Of(time.Second), Retry: Retry{Window: tomltime.Of(time.Second)},
	}, Platform{
		Dialect: plainDialect{}, DecodeConfig: decode, Readiness: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, slog.New(slog.DiscardHandler), metrics.NewSet())
	config := &configuration{decode: decode, server: h.server, logger: slog.New(slog.DiscardHandler)}
	const versions, offering = 200, 4
	var hosts, reader sync.WaitGroup
	stop := make(chan struct{})
	reader.Go(func() {
		for last := uint64(0); ; {
			now := config.Version()
			if now < last {
				t.Errorf("version %d in force after version %d", now, last)
			}
			last = now
			select {
			case <-stop:
				return
			default:
			}
		}
	})
	for n := range offering {
		hosts.Go(func() {
			for i := range versions { // each control host lags behind by another number of versions
				version := uint64(max(1, i-7*n+1))
				if err := config.Offer(document.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10))}, "c"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	hosts.Wait()
	close(stop)
	reader.Wait()
	if got := config.Version(); got != versions {
		t.Errorf("version %d in force in the end, want %d", got, versions)
	}
}
