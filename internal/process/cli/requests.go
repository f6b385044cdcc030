package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/network/httpanswer"
)

// Paths at the status address of an entry host.
const (
	requestsPath = "/requests"
	explainPath  = "/explain"
)

// maxAnswerBytes limits the answer read from an entry host.
const maxAnswerBytes = 16 << 20

// maxControlAnswerBytes limits the answer of a control host. Backups may have operator.MaxRequestBytes to be restored,
// and differences are listed with what was before.
const maxControlAnswerBytes = 64 << 20

// addRequests adds the commands that query an entry host about calls.
func (a *app) addRequests(parser *kingpin.Application) {
	requests := parser.Command("requests", "Show the calls that an entry host handles now.")
	entry := requests.Flag("entry", "Status address of the entry host.").Envar("FILBERTHOOK_ENTRY").Required().String()
	a.command(requests, func(ctx context.Context) error { return a.queryEntry(ctx, *entry, requestsPath, nil) })

	a.addExplain(parser)
}

// addExplain adds the command that shows what an entry host decided for a call,
// or would decide for a request now.
func (a *app) addExplain(parser *kingpin.Application) {
	explain := parser.Command("explain", "Show what an entry host decided for a call, or with --endpoint what it would decide now, and why.")
	entry := explain.Flag("entry", "Status address of the entry host.").Envar("FILBERTHOOK_ENTRY").Required().String()
	id := explain.Arg("request-id", "Request id of the call, from the answer's X-Request-Id.").String()
	query := map[string]*string{
		"endpoint":      explain.Flag("endpoint", "Endpoint of the request.").String(),
		"prompt_tokens": explain.Flag("prompt-tokens", "Length of the prompt.").String(),
		"output_tokens": explain.Flag("output-tokens", "Expected length of the answer.").String(),
		"class":         explain.Flag("class", "Class of the request.").String(),
		"deadline":      explain.Flag("deadline", "Deadline with its unit, such as 20s.").String(),
	}
	a.command(explain, func(ctx context.Context) error {
		values := url.Values{}
		for name, value := range query {
			if *value != "" {
				values.Set(name, *value)
			}
		}
		if (*id == "") == (values.Get("endpoint") == "") {
			return usage("name either a request id or --endpoint")
		}
		if *id != "" {
			values = url.Values{"request_id": {*id}}
		}
		return a.queryEntry(ctx, *entry, explainPath, values)
	})
}

// queryEntry requests a path of an entry host and prints the JSON answer.
func (a *app) queryEntry(ctx context.Context, address, path string, query url.Values) error {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return usage("%w; correct --entry", err)
	}
	resp, err := httpanswer.NewClient(a.options.timeout).Do(req)
	if err != nil {
		return &noAnswerError{names: []string{address}, err: err}
	}
	defer resp.Body.Close()
	body, err := httpanswer.ReadBody(resp.Body, resp.ContentLength, maxAnswerBytes, nil)
	if err != nil {
		return &noAnswerError{names: []string{address}, err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return usage("the entry host answered %s: %s; check the request id and --entry", resp.Status, body)
	}
	var v any
	if err := json.Unmarshal(body, &v); err != nil {
		return fmt.Errorf("the entry host's answer is not JSON: %w; check --entry", err)
	}
	return a.printJSON(v)
}
