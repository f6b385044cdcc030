package deployment

import (
	"log/slog"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
	"filberthook/internal/process/settings"
)

// Options describe a deployment.
type Options struct {
	Dir            string   // data folder of all hosts
	Zones          []string // availability zones
	Controls       int      // number of control replicas, assigned to the zones in turn
	EntriesPerZone int
	Engines        []Engine
	Services       []Service
	Logger         *slog.Logger
	Entry          func(*settings.Entry) // adjusts the settings of each entry host; may be nil
}

// Engine describes one stand-in engine.
type Engine struct {
	Name     string
	Zone     string
	Endpoint string
	Model    enginemodel.Config
	Speed    float64
}

// Service describes one stand-in instance of a plain service.
type Service struct {
	Name     string
	Zone     string
	Endpoint string
	Duration time.Duration
}

// EngineModel returns the settings of a mixed engine that has one model loaded and rejects
// orders with an outdated fencing number.
func EngineModel(model string) enginemodel.Config {
	cfg := enginemodel.DefaultConfig()
	cfg.Models = []engineapi.Model{{Name: model, Version: "1"}}
	cfg.ChecksFence = true
	return cfg
}
