package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/engineapi"
)

// PathRuns is the path that returns a RunsReport.
const PathRuns = "/standin/runs"

// ServiceConfig describes one stand-in for a plain service.
type ServiceConfig struct {
	Identity
	Duration time.Duration // time that one call takes
	Workers  int           // concurrent calls; more are refused. 0 sets no limit
}

// RunsReport counts the runs of each idempotency key.
type RunsReport struct {
	Runs map[string]int `json:"runs"`
}

// ServiceAnswer is the body of each answer of a service to a call that runs.
// It depends only on the request and the number of the run.
type ServiceAnswer struct {
	Key          string `json:"key"`
	Path         string `json:"path"`
	BodyHash     string `json:"body_hash"`
	Confirmation string `json:"confirmation"`
	Run          int    `json:"run"` // 1 for the first run of the key
}

// StatusAnswer is the body of each answer to a status read.
type StatusAnswer struct {
	Path   string `json:"path"`
	Status string `json:"status"`
}

// ExpectedAnswer returns the right answer to the first run of a call.
func ExpectedAnswer(key, path string, body []byte) ServiceAnswer {
	hash := hexHash(string(body))
	return ServiceAnswer{Key: key, Path: path, BodyHash: hash, Confirmation: hexHash(key + "\n" + path + "\n" + hash), Run: 1}
}

// ExpectedStatus returns the right answer to a status read.
func ExpectedStatus(path string) StatusAnswer {
	return StatusAnswer{Path: path, Status: hexHash(path)}
}

func hexHash(s string) string { return strconv.FormatUint(xxhash.Sum64String(s), 16) }

// Service is a stand-in for one worker of a plain service. It is an
// http.Handler; Run announces it.
type Service struct {
	cfg      ServiceConfig
	log      *slog.Logger
	faults   *Faults
	gate     leaveGate
	ann      *announcer
	refusals refusalCounters
	ran      *metrics.Counter

	mu          sync.Mutex // guards all fields below
	incarnation uint64
	running     int
	runs        map[string]int // by key; kept across crashes, for audits
	previous    attemptAnswer
}

// attemptAnswer is an answer with its attempt, kept for CrossAnswers.
type attemptAnswer struct {
	attempt string
	answer  ServiceAnswer
}

// NewService returns a stand-in service. Its metrics are registered in set.
func NewService(cfg ServiceConfig, set *metrics.Set, log *slog.Logger) (*Service, error) {
	if cfg.Duration < 0 || cfg.Workers < 0 {
		return nil, errors.New("standin: duration or workers of a service is negative: use 0 or more")
	}
	cfg.Identity = cfg.Identity.withDefaults()
	s := &Service{
		cfg:         cfg,
		log:         log.With("instance", cfg.Instance),
		faults:      newFaults(),
		refusals:    refusalCounters{set},
		ran:         set.NewCounter("filberthook_standin_service_runs_total"),
		incarnation: cfg.Incarnation,
		runs:        make(map[string]int),
	}
	s.gate.grace = cfg.LeaveGrace
	s.ann = newAnnouncer(cfg.Identity, s.faults, set, s.log, s.announcement)
	return s, nil
}

// Faults returns the fault injection controls of the service.
func (s *Service) Faults() *Faults { return s.faults }

// Crash drops all connections until Restart.
func (s *Service) Crash() { s.faults.crash() }

// Restart starts a crashed service as a new incarnation.
func (s *Service) Restart() {
	s.mu.Lock()
	s.incarnation++
	s.mu.Unlock()
	s.faults.restore()
	s.ann.announceNow()
}

// Run announces the service until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.ann.run(ctx)
	return nil
}

// Leave announces that the service leaves and waits until its work is done.
func (s *Service) Leave(ctx context.Context) error {
	s.gate.leave()
	s.ann.announceNow()
	return s.gate.wait(ctx, s.idle)
}

// CancelLeave reverts Leave.
func (s *Service) CancelLeave() {
	s.gate.cancel()
	s.ann.announceNow()
}

