package gateway

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
)

const (
	// promptPrefixLength is how much of a single prompt counts for affinity, and
	// systemPrefixLength how much of a leading message, in bytes.
	promptPrefixLength = 64
	systemPrefixLength = 1024
)

// completion is a model request, read as far as routing needs it.
type completion struct {
	path        string
	target      deployment.Target
	affinityKey uint64
	stream      bool
	// spliceable is set when a broken stream can go on from another try.
	spliceable bool
	body       []byte
}

// completionBody are the fields of a request's body that routing reads.
type completionBody struct {
	Model    string              `json:"model"`
	Stream   bool                `json:"stream"`
	N        int                 `json:"n"`
	Seed     *int64              `json:"seed"`
	Messages []completionMessage `json:"messages"`
	Prompt   json.RawMessage     `json:"prompt"`
	// Answers to requests with these fields carry more than text.
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Logprobs  json.RawMessage `json:"logprobs"`
}

// isTextOnly reports whether the answer will be text alone, so that a broken
// stream can be compared with its replay.
func (w completionBody) isTextOnly() bool {
	return w.N <= 1 && len(w.Tools) == 0 && len(w.Functions) == 0 && len(w.Logprobs) == 0
}

type completionMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (s *Server) readCompletion(r *http.Request, c *call) (*completion, *ring.Failure) {
	var body completionBody
	if err := json.Unmarshal(c.body, &body); err != nil {
		return nil, ring.Fail(ring.CodeBadBody, "the body is not a JSON object of this API: %s", describeBodyError(err))
	}
	target, ok := c.configuration.Target(body.Model)
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
			return nil, ring.Fail(ring.CodeBadBody, "the body is not a JSON object of this API")
		}
		out.body = seeded
	}
	return out, nil
}

// describeBodyError names what is wrong with a body without repeating any of it.
func describeBodyError(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok {
		return "field " + strconv.Quote(t.Field) + " has a wrong type"
	}
	return "it cannot be parsed"
}

// withSeed adds a seed, so that a replay of a broken stream samples alike.
// Fields that this system does not know stay as they are.
func withSeed(body []byte, id string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	seed := int64(xxhash.Sum64String(id) >> 33)
	fields["seed"] = json.RawMessage(strconv.FormatInt(seed, 10))
	return json.Marshal(fields)
}

// hashPrefix hashes what the request likely shares with others.
func hashPrefix(body completionBody) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(body.Model)
	var sep [8]byte
	binary.LittleEndian.PutUint64(sep[:], uint64(len(body.Model)))
	_, _ = h.Write(sep[:])
	switch {
	case len(body.Messages) > 1:
		_, _ = h.Write(truncate(body.Messages[0].Content, systemPrefixLength))
	case len(body.Messages) == 1:
		_, _ = h.Write(truncate(body.Messages[0].Content, promptPrefixLength))
	default:
		_, _ = h.Write(truncate(body.Prompt, promptPrefixLength))
	}
	return h.Sum64()
}

func truncate(b []byte, n int) []byte { return b[:min(len(b), n)] }

// complete serves the model requests.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, c *call) {
	q, failure := s.readCompletion(r, c)
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	key, failure := idempotencyKey(r)
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	ask := AcquireRequest{Workspace: c.caller.Workspace, Priority: c.caller.Application.Priority, Target: &q.target, AffinityKey: q.affinityKey, Deadline: c.deadline}
	grant, failure := s.acquire(r, c, ask)
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	s.budget.RecordRequest(time.Now())
	if !q.stream {
		// The first token of a whole answer is not seen; the request does not
		// count as waiting for it.
		grant.NoteFirstToken()
	}
	if key != "" {
		defer grant.Release()
		s.completeNonIdempotent(w, r, c, q, grant, key)
		return
	}
	s.completeIdempotent(w, r, c, q, grant)
}

// newRequest builds the request of one try.
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

// decodeChunk returns the text of a chunk and whether it is one.
func decodeChunk(data []byte) (openai.Completion, bool) {
	var c openai.Completion
	if json.Unmarshal(data, &c) != nil {
		return c, false
	}
	return c, true
}
