package loadgen

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"filberthook/internal/bench/standin"
	"filberthook/internal/engines/engineapi"
	"filberthook/internal/engines/enginemodel"
)

// Limits of a caller's connections and of the answers that it reads.
const (
	maxIdleConnections = 4096
	maxAnswerBytes     = 64 << 20
	dialTimeout        = 2 * time.Second
)

// Event names and headers of a streamed answer.
const (
	streamEnd         = "[DONE]" // data of the last event
	streamError       = "error"  // type of the event that ends a stream early
	headerLastEventID = "Last-Event-ID"
	headerClass       = "X-Priority-Class"
)

// pathRequests is the path prefix under which callers fetch the result of an
// earlier call.
const pathRequests = "/v1/requests/"

// Caller calls one entry host or endpoint on behalf of a calling team.
type Caller struct {
	address string
	teamKey string
	client  *http.Client
}

// NewCaller returns a caller of the host at address, an IP:port. With an empty
// team key it sends no Authorization header.
func NewCaller(address, teamKey string) *Caller {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
	}
	return &Caller{address: address, teamKey: teamKey, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Chat is one chat completion call.
type Chat struct {
	Model     string // model name that is sent: an endpoint or a model
	Engine    string // model that answers; empty means Model
	Prompt    string
	MaxTokens int
	Stream    bool
	Key       string // idempotency key; empty sends none
	Deadline  time.Duration
	Class     string // priority class at an entry host; empty sends none

	// ResumeFrom is the number of tokens already received from an earlier stream
	// with the same key; the answer contains only the remaining ones.
	ResumeFrom int
}

// Chat sends a chat completion and verifies its answer.
func (c *Caller) Chat(ctx context.Context, chat Chat) Result {
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     chat.Model,
		Messages:  []engineapi.Message{{Role: "user", Content: chat.Prompt}},
		MaxTokens: chat.MaxTokens,
		Stream:    chat.Stream,
	})
	if err != nil {
		return Result{Outcome: Broken, Err: err}
	}
	req, err := c.newRequest(ctx, http.MethodPost, engineapi.PathChatCompletions, chat.Key, body)
	if err != nil {
		return Result{Outcome: Broken, Err: err}
	}
	setIntHeader(req, engineapi.HeaderDeadline, chat.Deadline.Milliseconds())
	setIntHeader(req, headerLastEventID, int64(chat.ResumeFrom))
	if chat.Class != "" {
		req.Header.Set(headerClass, chat.Class)
	}
	answer := enginemodel.NewAnswer(cmp.Or(chat.Engine, chat.Model), chat.Prompt, chat.MaxTokens)
	return c.send(req, func(r *Result, resp *http.Response, start time.Time) error {
		if chat.Stream {
			r.Tokens, r.Resumed = chat.ResumeFrom, chat.ResumeFrom
			return readStream(r, resp.Body, answer, start)
		}
		return readCompletion(r, resp.Body, answer, start)
	})
}

// Call sends a call to a plain service and verifies its answer. The transport
// never retries it.
func (c *Caller) Call(ctx context.Context, path, key string, body []byte) Result {
	return c.callService(ctx, path, path, key, body)
}

// CallThrough sends a call to a plain service through an entry host, which
// strips the path prefix before it forwards the call.
func (c *Caller) CallThrough(ctx context.Context, prefix, path, key string, body []byte) Result {
	return c.callService(ctx, prefix+path, path, key, body)
}

func (c *Caller) callService(ctx context.Context, sentPath, path, key string, body []byte) Result {
	req, err := c.newRequest(ctx, http.MethodPost, sentPath, key, body)
	if err != nil {
		return Result{Outcome: Broken, Err: err}
	}
	return c.send(req, verifyService(path, key, body))
}

// verifyService returns a function that verifies a plain service's answer.
func verifyService(path, key string, body []byte) func(*Result, *http.Response, time.Time) error {
	return func(r *Result, resp *http.Response, start time.Time) error {
		var got standin.ServiceAnswer
		if err := readJSON(r, resp.Body, start, &got); err != nil {
			return err
		}
		if err := standin.VerifyAnswer(got, key, path, body); err != nil {
			return &WrongAnswerError{err.Error()}
		}
		return nil
	}
}

// FetchResult fetches the result of an earlier call to a plain service from an
// entry host, and verifies the answer if there is one.
func (c *Caller) FetchResult(ctx context.Context, endpoint, path, key string, body []byte) Result {
	req, err := c.newRequest(ctx, http.MethodGet, pathRequests+endpoint+"/"+key, "", nil)
	if err != nil {
		return Result{Outcome: Broken, Err: err}
	}
	return c.send(req, verifyService(path, key, body))
}

