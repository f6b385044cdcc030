package enginemodel

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"filberthook/internal/engines/engineapi"
)

// Lengths of answers, in tokens.
const (
	DefaultMaxTokens    = 1024 // limit when the request sets none
	shortestAnswer      = 16   // shortest answer to a prompt without a marker
	naturalLengthSpread = 128  // lengths of answers to prompts without a marker differ by less than this
)

// tokenValues is the number of different output words.
const tokenValues = 1 << 20

// outputMarker precedes the wanted length of the answer in a prompt, as in
// "[out=120]".
const outputMarker = "[out="

// Answer is the only correct answer to a prompt. It depends only on the model,
// the prompt and the limit on output tokens, so that any caller can verify an
// answer.
type Answer struct {
	seed   uint64
	length int
}

// NewAnswer returns the answer of model to prompt. A maxTokens of 0 means
// DefaultMaxTokens.
func NewAnswer(model, prompt string, maxTokens int) Answer {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	seed := d.Sum64()
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	return Answer{seed: seed, length: min(naturalLength(prompt, seed), maxTokens)}
}

// Len returns the number of output tokens.
func (a Answer) Len() int { return a.length }

// Token returns output token i, counted from 0, with its trailing space.
func (a Answer) Token(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], a.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	v := xxhash.Sum64(b[:]) % tokenValues
	return "t" + strconv.FormatUint(tokenValues+v, 16)[1:] + " "
}

// Tokens returns the whole answer.
func (a Answer) Tokens() []string {
	out := make([]string, a.length)
	for i := range out {
		out[i] = a.Token(i)
	}
	return out
}

// Token returns output token i of the answer of model to prompt.
func Token(model, prompt string, i int) string { return NewAnswer(model, prompt, 0).Token(i) }

// OutputLength returns the number of output tokens of the answer.
func OutputLength(model, prompt string, maxTokens int) int {
	return NewAnswer(model, prompt, maxTokens).Len()
}

// Expected returns all tokens of the answer.
func Expected(model, prompt string, maxTokens int) []string {
	return NewAnswer(model, prompt, maxTokens).Tokens()
}

// CountTokens returns the number of tokens of a text.
func CountTokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// Prompt returns the text that an engine prefills for a request: its prompt,
// or the contents of its messages joined by line feeds.
func Prompt(r engineapi.CompletionRequest) string {
	if r.Prompt != "" {
		return r.Prompt
	}
	contents := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

func naturalLength(prompt string, seed uint64) int {
	if n, ok := markedLength(prompt); ok {
		return n
	}
	return shortestAnswer + int(seed%naturalLengthSpread)
}

// markedLength returns the length in the last marker of the prompt.
func markedLength(prompt string) (int, bool) {
	at := strings.LastIndex(prompt, outputMarker)
	if at < 0 {
		return 0, false
	}
	digits, _, found := strings.Cut(prompt[at+len(outputMarker):], "]")
	if !found {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n > 0
}
