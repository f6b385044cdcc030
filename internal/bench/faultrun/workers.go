package faultrun

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/faultnet"
	"filberthook/internal/bench/standin"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/process/pause"
)

// Parameters of the stand-ins. Role changes and model loads are shorter than those of
// real engines, so that a short run has many of them.
const (
	engineSpeed      = 20
	engineRoleChange = 20 * time.Second // engine time
	engineModelLoad  = 20 * time.Second // engine time
	serviceDuration  = 5 * time.Millisecond
	announceEvery    = 200 * time.Millisecond
	announceLease    = time.Second
	leaveGrace       = leaveBound + time.Second
	leaveLimit       = 30 * time.Second
	slowNetwork      = 30 * time.Millisecond
)

// faultyStandin is a stand-in of any kind with its fault controls.
type faultyStandin interface {
	standin.Standin
	Faults() *standin.Faults
	Crash()
	Restart()
	CancelLeave()
	LeaveReport() standin.LeaveReport
}

// worker is one stand-in with the relay through which all calls to it pass.
type worker struct {
	name    string
	relay   *faultnet.Relay
	server  *http.Server
	standin faultyStandin

	busy sync.Mutex // locked during a fault, so that faults of one worker do not overlap
}

// engineWorker and serviceWorker add the concrete types of their stand-ins.
type engineWorker struct {
	worker
	engine *standin.Engine
}

type serviceWorker struct {
	worker
	service *standin.Service
}

func newEngineWorker(name, zone string, checksFence bool, sys System) (*engineWorker, error) {
	w := &engineWorker{worker: worker{name: name}}
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	cfg := standin.EngineConfig{
		Identity:   w.identity("", zone, sys),
		Model:      engineConfig(sys.Model, checksFence),
		Speed:      engineSpeed,
		RecordRuns: true,
	}
	w.engine, err = standin.NewEngine(cfg, metrics.NewSet(), discard())
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	w.standin = w.engine
	w.serve(ln)
	return w, nil
}

func engineConfig(model string, checksFence bool) enginemodel.Config {
	m := enginemodel.DefaultConfig()
	m.ChecksFence = checksFence
	m.RoleChange = engineRoleChange
	m.ModelLoad = engineModelLoad
	m.Models = []engineapi.Model{{Name: model, Version: "1"}}
	return m
}

func newServiceWorker(name, zone string, sys System) (*serviceWorker, error) {
	w := &serviceWorker{worker: worker{name: name}}
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	cfg := standin.ServiceConfig{Identity: w.identity(sys.Service, zone, sys), Duration: serviceDuration}
	w.service, err = standin.NewService(cfg, metrics.NewSet(), discard())
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	w.standin = w.service
	w.serve(ln)
	return w, nil
}

// listen opens the worker's listener and the relay in front of it.
func (w *worker) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("no free loopback port: %w", err)
	}
	w.relay, err = faultnet.NewRelay(ln.Addr().String())
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return ln, nil
}

func (w *worker) identity(endpoint, zone string, sys System) standin.Identity {
	return standin.Identity{
		Instance:      w.name,
		Incarnation:   uint64(time.Now().UnixNano()),
		Endpoint:      endpoint,
		Zone:          zone,
		Address:       w.relay.Address(),
		Entries:       sys.announceTo(zone),
		AnnounceEvery: announceEvery,
		Lease:         announceLease,
		LeaveGrace:    leaveGrace,
	}
}

func (w *worker) serve(ln net.Listener) {
	w.server = &http.Server{
		Handler:           w.standin,
		ReadHeaderTimeout: 10 * time.Second,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	go func() { _ = w.server.Serve(ln) }()
}

func (w *worker) close() {
	_ = w.relay.Close()
	_ = w.server.Close()
}

// heal ends all faults except a crash.
func (w *worker) heal() {
	w.relay.Heal()
	w.standin.Faults().Clear()
}

// crash crashes the stand-in and restarts it after a time.
func (w *worker) crash(ctx context.Context, length time.Duration) {
	w.standin.Crash()
	w.relay.Reset()
	pause.For(ctx, length)
	w.standin.Restart()
}

// leave lets the stand-in drain and leave, and restarts it after a time. It returns the
// time from the start of leaving to the last new request.
func (w *worker) leave(ctx context.Context, length time.Duration) (time.Duration, error) {
	limited, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	err := w.standin.Leave(limited)
	last := w.standin.LeaveReport().Last
	w.standin.Crash()
	w.relay.Reset()
	pause.For(ctx, length)
	w.standin.CancelLeave()
	w.standin.Restart()
	if err != nil {
		return last, fmt.Errorf("worker %s did not finish its work in %s: %w", w.name, leaveLimit, err)
	}
	return last, nil
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
