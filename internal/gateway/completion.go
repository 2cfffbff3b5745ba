package gateway

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
)

const (
	// The affinity key covers the first promptPrefixLength bytes of a prompt or
	// of the only message, or the first systemPrefixLength bytes of the first of
	// several messages.
	promptPrefixLength = 64
	systemPrefixLength = 1024
	// maxListedFields bounds the memory for a list of the fields of a body.
	maxListedFields = 10000
)

// completion is a request to a model with the fields that routing needs.
type completion struct {
	path   string
	target deployment.Target
	// affinityKey is the hash of the prompt's prefix, by which groups are ranked.
	affinityKey uint64
	// stream is set if the caller wants the response as an event stream.
	stream bool
	// spliceable is set while another attempt could continue the stream if it broke.
	spliceable bool
	// body is the caller's body, with a seed added if it had none.
	body []byte
}

// completionBody holds the fields of a request body that routing reads. It keeps no more of
// them than routing needs, however many a caller sends.
type completionBody struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	N        int               `json:"n"`
	Seed     *int64            `json:"seed"`
	Messages completionContent `json:"messages"`
	Prompt   jsonPrefix        `json:"prompt"`
	// Responses to requests with these fields carry more than text.
	Tools     jsonPresence `json:"tools"`
	Functions jsonPresence `json:"functions"`
	Logprobs  jsonPresence `json:"logprobs"`
}

// isTextOnly reports whether the response will be a single text, so that the
// replay of a broken stream can be compared with what was sent.
func (b completionBody) isTextOnly() bool {
	return b.N <= 1 && !bool(b.Tools) && !bool(b.Functions) && !bool(b.Logprobs)
}

// completionMessage is a chat message of a request body.
type completionMessage struct {
	Role    string     `json:"role"`
	Content jsonPrefix `json:"content"`
}

// completionContent is a list of chat messages, of which only the first one is kept.
type completionContent struct {
	first completionMessage
	count int
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *completionContent) UnmarshalJSON(data []byte) error {
	var first [1]completionMessage
	if err := json.Unmarshal(data, &first); err != nil {
		return inMessages(err)
	}
	var all []checkedMessage // Elements without a size: the list takes no memory.
	if err := json.Unmarshal(data, &all); err != nil {
		return inMessages(err)
	}
	c.first, c.count = first[0], len(all)
	return nil
}

// inMessages adds the field to the path of a type error within the messages.
func inMessages(err error) error {
	if typeError, ok := err.(*json.UnmarshalTypeError); ok {
		typeError.Field = strings.TrimSuffix("messages."+typeError.Field, ".")
	}
	return err
}

// checkedMessage checks the types of a chat message and keeps nothing.
type checkedMessage struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*checkedMessage) UnmarshalJSON(data []byte) error {
	if len(data) <= len("{}") {
		if data[0] != '{' {
			return &json.UnmarshalTypeError{Value: "value", Type: reflect.TypeFor[completionMessage]()}
		}
		return nil
	}
	return json.Unmarshal(data, &completionMessage{})
}

// jsonPrefix is the beginning of a JSON value, of at most systemPrefixLength bytes.
type jsonPrefix []byte

// UnmarshalJSON implements json.Unmarshaler.
func (p *jsonPrefix) UnmarshalJSON(data []byte) error {
	*p = bytes.Clone(truncate(data, systemPrefixLength))
	return nil
}

// jsonPresence tells whether a JSON object has a field.
type jsonPresence bool

// UnmarshalJSON implements json.Unmarshaler.
func (p *jsonPresence) UnmarshalJSON([]byte) error {
	*p = true
	return nil
}

