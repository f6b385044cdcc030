// Package proxy answers callers: it authorizes a request, lets the scheduler
// pick an instance and passes the instance's answer on.
package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"filberthook/internal/engineapi"
	"filberthook/internal/fleet"
	"filberthook/internal/prefix"
	"filberthook/internal/request"
	"filberthook/internal/routing"

	"filberthook/internal/ident"
)

// PathServices is the path prefix of calls to plain services; the endpoint's
// name follows it.
const PathServices = "/services/"

// MaxBodyBytes is the longest request body accepted.
const MaxBodyBytes = 8 << 20

// defaultExpectedOutput is the output length, in tokens, assumed for a request
// that sets no limit.
const defaultExpectedOutput = 256

// Scheduler picks instances and is told what becomes of attempts.
type Scheduler interface {
	Pick(req *routing.Request) (routing.Decision, error)
	Started(d *routing.Decision, req *routing.Request)
	Finished(d *routing.Decision, req *routing.Request)
	ObserveLoad(instance string, incarnation uint64, load engineapi.LoadReport)
	Draining(instance string, incarnation uint64)
}

// Configuration gives the newest configuration that is in force.
type Configuration interface {
	Snapshot() *fleet.Snapshot
}

// Proxy is the handler of all caller requests.
type Proxy struct {
	config   Configuration
	sched    Scheduler
	client   *http.Client
	counters *request.Counters
}

// New returns a Proxy.
func New(config Configuration, sched Scheduler, counters *request.Counters) *Proxy {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Proxy{config: config, sched: sched, client: &http.Client{Transport: transport}, counters: counters}
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		p.refuse(w, request.Refuse(request.BodyTooLarge, "%v", err))
		return
	}
	var target routing.Request
	var refusal *request.Refusal
	if strings.HasPrefix(r.URL.Path, PathServices) {
		target, refusal = p.serviceTarget(r)
	} else {
		target, body, refusal = p.modelTarget(r, body)
	}
	if refusal != nil {
		p.refuse(w, refusal)
		return
	}
	p.forward(w, r, &target, body)
}

// modelTarget reads a completion request and replaces the endpoint's name by
// its model.
func (p *Proxy) modelTarget(r *http.Request, body []byte) (routing.Request, []byte, *request.Refusal) {
	var completion engineapi.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return routing.Request{}, nil, request.Refuse(request.InvalidRequest, "%v", err)
	}
	endpoint, refusal := p.authorize(r, completion.Model)
	if refusal != nil {
		return routing.Request{}, nil, refusal
	}
	prompt := completion.Prompt
	for _, m := range completion.Messages {
		prompt += m.Content + "\n"
	}
	completion.Model = endpoint.Model
	rewritten, err := json.Marshal(completion)
	if err != nil {
		return routing.Request{}, nil, request.Refuse(request.InvalidRequest, "%v", err)
	}
	expected := completion.MaxTokens
	if expected == 0 {
		expected = defaultExpectedOutput
	}
	return routing.Request{
		ID:             ident.New(),
		Model:          endpoint.Model,
		Adapter:        endpoint.Adapter,
		Version:        endpoint.Version,
		Kind:           engineapi.KindModel,
		Prefixes:       prefix.PrefixHashes(endpoint.Model, endpoint.Adapter, prompt),
		PromptTokens:   prefix.CountTokens(prompt),
		ExpectedOutput: expected,
	}, rewritten, nil
}

func (p *Proxy) serviceTarget(r *http.Request) (routing.Request, *request.Refusal) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, PathServices), "/")
	endpoint, refusal := p.authorize(r, name)
	if refusal != nil {
		return routing.Request{}, refusal
	}
	return routing.Request{ID: ident.New(), Endpoint: endpoint.Name, Kind: engineapi.KindService}, nil
}

// authorize checks that the caller's team may call the endpoint.
func (p *Proxy) authorize(r *http.Request, name string) (fleet.Endpoint, *request.Refusal) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	snap := p.config.Snapshot()
	_, err := snap.Authorize(key, name)
	var refused *fleet.AuthorizeError
	if !errors.As(err, &refused) {
		return snap.Endpoints[name], nil
	}
	switch refused.Reason {
	case fleet.ReasonNotApproved:
		return fleet.Endpoint{}, request.Refuse(request.TeamNotApproved, "%v", refused)
	case fleet.ReasonUnknownEndpoint:
		return fleet.Endpoint{}, request.Refuse(request.EndpointNotFound, "%v", refused)
	default:
		return fleet.Endpoint{}, request.Refuse(request.Unauthenticated, "%v", refused)
	}
}

// forward sends the request to the picked instance and passes the answer on.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, target *routing.Request, body []byte) {
	d, err := p.sched.Pick(target)
	if err != nil {
		p.refuse(w, request.Refuse(request.NoInstance, "%v", err))
		return
	}
	p.sched.Started(&d, target)
	defer p.sched.Finished(&d, target)
	out, err := p.outgoing(r, d.Address, target.ID, body)
	if err != nil {
		p.refuse(w, request.Refuse(request.InvalidRequest, "%v", err))
		return
	}
	resp, err := p.client.Do(out)
	if err != nil {
		p.refuse(w, request.Refuse(request.InstanceFailed, "instance %s: %v", d.Instance, err))
		return
	}
	defer resp.Body.Close()
	p.observe(&d, resp)
	copyAnswer(w, resp)
	p.counters.Answered()
}

func (p *Proxy) outgoing(r *http.Request, address, id string, body []byte) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s", address, r.URL.Path)
	if rest, ok := strings.CutPrefix(r.URL.Path, PathServices); ok {
		_, path, _ := strings.Cut(rest, "/")
		url = fmt.Sprintf("http://%s/%s", address, path)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	out.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	out.Header.Set(engineapi.HeaderRequestID, id)
	out.Header.Set(engineapi.HeaderAttemptID, id)
	if key := r.Header.Get(engineapi.HeaderIdempotencyKey); key != "" {
		out.Header.Set(engineapi.HeaderIdempotencyKey, key)
	}
	return out, nil
}

// observe takes the load report that came with an answer.
func (p *Proxy) observe(d *routing.Decision, resp *http.Response) {
	var load engineapi.LoadReport
	if json.Unmarshal([]byte(resp.Header.Get(engineapi.HeaderEngineLoad)), &load) == nil {
		p.sched.ObserveLoad(d.Instance, d.Incarnation, load)
	}
}

// copyAnswer passes an answer on as it arrives.
func copyAnswer(w http.ResponseWriter, resp *http.Response) {
	for _, name := range []string{"Content-Type", engineapi.HeaderRequestID, engineapi.HeaderRunDisposition} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	buf := make([]byte, 32<<10)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if err != nil {
			return
		}
	}
}

// errorBody is the body of every refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message     string              `json:"message"`
	Code        request.Code        `json:"code"`
	Disposition request.Disposition `json:"disposition"`
	Remedy      string              `json:"remedy"`
}

func (p *Proxy) refuse(w http.ResponseWriter, refusal *request.Refusal) {
	p.counters.Refused(refusal.Code)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engineapi.HeaderRunDisposition, string(refusal.Disposition))
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(max(1, int(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(refusal.Status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{
		Message:     refusal.Error(),
		Code:        refusal.Code,
		Disposition: refusal.Disposition,
		Remedy:      refusal.Remedy,
	}})
}
