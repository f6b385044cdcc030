// Package enginemodel is a deterministic model of one model engine with
// continuous batching: batch steps, chunked prefill, memory limited to a
// number of KV blocks, a prefix cache, priorities, roles and orders.
//
// It reads no clock, starts no goroutine and does no I/O. Every call takes the
// current time as a duration since an origin that the caller chooses; times
// must not decrease from call to call. An Engine is not safe for concurrent use.
package enginemodel

import (
	"errors"
	"time"

	"filberthook/internal/engines/engineapi"
)

// Config describes one engine. Durations and rates are measured by the engine's
// own clock.
type Config struct {
	KVBlocks    int               // memory, in blocks of engineapi.KVBlockTokens tokens
	MaxBatch    int               // largest number of requests that run together
	Role        engineapi.Role    // role at the start
	Models      []engineapi.Model // models loaded at the start
	Incarnation uint64            // orders meant for another incarnation are rejected
	ChecksFence bool              // rejects orders with a fencing number below the highest seen

	StepBase               time.Duration // fixed part of each batch step
	StepPerSequence        time.Duration // added to a step per decoding request
	PrefillTokensPerSecond float64       // prompt tokens computed per second of a step
	PrefillChunk           int           // most prompt tokens computed in one step

	RoleChange  time.Duration // duration of a role change; no request is accepted during it
	ModelLoad   time.Duration // duration of loading a model or another version of it
	AdapterLoad time.Duration // duration of adding adapters to a loaded model

	LoadReportLag             time.Duration // age of the figures in load reports
	CacheEventLag             time.Duration // age at which cache events become readable
	CacheEventLossEvery       int           // every n-th cache event is lost; 0 loses none
	KVTransferTokensPerSecond float64       // speed of importing a KV cache; 0 takes no time
}

// Default values of one engine.
const (
	DefaultKVBlocks                  = 200
	DefaultMaxBatch                  = 64
	DefaultStepBase                  = 12 * time.Millisecond
	DefaultStepPerSequence           = 250 * time.Microsecond
	DefaultPrefillTokensPerSecond    = 16000
	DefaultPrefillChunk              = 2048
	DefaultRoleChange                = 4 * time.Second
	DefaultModelLoad                 = 20 * time.Second
	DefaultAdapterLoad               = 2 * time.Second
	DefaultLoadReportLag             = 500 * time.Millisecond
	DefaultCacheEventLag             = 300 * time.Millisecond
	DefaultCacheEventLossEvery       = 200
	DefaultKVTransferTokensPerSecond = 200000
)

// DefaultConfig returns the default values of a mixed engine without models.
func DefaultConfig() Config {
	return Config{
		KVBlocks:                  DefaultKVBlocks,
		MaxBatch:                  DefaultMaxBatch,
		Role:                      engineapi.RoleMixed,
		Incarnation:               1,
		ChecksFence:               true,
		StepBase:                  DefaultStepBase,
		StepPerSequence:           DefaultStepPerSequence,
		PrefillTokensPerSecond:    DefaultPrefillTokensPerSecond,
		PrefillChunk:              DefaultPrefillChunk,
		RoleChange:                DefaultRoleChange,
		ModelLoad:                 DefaultModelLoad,
		AdapterLoad:               DefaultAdapterLoad,
		LoadReportLag:             DefaultLoadReportLag,
		CacheEventLag:             DefaultCacheEventLag,
		CacheEventLossEvery:       DefaultCacheEventLossEvery,
		KVTransferTokensPerSecond: DefaultKVTransferTokensPerSecond,
	}
}

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.KVBlocks < 1:
		return errors.New("enginemodel: pieces is below 1: give the engine at least 1 KV block")
	case c.MaxBatch < 1:
		return errors.New("enginemodel: max batch is below 1: use at least 1 request")
	case c.StepBase <= 0:
		return errors.New("enginemodel: step base is not positive: use a duration above 0")
	case c.StepPerSequence < 0:
		return errors.New("enginemodel: step per sequence is negative: use 0 or more")
	case c.PrefillTokensPerSecond <= 0:
		return errors.New("enginemodel: prefill rate is not positive: use more than 0 tokens per second")
	case c.PrefillChunk < 1:
		return errors.New("enginemodel: prefill chunk is below 1: compute at least one token per step")
	case !validRole(c.Role):
		return errors.New("enginemodel: role is unknown: use mixed, prefill or decode")
	}
	return nil
}

func validRole(r engineapi.Role) bool {
	return r == engineapi.RoleMixed || r == engineapi.RolePrefill || r == engineapi.RoleDecode
}
