package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/openai"
	standin "eelgrassring.dev/internal/standin/engine"
)

// Call is one HTTP request of a caller to a node.
type Call struct {
	// Node is the name of the node that gets the request.
	Node   string
	APIKey string
	Method string
	Path   string
	Body   string
	// IdempotencyKey is sent in the Idempotency-Key header, unless empty.
	IdempotencyKey string
	Header         map[string]string
}

// Chat returns a streamed chat request with a fixed model and seed, so that
// ExpectedText can compute the text of its response. The response has the given
// number of tokens.
func Chat(node, key, prompt string, tokens int) Call {
	body := fmt.Sprintf(`{"model":"m","stream":true,"seed":7,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return Call{Node: node, APIKey: key, Method: http.MethodPost, Path: "/v1/chat/completions", Body: body}
}

// ExpectedText returns the complete text of the response to the request that
// Chat returns for the same arguments.
func ExpectedText(prompt string, tokens int) string {
	return standin.Text("m", "user: "+prompt, 7, tokens)
}

// SignOff returns a request to sign off a laboratory sample. It is
// non-idempotent; its idempotency key is derived from the sample.
func SignOff(node, key, sample string) Call {
	return Call{
		Node: node, APIKey: key, Method: http.MethodPost, Path: "/services/records/signoffs",
		Body: fmt.Sprintf(`{"sample":%q}`, sample), IdempotencyKey: "key-" + sample,
	}
}

// Result is the response that a caller received. Took is the time from sending
// the request to the end of the response.
type Result struct {
	Status int
	Header http.Header
	Body   string
	Took   time.Duration
}

// Failure returns the error in the body of a response or in the last event of
// its stream. It reports false if there is no error with a result code.
func (r Result) Failure() (openai.Error, bool) {
	text := r.Body
	if i := strings.LastIndex(text, `data: {"error"`); i >= 0 {
		text = strings.TrimPrefix(text[i:], "data: ")
	}
	var body openai.ErrorBody
	if json.Unmarshal([]byte(strings.TrimSpace(text)), &body) != nil || body.Error.Number == 0 {
		return openai.Error{}, false
	}
	return body.Error, true
}

// Text returns the joined text of a stream and reports whether the stream ended
// with [DONE].
func (r Result) Text() (string, bool) {
	var out strings.Builder
	for _, line := range strings.Split(r.Body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out.String(), true
		}
		var c openai.Completion
		if json.Unmarshal([]byte(data), &c) == nil {
			out.WriteString(c.Text())
		}
	}
	return out.String(), false
}

// Do sends the call to its node and waits for the response.
func (s *System) Do(c Call) Result { return s.DoContext(context.Background(), c) }

// DoContext is like Do; when the context ends, the caller's connection is
// closed.
func (s *System) DoContext(ctx context.Context, c Call) Result {
	w := httptest.NewRecorder()
	took := s.DoTo(ctx, w, c)
	return Result{Status: w.Code, Header: w.Header(), Body: w.Body.String(), Took: took}
}

// DoTo sends the call to its node, which writes the response to w, and returns
// how long the call took.
func (s *System) DoTo(ctx context.Context, w http.ResponseWriter, c Call) time.Duration {
	node := s.Node(c.Node)
	node.activeCalls.Add(1)
	defer node.activeCalls.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(node.ctx, cancel)()
	r := httptest.NewRequest(c.Method, c.Path, strings.NewReader(c.Body)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	for name, value := range c.Header {
		r.Header.Set(name, value)
	}
	start := time.Now()
	node.Gateway.Handler().ServeHTTP(w, r)
	return time.Since(start)
}

// encodeDocument returns a configuration document as JSON, the form that
// catalog.Apply accepts.
func encodeDocument(d deployment.Document) []byte {
	var out bytes.Buffer
	if err := d.Print(&out); err != nil {
		panic(err) // A Document holds nothing that JSON cannot write.
	}
	return out.Bytes()
}

// DoWithTimeout sends the call and closes the connection after the timeout.
func (s *System) DoWithTimeout(c Call, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.DoContext(ctx, c)
}