// Status sends a status read to a plain service and verifies its answer.
func (c *Caller) Status(ctx context.Context, prefix, path string) Result {
	req, err := c.newRequest(ctx, http.MethodGet, prefix+path, "", nil)
	if err != nil {
		return Result{Outcome: Broken, Err: err}
	}
	return c.send(req, func(r *Result, resp *http.Response, start time.Time) error {
		var got standin.StatusAnswer
		if err := readJSON(r, resp.Body, start, &got); err != nil {
			return err
		}
		if want := standin.ExpectedStatus(path); got != want {
			return &WrongAnswerError{fmt.Sprintf("got %+v, want %+v", got, want)}
		}
		return nil
	})
}

// newRequest builds a request whose body the transport cannot resend.
func (c *Caller) newRequest(ctx context.Context, method, path, key string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, reader)
	if err != nil {
		return nil, fmt.Errorf("address %q or path %q: %w", c.address, path, err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	if c.teamKey != "" {
		req.Header.Set("Authorization", "Bearer "+c.teamKey)
	}
	if key != "" {
		req.Header.Set(engineapi.HeaderIdempotencyKey, key)
	}
	return req, nil
}

// send sends the request and passes a successful response to read, which
// verifies it.
func (c *Caller) send(req *http.Request, read func(*Result, *http.Response, time.Time) error) Result {
	r := Result{Key: req.Header.Get(engineapi.HeaderIdempotencyKey)}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		r.fail(err)
		return r
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	if key := resp.Header.Get(engineapi.HeaderIdempotencyKey); key != "" {
		r.Key = key
	}
	if resp.StatusCode != http.StatusOK {
		r.fail(parseRefusal(resp))
	} else if err := read(&r, resp, start); err != nil {
		r.fail(err)
	} else {
		r.Outcome = Whole
	}
	r.Total = time.Since(start)
	return r
}

// readStream verifies a streamed chat token by token.
func readStream(r *Result, body io.Reader, answer enginemodel.Answer, start time.Time) error {
	finished := false
	for event, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return err
		case event.Type == streamError:
			return parseErrorEvent(r.Status, []byte(event.Data))
		case event.Data == streamEnd:
			return checkEnd(r, answer, finished)
		}
		done, err := readChunk(r, event, answer, start)
		if err != nil {
			return err
		}
		finished = finished || done
	}
	return errStreamTruncated
}

// readChunk verifies one chunk and reports whether it contains the finish reason.
func readChunk(r *Result, event sse.Event, answer enginemodel.Answer, start time.Time) (finished bool, err error) {
	var chunk engineapi.Completion
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return false, fmt.Errorf("cannot parse chunk %q: %w", event.Data, errStreamTruncated)
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		return true, nil
	}
	if choice.Delta == nil || choice.Delta.Content == "" {
		return false, nil
	}
	r.recordToken(time.Since(start))
	if want := answer.Token(r.Tokens); r.Tokens >= answer.Len() || choice.Delta.Content != want {
		return false, &WrongAnswerError{fmt.Sprintf("token %d of %d is %q, want %q", r.Tokens, answer.Len(), choice.Delta.Content, want)}
	}
	r.Tokens++
	if event.LastEventID != "" && event.LastEventID != strconv.Itoa(r.Tokens) {
		return false, &WrongAnswerError{fmt.Sprintf("token %d has the event id %s", r.Tokens, event.LastEventID)}
	}
	return false, nil
}

func checkEnd(r *Result, answer enginemodel.Answer, finished bool) error {
	if r.Tokens == answer.Len() && finished {
		return nil
	}
	return &WrongAnswerError{fmt.Sprintf("stream ended normally with %d of %d tokens, finish reason sent: %v", r.Tokens, answer.Len(), finished)}
}

func readCompletion(r *Result, body io.Reader, answer enginemodel.Answer, start time.Time) error {
	var got engineapi.Completion
	if err := readJSON(r, body, start, &got); err != nil {
		return err
	}
	if len(got.Choices) != 1 || got.Choices[0].Message == nil {
		return &WrongAnswerError{"no message in the answer"}
	}
	rest := got.Choices[0].Message.Content
	for i := range answer.Len() {
		token := answer.Token(i)
		if len(rest) < len(token) || rest[:len(token)] != token {
			return &WrongAnswerError{fmt.Sprintf("token %d of %d differs", i, answer.Len())}
		}
		rest = rest[len(token):]
	}
	if rest != "" {
		return &WrongAnswerError{fmt.Sprintf("%d bytes after the last token", len(rest))}
	}
	r.Tokens = answer.Len()
	return nil
}

func readJSON(r *Result, body io.Reader, start time.Time, into any) error {
	err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(into)
	r.FirstToken = time.Since(start)
	return err
}

func setIntHeader(req *http.Request, name string, n int64) {
	if n != 0 {
		req.Header.Set(name, strconv.FormatInt(n, 10))
	}
}
