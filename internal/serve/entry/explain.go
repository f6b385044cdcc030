package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"filberthook/internal/engines/engineapi"
	"filberthook/internal/serve/class"
	"filberthook/internal/serve/prefix"
	"filberthook/internal/serve/routing"
)

// PathExplain is the status path that explains where a request would run now and why: GET
// with endpoint, and optionally prompt_tokens, output_tokens, class, deadline and prompt.
// With request_id it shows the recorded history of that call instead.
const PathExplain = "/explain"

// Explanation is the response of PathExplain without request_id.
type Explanation struct {
	Host     string            `json:"host"`
	Zone     string            `json:"zone"`
	Decision *routing.Decision `json:"decision,omitempty"` // absent when no instance can take the request
	Refusal  string            `json:"refusal,omitempty"`
}

// PathRequests is the status path that lists the calls in flight.
const PathRequests = "/requests"

// serveRequests serves PathRequests.
func (n *Node) serveRequests(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.calls.Active())
}

// serveExplain serves PathExplain: the history of a call if request_id is given, else the
// decision for the described request.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("request_id"); id != "" {
		n.explainCall(w, id)
		return
	}
	req, err := n.explainRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := Explanation{Host: n.settings.Host, Zone: n.settings.Zone}
	decision, err := n.sched.Pick(req)
	var none *routing.NoCandidateError
	if errors.As(err, &none) {
		out.Refusal = none.Error()
	} else {
		out.Decision = &decision
	}
	writeJSON(w, out)
}

func (n *Node) explainCall(w http.ResponseWriter, id string) {
	c, ok := n.calls.Find(id)
	if !ok {
		http.Error(w, "the call is not remembered here: ask the entry host that took it, soon after it ended", http.StatusNotFound)
		return
	}
	writeJSON(w, c)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Default request sizes of PathExplain, in tokens.
const (
	defaultExplainPrompt = 1000
	defaultExplainOutput = 256
)

func (n *Node) explainRequest(q url.Values) (*routing.Request, error) {
	endpoint, ok := n.config.Snapshot().Endpoints[q.Get("endpoint")]
	if !ok {
		return nil, fmt.Errorf("endpoint %q is unknown: name one of `filberthook endpoint list`", q.Get("endpoint"))
	}
	req := &routing.Request{
		ID:       "explain",
		Kind:     endpoint.Kind,
		Model:    endpoint.Model,
		Adapter:  endpoint.Adapter,
		Version:  endpoint.Version,
		Prefixes: prefix.PrefixHashes(endpoint.Model, endpoint.Adapter, q.Get("prompt")),
		Explain:  true,
	}
	if endpoint.Kind == engineapi.KindService {
		req.Endpoint = endpoint.Name
	}
	var errs [4]error
	req.PromptTokens, errs[0] = intParam(q, "prompt_tokens", max(defaultExplainPrompt, prefix.CountTokens(q.Get("prompt"))))
	req.ExpectedOutput, errs[1] = intParam(q, "output_tokens", defaultExplainOutput)
	req.Class, errs[2] = classParam(q)
	req.Deadline, errs[3] = durationParam(q, "deadline", endpoint.DefaultDeadline)
	return req, errors.Join(errs[:]...)
}

func intParam(q url.Values, name string, def int) (int, error) {
	if q.Get(name) == "" {
		return def, nil
	}
	v, err := strconv.Atoi(q.Get(name))
	if err != nil || v < 0 {
		return 0, fmt.Errorf("%s %q must be a whole number from 0", name, q.Get(name))
	}
	return v, nil
}

func durationParam(q url.Values, name string, def time.Duration) (time.Duration, error) {
	if q.Get(name) == "" {
		return def, nil
	}
	v, err := time.ParseDuration(q.Get(name))
	if err != nil || v <= 0 {
		return 0, fmt.Errorf("%s %q must be a duration with a unit, such as 20s", name, q.Get(name))
	}
	return v, nil
}

func classParam(q url.Values) (class.Class, error) {
	if q.Get("class") == "" {
		return class.Summary, nil
	}
	return class.Parse(q.Get("class"))
}