// LeaveReport reports the new work that reached the service after Leave.
func (s *Service) LeaveReport() LeaveReport { return s.gate.arrivals() }

func (s *Service) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

// Runs returns how often each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Ran reports whether an idempotency key has run, at least in part.
func (s *Service) Ran(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key] > 0
}

func (s *Service) announcement() engineapi.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engineapi.Announcement{
		Instance:     s.cfg.Instance,
		Incarnation:  s.incarnation,
		Endpoint:     s.cfg.Endpoint,
		Kind:         engineapi.KindService,
		Zone:         s.cfg.Zone,
		Address:      s.cfg.Address,
		Draining:     s.gate.leaving(),
		LeaseSeconds: s.cfg.Lease.Seconds(),
		Load:         engineapi.LoadReport{Running: s.running},
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.faults.waitOrAbort(r.Context()) {
		return
	}
	s.mu.Lock()
	incarnation := s.incarnation
	s.mu.Unlock()
	w.Header().Set(engineapi.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	echo(w, r, r.Header.Get(engineapi.HeaderAttemptID))
	switch {
	case r.URL.Path == PathRuns:
		writeJSON(w, http.StatusOK, RunsReport{Runs: s.Runs()})
	case r.Method == http.MethodGet:
		s.faults.delayAnswer(r.Context())
		writeJSON(w, http.StatusOK, ExpectedStatus(r.URL.Path))
	default:
		s.serveCall(w, r)
	}
}

// serveCall runs one call and answers it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, codeBadRequest, "body was not read whole: send it again")
		return
	}
	if !s.gate.admit() {
		s.refuse(w, http.StatusServiceUnavailable, codeLeaving, "service is leaving: send it to another instance")
		return
	}
	key := r.Header.Get(engineapi.HeaderIdempotencyKey)
	run, ok := s.begin(key)
	if !ok {
		s.refuse(w, http.StatusServiceUnavailable, codeBusy, "all workers are busy: send it to another instance")
		return
	}
	defer s.end()
	answer := ExpectedAnswer(key, r.URL.Path, body)
	answer.Run = run
	s.work()
	if s.faults.takeLostRun() {
		panic(http.ErrAbortHandler)
	}
	s.faults.delayAnswer(r.Context())
	if !s.faults.waitOrAbort(context.WithoutCancel(r.Context())) {
		return
	}
	s.answer(w, r, answer)
}

// begin counts a run before its work starts.
func (s *Service) begin(key string) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Workers > 0 && s.running >= s.cfg.Workers {
		return 0, false
	}
	s.running++
	s.ran.Inc()
	if key == "" {
		return 1, true
	}
	s.runs[key]++
	return s.runs[key], true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// work takes the duration of one call. It continues when the caller disconnects, as a
// real booking service does.
func (s *Service) work() {
	timer := time.NewTimer(s.cfg.Duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.faults.crashSignal():
		panic(http.ErrAbortHandler)
	}
}

// answer writes the answer, or the previous one if CrossAnswers is active.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, answer ServiceAnswer) {
	own := attemptAnswer{attempt: r.Header.Get(engineapi.HeaderAttemptID), answer: answer}
	s.mu.Lock()
	other := s.previous
	s.previous = own
	s.mu.Unlock()
	if other.attempt != "" && s.faults.takeCross() {
		w.Header().Set(engineapi.HeaderAttemptID, other.attempt)
		writeJSON(w, http.StatusOK, other.answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Service) refuse(w http.ResponseWriter, status int, code, message string) {
	s.refusals.inc(code)
	s.log.Debug("refused", "code", code)
	refuse(w, status, code, message)
}

// VerifyAnswer returns an error if an answer does not belong to the call.
func VerifyAnswer(got ServiceAnswer, key, path string, body []byte) error {
	want := ExpectedAnswer(key, path, body)
	want.Run = got.Run
	if got != want {
		return fmt.Errorf("answer %+v belongs to another call, want %+v", got, want)
	}
	return nil
}
