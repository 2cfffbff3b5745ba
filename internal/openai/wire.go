// Package openai holds the parts of the OpenAI-compatible HTTP API that the
// system reads and writes. Fields that it does not know pass through.
package openai

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the piece of a message in one chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one alternative of an answer. Text serves /v1/completions, Delta
// streamed chats and Message whole chats.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is an answer, or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Text returns the text of the first choice, whatever the kind of answer.
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

// ModelEntry is one row of /v1/models.
type ModelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer of /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// Error is the body of a failed request. Number is the project's result code
// and Ran tells whether the request was run.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Number  int    `json:"number"`
	Ran     string `json:"ran"`
}

// ErrorBody wraps Error as the API does.
type ErrorBody struct {
	Error Error `json:"error"`
}
