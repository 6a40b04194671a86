// Package compat tests the callers' HTTP API with published client libraries.
package compat

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/apricotway/apricotway/cmd/internal/daemon"
	"github.com/apricotway/apricotway/cmd/internal/standin"
)

// startDev starts the daemon in development mode and returns the base URL of its callers' API.
func startDev(t *testing.T) string {
	t.Helper()

	dev, err := daemon.StartDev(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() {
		if err := dev.Stop(context.Background()); err != nil {
			t.Errorf("stop the daemon: %v", err)
		}
	})

	return "http://" + dev.Daemon().Callers().String()
}

// answerTo returns the answer that the stand-in engines generate for a prompt, with the given number of tokens.
func answerTo(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		text.WriteString(standin.TokenText(prompt, index))
	}

	return text.String()
}

// TestOpenAIClient guards against incompatibility with existing clients. The published OpenAI Go client must receive
// whole answers, streamed and not, the list of models, and the code of a refusal.
func TestOpenAIClient(t *testing.T) {
	const (
		tokens = 12
		prompt = "<|user|>\nIs the lining worn?\n<|assistant|>\n"
	)

	url := startDev(t)
	client := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey(daemon.DevToken), option.WithMaxRetries(0))
	chat := openai.ChatCompletionNewParams{
		Model:               "shop-model",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Is the lining worn?")},
		MaxCompletionTokens: openai.Int(tokens),
	}
	want := answerTo(prompt, tokens)

	whole, err := client.Chat.Completions.New(t.Context(), chat)
	if err != nil {
		t.Fatal(err)
	}

	if got := whole.Choices[0].Message.Content; got != want {
		t.Errorf("got answer %q, want %q", got, want)
	}

	if got := whole.Usage.CompletionTokens; got != tokens {
		t.Errorf("got %d completion tokens, want %d", got, tokens)
	}

	stream := client.Chat.Completions.NewStreaming(t.Context(), chat)
	accumulator := openai.ChatCompletionAccumulator{}

	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}

	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}

	if got := accumulator.Choices[0].Message.Content; got != want {
		t.Errorf("got streamed answer %q, want %q", got, want)
	}

	models, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if got := len(models.Data); got != 1 || models.Data[0].ID != "shop-model" {
		t.Errorf("got models %v, want only shop-model", models.Data)
	}

	chat.Model = "nothing"
	_, err = client.Chat.Completions.New(t.Context(), chat)

	var refusal *openai.Error
	if !errors.As(err, &refusal) || refusal.Code != "serviceNotFound" {
		t.Errorf("got %v, want the code serviceNotFound", err)
	}
}