// readCompletion decodes the call's body as a model request, and returns a failure if
// it is invalid or the application may not use the model.
func (s *Server) readCompletion(r *http.Request, c *call) (*completion, *ring.Failure) {
	var body completionBody
	if err := json.Unmarshal(c.body, &body); err != nil {
		return nil, ring.Fail(ring.CodeBadBody, "the body is not a valid JSON request of this API: %s", describeBodyError(err))
	}
	target, ok := c.configuration.ResolveTarget(body.Model)
	if !ok {
		return nil, ring.Fail(ring.CodeUnknownModel, "no model %q", body.Model)
	}
	if !c.caller.Application.MayUse(target.Model) {
		return nil, ring.Fail(ring.CodeNotAllowed, "application %s may not use model %q", c.caller.Application.Name, target.Model)
	}
	out := &completion{
		path: r.URL.Path, target: target, stream: body.Stream, spliceable: body.isTextOnly(),
		affinityKey: hashPrefix(body), body: c.body,
	}
	if body.Seed == nil {
		seeded, err := withSeed(c.body, c.id)
		if err != nil {
			return nil, ring.Fail(ring.CodeBadBody, "the body is not a valid JSON request of this API")
		}
		out.body = seeded
	}
	return out, nil
}

// describeBodyError describes a JSON error without quoting the body.
func describeBodyError(err error) string {
	if typeError, ok := err.(*json.UnmarshalTypeError); ok {
		return "field " + strconv.Quote(typeError.Field) + " has the wrong type"
	}
	return "it cannot be parsed"
}

// withSeed returns the JSON body with a seed derived from the request ID, so that a
// replay of a broken stream samples the same text. Unknown fields are preserved. In a body
// that may have more than maxListedFields fields, the seed is put in front of the others.
func withSeed(body []byte, id string) ([]byte, error) {
	seed := int64(xxhash.Sum64String(id) >> 33)
	if bytes.Count(body, []byte{','}) > maxListedFields {
		start := bytes.IndexByte(body, '{') + 1
		return slices.Concat(body[:start], []byte(`"seed":`), strconv.AppendInt(nil, seed, 10), []byte{','}, body[start:]), nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["seed"] = json.RawMessage(strconv.FormatInt(seed, 10))
	return json.Marshal(fields)
}

// hashPrefix hashes the model and the prefix of the prompt. Requests with the same hash
// can likely reuse each other's prefix cache.
func hashPrefix(body completionBody) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(body.Model)
	var sep [8]byte
	binary.LittleEndian.PutUint64(sep[:], uint64(len(body.Model)))
	_, _ = h.Write(sep[:])
	switch {
	case body.Messages.count > 1:
		_, _ = h.Write(body.Messages.first.Content)
	case body.Messages.count == 1:
		_, _ = h.Write(truncate(body.Messages.first.Content, promptPrefixLength))
	default:
		_, _ = h.Write(truncate(body.Prompt, promptPrefixLength))
	}
	return h.Sum64()
}

// truncate returns at most the first n bytes of b.
func truncate(b []byte, n int) []byte { return b[:min(len(b), n)] }

// serveCompletion serves a chat or text completion request to a model.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, c *call) {
	q, failure := s.readCompletion(r, c)
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	key, failure := idempotencyKey(r)
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	if failure := s.awaitVerdict(r.Context(), c, q); failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	request := AcquireRequest{Workspace: c.caller.Workspace, Priority: c.caller.Application.Priority, Target: &q.target, AffinityKey: q.affinityKey, Deadline: c.deadline}
	grant, failure := s.acquirePermitted(r, c, request)
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	s.budget.RecordRequest(time.Now())
	if !q.stream {
		// The first token of a response that is not streamed cannot be observed,
		// so the request must not count as waiting for it.
		grant.NotifyFirstToken()
	}
	if key != "" {
		defer grant.Release()
		s.serveNonIdempotent(w, r, c, q, grant, key)
		return
	}
	s.serveIdempotent(w, r, c, q, grant)
}

// newRequest builds the HTTP request of one attempt. An offset above 0 asks the
// backend server to resume the stream after that many tokens.
func (q *completion) newRequest(c *call, route node.Route, offset int) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+route.Address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderEpoch, strconv.FormatUint(uint64(route.Epoch), 10))
	req.Header.Set(engine.HeaderRequest, c.id)
	req.Header.Set(engine.HeaderPriority, string(c.caller.Application.Priority))
	if offset > 0 {
		req.Header.Set(engine.HeaderOffset, strconv.Itoa(offset))
	}
	return req, nil
}

// decodeChunk decodes a chunk of a completion stream. It returns false if the chunk is
// not valid JSON.
func decodeChunk(data []byte) (openai.Completion, bool) {
	var c openai.Completion
	if json.Unmarshal(data, &c) != nil {
		return c, false
	}
	return c, true
}
