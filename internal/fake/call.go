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

// Call is one request of a caller.
type Call struct {
	Node   string
	APIKey string
	Method string
	Path   string
	Body   string
	// IdempotencyKey is the idempotency key.
	IdempotencyKey string
	Header         map[string]string
}

// Chat returns a streamed chat with an answer that Expected computes.
func Chat(node, key, prompt string, tokens int) Call {
	body := fmt.Sprintf(`{"model":"m","stream":true,"seed":7,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return Call{Node: node, APIKey: key, Method: http.MethodPost, Path: "/v1/chat/completions", Body: body}
}

// Expected returns the whole answer to a Chat.
func Expected(prompt string, tokens int) string {
	return standin.Text("m", "user: "+prompt, 7, tokens)
}

// SignOff returns a non-idempotent call of the plain service.
func SignOff(node, key, sample string) Call {
	return Call{
		Node: node, APIKey: key, Method: http.MethodPost, Path: "/services/records/signoffs",
		Body: fmt.Sprintf(`{"sample":%q}`, sample), IdempotencyKey: "key-" + sample,
	}
}

// Result is what a caller got.
type Result struct {
	Status int
	Header http.Header
	Body   string
	Took   time.Duration
}

// Failure returns the numbered failure, in a body or at the end of a stream.
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

// Text joins the text of a stream, and reports whether the stream is whole.
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

// Do sends the call to its node and waits for the answer.
func (s *System) Do(c Call) Result { return s.DoContext(context.Background(), c) }

// DoContext is Do for a caller who may leave.
func (s *System) DoContext(ctx context.Context, c Call) Result {
	w := httptest.NewRecorder()
	took := s.DoTo(ctx, w, c)
	return Result{Status: w.Code, Header: w.Header(), Body: w.Body.String(), Took: took}
}

// DoTo sends the call to its node, with a writer of the caller's for the
// answer, and returns how long it took.
func (s *System) DoTo(ctx context.Context, w http.ResponseWriter, c Call) time.Duration {
	m := s.Node(c.Node)
	m.activeCalls.Add(1)
	defer m.activeCalls.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	r := httptest.NewRequest(c.Method, c.Path, strings.NewReader(c.Body)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	r.Header.Set("Content-Type", "application/json")
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	for name, value := range c.Header {
		r.Header.Set(name, value)
	}
	begin := time.Now()
	m.Gateway.Handler().ServeHTTP(w, r)
	return time.Since(begin)
}

func encodeDocument(d deployment.Document) []byte {
	var out bytes.Buffer
	if err := d.Print(&out); err != nil {
		panic(err) // A Document holds nothing that JSON cannot write.
	}
	return out.Bytes()
}

// DoWithTimeout sends the call and closes the connection after a while.
func (s *System) DoWithTimeout(c Call, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	s.DoContext(ctx, c)
}
