package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"

	"github.com/VictoriaMetrics/metrics"

	"filberthook/internal/bench/faultrun"
	"filberthook/internal/bench/standin"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// Settings of a local system's engine. It answers at once, so that the
// measurements show the entry host.
const (
	localEngineSpeed    = 1e6
	localEngineKVBlocks = 100_000
	localEngineBatch    = 512
	localZone           = "local"
)

// localSystem is one control replica, one entry host and one engine in this
// process.
type localSystem struct {
	cluster *faultrun.Cluster
	dir     string
	stop    context.CancelFunc
	done    chan error

	engine   string // IP:port
	entry    string // IP:port for callers
	teamKey  string
	model    string
	endpoint string
}

func startLocal(ctx context.Context) (*localSystem, error) {
	dir, err := os.MkdirTemp("", "filberthook-load-")
	if err != nil {
		return nil, err
	}
	s := &localSystem{dir: dir}
	log := slog.New(slog.DiscardHandler)
	s.cluster, err = faultrun.StartCluster(ctx, faultrun.ClusterConfig{Dir: dir, Zones: []string{localZone}, Controls: 1, EntriesPerZone: 1, Logger: log})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	sys := s.cluster.System()
	s.entry = s.cluster.Entries()[0]
	s.teamKey, s.model, s.endpoint = sys.TeamKey, sys.Model, sys.Endpoint
	if err := s.startEngine(sys, log); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *localSystem) startEngine(sys faultrun.System, log *slog.Logger) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.engine = ln.Addr().String()
	cfg := standin.EngineConfig{
		Identity: standin.Identity{Instance: "engine", Zone: localZone, Address: s.engine, Entries: []string{sys.Entries[0].Announce()}},
		Model:    enginemodel.DefaultConfig(),
		Speed:    localEngineSpeed,
	}
	cfg.LeaveGrace = 1
	cfg.Model.KVBlocks, cfg.Model.MaxBatch = localEngineKVBlocks, localEngineBatch
	cfg.Model.Models = []engineapi.Model{{Name: sys.Model, Version: "1"}}
	engine, err := standin.NewEngine(cfg, metrics.NewSet(), log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done = cancel, make(chan error, 1)
	go func() { s.done <- standin.Serve(ctx, ln, engine, standin.DefaultLeaveLimit, log) }()
	return nil
}

func (s *localSystem) close() error {
	var errs []error
	if s.stop != nil {
		s.stop()
		errs = append(errs, <-s.done)
	}
	errs = append(errs, s.cluster.Close(), os.RemoveAll(s.dir))
	return errors.Join(errs...)
}
