package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/openai"
)

const (
	// defaultTokens is the length of a response to a request without a limit.
	defaultTokens = 16
	// maxPrefixLength bounds the part of a prompt that is a cache key, in bytes.
	maxPrefixLength = 64
	// maxCacheEntries bounds the prefixes in the cache.
	maxCacheEntries = 64
)

// Request holds the fields of a request that the simulated engine reads.
type Request struct {
	Model               string           `json:"model"`
	Messages            []openai.Message `json:"messages"`
	Prompt              string           `json:"prompt"`
	Stream              bool             `json:"stream"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Seed                int64            `json:"seed"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// PromptText returns the text that the engine generates from: the messages of a
// chat joined by newlines, or the prompt of a completion.
func (r Request) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.Role + ": " + m.Content
	}
	return strings.Join(parts, "\n")
}

// Tokens returns how many tokens the response to the request has.
func (r Request) Tokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

// serveChat serves POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) { s.serveGeneration(w, r, true) }

// serveCompletion serves POST /v1/completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveGeneration(w, r, false)
}

// serveGeneration serves a chat or a completion request. It refuses the request
// with 503 unless this server is the head of a complete replica (one without a
// missing member). Otherwise it waits for a slot and writes the response.
func (s *Server) serveGeneration(w http.ResponseWriter, r *http.Request, chat bool) {
	var body Request
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	accepted := s.canServe(r)
	epoch := s.status.Epoch
	if !accepted {
		s.counters.Refused++
	} else {
		s.counters.Requests++
		s.waiting++
	}
	s.mu.Unlock()
	if !accepted {
		w.Header().Set(engine.HeaderRan, "no")
		http.Error(w, "not the head of a complete replica with this epoch", http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	g := generation{server: s, body: body, chat: chat, epoch: epoch, id: r.Header.Get(engine.HeaderRequest)}
	g.offset, _ = strconv.Atoi(r.Header.Get(engine.HeaderOffset))
	g.generateTokens(r.Context(), w)
}

// acquireSlot waits until fewer requests run than the order's slots allow; it
// reports false if the context ended first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	for {
		s.mu.Lock()
		if s.running < max(s.slots, 1) {
			s.waiting--
			s.running++
			s.mu.Unlock()
			return true
		}
		freed := s.slotFreed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.waiting--
			s.counters.Cancelled++
			s.mu.Unlock()
			return false
		case <-freed:
		}
	}
}

// releaseSlot ends a running request and wakes the requests that wait for a
// slot.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// startPrefill puts the prefix of the prompt into the cache and returns the
// time to the first token, which is shorter if the prefix was already cached.
func (s *Server) startPrefill(prompt string) time.Duration {
	key := prompt[:min(len(prompt), maxPrefixLength)]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, hit := s.cache[key]
	s.cache[key] = time.Now()
	if len(s.cache) > maxCacheEntries {
		s.evictOldestPrefix()
	}
	if hit {
		s.counters.Hits++
		return s.config.FirstToken / 4
	}
	s.counters.Misses++
	return s.config.FirstToken
}

// evictOldestPrefix removes the least recently used prefix from the cache; mu
// is held.
func (s *Server) evictOldestPrefix() {
	oldest := ""
	for key, at := range s.cache {
		if oldest == "" || at.Before(s.cache[oldest]) {
			oldest = key
		}
	}
	delete(s.cache, oldest)
}

// canGenerate reports whether the server is ready, no member of its replica is
// missing, and the server still has the given epoch (the number of its
// assignment to a group).
func (s *Server) canGenerate(epoch ring.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.incomplete && s.status.Epoch == epoch && s.status.Phase == ring.BackendReady
}

// generation is the response to one request while it is being generated.
type generation struct {
	server *Server
	body   Request
	// chat selects the response format of chats; otherwise it is that of
	// completions.
	chat  bool
	epoch ring.Epoch
	// id is the request ID.
	id string
	// offset is the number of tokens that the caller already has from an earlier
	// attempt; generation continues after them.
	offset int
}

// generateTokens generates the tokens of the response with the configured delays
// and writes them to w. It aborts the connection if the replica becomes
// incomplete (a member is missing) or the server gets another epoch. It stops if
// the caller disconnects.
func (g *generation) generateTokens(ctx context.Context, w http.ResponseWriter) {
	s := g.server
	prompt := g.body.PromptText()
	total := g.body.Tokens()
	w.Header().Set(engine.HeaderRequest, g.id)
	if g.offset > 0 {
		w.Header().Set(engine.HeaderOffset, strconv.Itoa(g.offset))
		s.mu.Lock()
		s.counters.Resumed++
		s.mu.Unlock()
	}
	if !clock.Sleep(ctx, s.startPrefill(prompt)) {
		g.countCancelled()
		return
	}
	var text strings.Builder
	for i := g.offset; i < total; i++ {
		if i > g.offset && !clock.Sleep(ctx, s.config.TokenGap) {
			g.countCancelled()
			return
		}
		if !s.canGenerate(g.epoch) {
			panic(http.ErrAbortHandler)
		}
		token := Token(g.body.Model, prompt, g.body.Seed, i)
		text.WriteString(token)
		if g.body.Stream {
			g.writeChunk(w, token, nil, nil)
		}
		s.mu.Lock()
		s.counters.Tokens++
		s.mu.Unlock()
	}
	g.writeEnd(w, text.String(), prompt, total)
}

// countCancelled counts a request whose caller disconnected.
func (g *generation) countCancelled() {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.counters.Cancelled++
}

// writeEnd writes the final events of a stream, or the whole response if it is
// not streamed.
func (g *generation) writeEnd(w http.ResponseWriter, text, prompt string, total int) {
	finishReason := "length"
	usage := &openai.Usage{PromptTokens: len(prompt) / 4, CompletionTokens: total, TotalTokens: len(prompt)/4 + total}
	if !g.body.Stream {
		c := g.newCompletion(&finishReason)
		c.Usage = usage
		if g.chat {
			c.Object = "chat.completion"
			c.Choices[0].Message = &openai.Message{Role: "assistant", Content: text}
		} else {
			c.Choices[0].Text = &text
		}
		writeJSON(w, c)
		return
	}
	g.writeChunk(w, "", &finishReason, nil)
	if g.body.StreamOptions.IncludeUsage {
		g.writeChunk(w, "", nil, usage)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

// newCompletion returns a response object, or a chunk of a stream, with a
// choice that has no text yet.
func (g *generation) newCompletion(finishReason *string) openai.Completion {
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
	}
	return openai.Completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.body.Model,
		Choices: []openai.Choice{{FinishReason: finishReason}}}
}

// writeChunk writes one event of a stream, which contains a token, the finish
// reason or the usage.
func (g *generation) writeChunk(w http.ResponseWriter, token string, finishReason *string, usage *openai.Usage) {
	c := g.newCompletion(finishReason)
	switch {
	case usage != nil:
		c.Usage = usage
		c.Choices = []openai.Choice{}
	case g.chat:
		c.Choices[0].Delta = &openai.Delta{Content: token}
	default:
		c.Choices[0].Text = &token
	}
	text, err := json.Marshal(c)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: %s\n\n", text)
	flush(w)
}

// flush sends buffered data to the client, so that each event of a stream
// arrives when it is written.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
