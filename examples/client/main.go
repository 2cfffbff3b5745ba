// Command client calls a node with the unmodified official OpenAI client for
// Go: it lists the models, streams a chat completion and requests the same
// completion without streaming.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func main() {
	base := flag.String("base", "http://127.0.0.1:8081/v1", "URL of a node's API for callers")
	key := flag.String("key", "example-minas-reports", "API key")
	model := flag.String("model", "drafting:assay", "model")
	flag.Parse()
	client := openai.NewClient(option.WithBaseURL(*base), option.WithAPIKey(*key))
	if err := run(context.Background(), client, *model, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "client:", err)
		os.Exit(1)
	}
}

// run makes the three calls and prints the responses. It returns an error if
// the responses with and without streaming differ.
func run(ctx context.Context, client openai.Client, model string, w io.Writer) error {
	models, err := client.Models.List(ctx)
	if err != nil {
		return fmt.Errorf("list models: %w", err)
	}
	for _, m := range models.Data {
		fmt.Fprintln(w, "model", m.ID)
	}
	params := openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Summarise hole 7")},
		MaxTokens:     openai.Int(8),
		Seed:          openai.Int(7),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	streamed := ""
	var tokens int64
	for stream.Next() {
		chunk := stream.Current()
		tokens = max(tokens, chunk.Usage.CompletionTokens)
		for _, c := range chunk.Choices {
			streamed += c.Delta.Content
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	fmt.Fprintf(w, "streamed %d tokens: %s\n", tokens, streamed)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	unstreamed, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		return fmt.Errorf("request without streaming: %w", err)
	}
	if unstreamed.Choices[0].Message.Content != streamed {
		return fmt.Errorf("the response without streaming differs from the streamed one")
	}
	fmt.Fprintln(w, "the response without streaming is the same")
	return nil
}
