package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/control/controlhost"
	"filberthook/internal/process/logsink"
	"filberthook/internal/process/pause"
	"filberthook/internal/process/saturate"
	"filberthook/internal/process/settings"
	"filberthook/internal/serve/entryhost"
	"filberthook/internal/serve/upstream"
	"filberthook/platform"
)

const (
	// memoryLimitShare is Go's soft memory limit as a share of the host's memory limit; above
	// it, the garbage collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent trades memory for fewer collections: the live heap is small beside the limit.
	gcPercent = 300
	// reloadInterval is how often the settings file is checked for changes.
	reloadInterval = time.Second
	// statusHeaderTimeout bounds the header of a request for metrics.
	statusHeaderTimeout = 5 * time.Second
	// statusHeaderBytes limits it.
	statusHeaderBytes = 16 << 10
)

// process holds what entry hosts and control hosts share.
type process struct {
	file     string
	hup      <-chan os.Signal // to reload the settings
	sink     *logsink.Sink
	logger   *slog.Logger
	set      *metrics.Set
	group    func(context.Context) controlapi.GroupStatus // what a control host knows of its group; nil on an entry host
	accounts func() entryhost.AccountsStatus              // client accounts that an entry host knows; nil on a control host
}

func newProcess(file string, hup <-chan os.Signal, log settings.Log, memoryMB int) *process {
	if memoryMB > 0 {
		debug.SetMemoryLimit(saturate.Int64(memoryLimitShare * float64(memoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	sink := logsink.New(os.Stdout)
	set := metrics.NewSet()
	set.RegisterMetricsWriter(metrics.WriteProcessMetrics)
	set.GetOrCreateGauge("filberthook_log_lines_dropped", func() float64 { return float64(sink.Dropped()) })
	return &process{file: file, hup: hup, sink: sink, logger: log.Logger(sink), set: set}
}

// run serves until a signal to stop and returns the exit code. It calls setSeeds when a
// reload of the settings file changes the seeds.
func (p *process) run(status string, seeds []string, serve func(context.Context) error, load func() ([]string, error), setSeeds func([]string)) int {
	defer p.sink.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	background, end := context.WithCancel(context.Background())
	defer end()
	go p.serveStatus(ctx, status)
	go p.reload(background, seeds, load, setSeeds)
	if err := serve(ctx); err != nil && !errors.Is(err, context.Canceled) {
		p.logger.Error("host failed", "err", err)
		return exitFailed
	}
	return 0
}

// serveStatus serves the metrics. The host goes on without them when that fails.
func (p *process) serveStatus(ctx context.Context, address string) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		p.logger.Error("metrics not served", "address", address, "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { p.set.WritePrometheus(w) })
	if p.group != nil {
		mux.HandleFunc("GET /group", func(w http.ResponseWriter, r *http.Request) { p.serveStatusJSON(w, p.group(r.Context())) })
	}
	if p.accounts != nil {
		mux.HandleFunc("GET /accounts", func(w http.ResponseWriter, _ *http.Request) { p.serveStatusJSON(w, p.accounts()) })
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: statusHeaderTimeout, MaxHeaderBytes: statusHeaderBytes}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		p.logger.Error("metrics not served any more", "address", address, "err", err)
	}
}

// serveStatusJSON answers with what this host knows of the control group, with or without a
// quorum, or of client accounts.
func (p *process) serveStatusJSON(w http.ResponseWriter, status any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(status); err != nil {
		p.logger.Info("status not sent", "err", err)
	}
}

// reload loads the settings file after each signal or change of the file, and applies new
// seeds. Other settings need a restart.
func (p *process) reload(ctx context.Context, seeds []string, load func() ([]string, error), setSeeds func([]string)) {
	last := statFile(p.file)
	for {
		wait, cancel := context.WithTimeout(ctx, reloadInterval)
		signalled := false
		select {
		case <-p.hup:
			signalled = true
		case <-wait.Done():
		}
		cancel()
		if !pause.For(ctx, 0) {
			return
		}
		now := statFile(p.file)
		if !signalled && now == last {
			continue
		}
		last = now
		next, err := load()
		if err != nil {
			p.logger.Error("settings not reloaded, the old ones stay", "err", err)
			continue
		}
		p.logger.Info("settings reloaded", "signal", signalled, "seeds_changed", !slices.Equal(seeds, next))
		if !slices.Equal(seeds, next) {
			seeds = next
			setSeeds(next)
		}
	}
}

// fileState is compared to detect that a file was written.
type fileState struct {
	modified int64
	size     int64
}

func statFile(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{} // a missing file is reported when it is loaded
	}
	return fileState{info.ModTime().UnixNano(), info.Size()}
}

func runEntry(file string, hup <-chan os.Signal, s entryhost.Settings) int {
	p := newProcess(file, hup, s.Log, s.MemoryMB)
	host := entryhost.New(s, entryhost.Platform{
		Dialect:      platform.Headers{},
		DecodeConfig: platform.DecodeConfig,
		Readiness:    platform.Readiness,
	}, p.logger, p.set)
	p.accounts = host.Accounts
	load := func() ([]string, error) {
		var next entryhost.Settings
		err := settings.Load(file, &next)
		return next.Seeds, err
	}
	return p.run(s.Listen.Status, s.Seeds, host.Run, load, host.SetSeeds)
}

func runControl(file string, hup <-chan os.Signal, s controlhost.Settings) int {
	p := newProcess(file, hup, s.Log, s.MemoryMB)
	handler := func(service controlhost.Service) http.Handler { return platform.Control(service, p.logger) }
	host, err := controlhost.New(s, handler, platform.Orders{Pool: upstream.NewPool(p.set)}, p.logger, p.set)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if s.Platform.Address != "" {
		set, unknown := platform.DecodeDuties(s.Platform.Duties)
		if len(unknown) > 0 {
			p.logger.Warn("duties unknown to this release are not done", "duties", unknown)
		}
		host.UseDuties(platform.NewCloud(s.Platform.Address, s.Platform.CallsPerSecond), set)
		host.OrderInstances(platform.DecodeConfig)
	}
	p.group = func(ctx context.Context) controlapi.GroupStatus { return host.GroupStatus(ctx, true) }
	load := func() ([]string, error) {
		var next controlhost.Settings
		err := settings.Load(file, &next)
		return next.Seeds, err
	}
	return p.run(s.Listen.Status, s.Seeds, host.Run, load, host.SetSeeds)
}
