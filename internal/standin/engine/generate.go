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

// PromptText returns the messages of a chat joined by newlines, or the prompt.
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

// Tokens returns how many tokens to generate.
func (r Request) Tokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

func (s *Server) postChat(w http.ResponseWriter, r *http.Request)       { s.generate(w, r, true) }
func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) { s.generate(w, r, false) }

func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
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
	g.run(r.Context(), w)
}

// acquireSlot waits for a free slot; it reports false if the context ended
// first.
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

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// prefill returns the time to the first token and caches the prefix of the
// prompt.
func (s *Server) prefill(prompt string) time.Duration {
	key := prompt[:min(len(prompt), maxPrefixLength)]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, hit := s.cache[key]
	s.cache[key] = time.Now()
	if len(s.cache) > maxCacheEntries {
		s.evictOldest()
	}
	if hit {
		s.counters.Hits++
		return s.config.FirstToken / 4
	}
	s.counters.Misses++
	return s.config.FirstToken
}

func (s *Server) evictOldest() {
	oldest := ""
	for key, at := range s.cache {
		if oldest == "" || at.Before(s.cache[oldest]) {
			oldest = key
		}
	}
	delete(s.cache, oldest)
}

// canGenerate reports whether the replica is complete and still has the epoch.
func (s *Server) canGenerate(epoch ring.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.incomplete && s.status.Epoch == epoch && s.status.Phase == ring.BackendReady
}

// generation is the response to one request.
type generation struct {
	server *Server
	body   Request
	chat   bool
	epoch  ring.Epoch
	id     string
	offset int
}

func (g *generation) run(ctx context.Context, w http.ResponseWriter) {
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
	if !clock.Sleep(ctx, s.prefill(prompt)) {
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
	g.finish(w, text.String(), prompt, total)
}

func (g *generation) countCancelled() {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.counters.Cancelled++
}

func (g *generation) finish(w http.ResponseWriter, text, prompt string, total int) {
	finishReason := "length"
	usage := &openai.Usage{PromptTokens: len(prompt) / 4, CompletionTokens: total, TotalTokens: len(prompt)/4 + total}
	if !g.body.Stream {
		c := g.completion(&finishReason)
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

func (g *generation) completion(finishReason *string) openai.Completion {
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
	}
	return openai.Completion{ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.body.Model,
		Choices: []openai.Choice{{FinishReason: finishReason}}}
}

func (g *generation) writeChunk(w http.ResponseWriter, token string, finishReason *string, usage *openai.Usage) {
	c := g.completion(finishReason)
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

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
