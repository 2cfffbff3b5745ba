// Package openai holds the parts of the OpenAI-compatible HTTP API that the
// system reads and writes. The gateway forwards all other fields unchanged.
package openai

import "encoding/json"

// Message is one message of a conversation and the role of its author.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of one response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the part of a message that one chunk of a stream adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of a response. Text is set for /v1/completions,
// Delta for a streamed chat completion and Message for one that is not streamed.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Error is set in a chunk with which a server ends a stream that failed.
	Error json.RawMessage `json:"error,omitempty"`
}

// HasFailed reports whether the chunk says that its stream has failed.
func (c Completion) HasFailed() bool { return len(c.Error) > 0 && string(c.Error) != "null" }

// Text returns the text of the first choice, whichever of its fields holds it.
func (c Completion) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	first := c.Choices[0]
	switch {
	case first.Delta != nil:
		return first.Delta.Content
	case first.Message != nil:
		return first.Message.Content
	case first.Text != nil:
		return *first.Text
	}
	return ""
}

// ModelEntry is one model in the response of /v1/models.
type ModelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response of /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// Error describes a failed request. Number is this system's result code and Ran
// says whether the request was run.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Number  int    `json:"number"`
	Ran     string `json:"ran"`
}

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error Error `json:"error"`
}
