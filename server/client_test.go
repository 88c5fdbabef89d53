package server_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
)

// client returns the official OpenAI client, connected to the first node, without retries.
func (system *system) client(key string, options ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{
		option.WithBaseURL("http://" + system.callerAddresses[0] + "/v1"), option.WithAPIKey(key), option.WithMaxRetries(0),
	}, options...)...)
}

func chatParams(model, prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}}
}

func completionParams(prompt string) openai.CompletionNewParams {
	return openai.CompletionNewParams{Model: model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)}}
}

func TestOfficialClientAnswers(t *testing.T) {
	system := start(t, setup{})
	client := system.client(apiKey)
	ctx := context.Background()

	whole, err := client.Chat.Completions.New(ctx, chatParams(model, prompt))
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, expected(prompt, 20))
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, int64(20))

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(model, prompt))
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		assert.Assert(t, accumulated.AddChunk(stream.Current()), "all chunks must have the same id")
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulated.Choices[0].Message.Content, expected(prompt, 20))
	assert.Equal(t, accumulated.Choices[0].FinishReason, "stop")

	text, err := client.Completions.New(ctx, completionParams(prompt))
	assert.NilError(t, err)
	assert.Equal(t, text.Choices[0].Text, engine.ResponseText(model, prompt, 0, 20))

	parts := client.Completions.NewStreaming(ctx, completionParams(prompt))
	joined := ""
	for parts.Next() {
		joined += parts.Current().Choices[0].Text
	}
	assert.NilError(t, parts.Err())
	assert.Equal(t, joined, engine.ResponseText(model, prompt, 0, 20))

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	assert.Equal(t, models.Data[0].ID, model)
}

func TestOfficialClientRefusals(t *testing.T) {
	system := start(t, setup{slots: 1, engine: []engine.Option{engine.WithTokenInterval(10*time.Millisecond, 0)}})
	cases := []struct {
		name, key, model, code string
		busy                   bool
		status                 int
		retryAfter             bool
	}{
		{name: "wrong key", key: "wrong", model: model, status: http.StatusUnauthorized, code: "invalid_api_key"},
		{name: "unknown model", key: apiKey, model: "none", status: http.StatusNotFound, code: "model_not_found"},
		{name: "too much", key: apiKey, model: model, busy: true, status: http.StatusTooManyRequests, retryAfter: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			system.t = t
			options := []option.RequestOption{}
			if test.busy {
				system.saturate(t, 8)
				options = append(options, option.WithHeader("X-Request-Timeout-Ms", "100"))
			}
			_, err := new(system.client(test.key, options...)).Chat.Completions.New(context.Background(), chatParams(test.model, prompt))
			var failure *openai.Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.StatusCode, test.status, failure.RawJSON())
			assert.Equal(t, failure.Response.Header.Get("Retry-After") != "", test.retryAfter)
			assert.Equal(t, failure.Response.Header.Get("X-Outcome"), "notRun")
			assert.Assert(t, failure.Message != "" && failure.Type != "")
			if test.code != "" {
				assert.Equal(t, failure.Code, test.code)
			}
		})
	}
}

// saturate sends long streaming requests that occupy the only slot and queue behind it, and returns
// once an engine has received one.
func (system *system) saturate(t *testing.T, requests int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range requests {
		request := system.request("/v1/chat/completions", chat("busy #len=2000", true)).WithContext(ctx)
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				<-ctx.Done()
				_ = response.Body.Close()
			}
		}()
	}
	for len(system.attempts()) == 0 {
		continue
	}
}

func TestOfficialClientSeesBrokenStreams(t *testing.T) {
	system := start(t, setup{})
	system.injectFaults(`{"cutAfterTokens":3,"cutCount":50}`, "")
	client := system.client(apiKey)
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams(model, prompt))
	count := 0
	for stream.Next() {
		count++
	}
	assert.Assert(t, count > 0)
	assert.ErrorContains(t, stream.Err(), "outcome")
}

func TestOfficialClientCancels(t *testing.T) {
	system := start(t, setup{})
	ctx, cancel := context.WithCancel(context.Background())
	client := system.client(apiKey)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(model, "zips #len=5000"))
	assert.Assert(t, stream.Next())
	cancel()
	for stream.Next() {
		continue
	}
	assert.ErrorIs(t, stream.Err(), context.Canceled)
	for attempt := range system.attempts() {
		system.awaitRecord(attempt[:len(attempt)-len(".1")], func(record engine.Record) bool { return record.Cancelled })
	}
}
