package deployment_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"filberthook/internal/engines/enginemodel"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestOpenAIClientLibrary calls an entry host with the published client library of the
// OpenAI API.
func TestOpenAIClientLibrary(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, key := start(t, ctx, 1)
	client := openai.NewClient(
		option.WithBaseURL("http://"+d.Entries[0].Callers+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
	const prompt = "what does passenger 17 need [out=12]"
	params := openai.ChatCompletionNewParams{
		Model:     endpoint,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(30),
	}
	want := strings.Join(enginemodel.Expected(model, prompt, 30), "")

	var whole *openai.ChatCompletion
	await(t, ctx, "a complete answer", func() bool {
		var err error
		whole, err = client.Chat.Completions.New(ctx, params)
		return err == nil
	})
	if got := whole.Choices[0].Message.Content; got != want || whole.Usage.CompletionTokens != 12 {
		t.Errorf("whole answer %q with %d tokens, want %q with 12", got, whole.Usage.CompletionTokens, want)
	}

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var streamed strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			streamed.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil || streamed.String() != want {
		t.Errorf("streamed %q, %v, want %q", streamed.String(), err, want)
	}

	params.Model = "unknown"
	_, err := client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound || refused.Code != "endpoint_not_found" {
		t.Errorf("got %v, want the refusal endpoint_not_found", err)
	}
}
