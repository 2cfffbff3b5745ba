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
	// maxPrefixLength is how much of a prompt the cache remembers, in bytes.
	maxPrefixLength = 64
	// maxCacheEntries is how many prefixes the cache holds.
	maxCacheEntries = 64
)

// Request is what the stand-in reads of a request.
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

// PromptText joins the messages of a chat, or returns the prompt.
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

// Tokens returns how many tokens the answer has.
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
	admitted := s.canServe(r)
	epoch := s.status.Epoch
	if !admitted {
		s.counters.Refused++
	} else {
		s.counters.Requests++
		s.waiting++
	}
	s.mu.Unlock()
	if !admitted {
		w.Header().Set(engine.HeaderRan, "no")
		http.Error(w, "not the head of a whole replica under this epoch", http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	a := generation{server: s, body: body, chat: chat, epoch: epoch, id: r.Header.Get(engine.HeaderRequest)}
	a.offset, _ = strconv.Atoi(r.Header.Get(engine.HeaderOffset))
	a.run(r.Context(), w)
}

// acquireSlot waits for a slot; it reports false when the caller is gone.
func (s *Server) acquireSlot(ctx context.Context) bool {
	for {
		s.mu.Lock()
		if s.running < max(s.slots, 1) {
			s.waiting--
			s.running++
			s.mu.Unlock()
			return true
		}
		turn := s.slotFreed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.waiting--
			s.counters.Cancelled++
			s.mu.Unlock()
			return false
		case <-turn:
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

// prefill returns the time to the first token and remembers the prefix.
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

// canGenerate reports whether the replica may still produce tokens of the epoch.
func (s *Server) canGenerate(epoch ring.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.incomplete && s.status.Epoch == epoch && s.status.Phase == ring.BackendReady
}

type generation struct {
	server *Server
	body   Request
	chat   bool
	epoch  ring.Epoch
	id     string
	offset int
}

func (a *generation) run(ctx context.Context, w http.ResponseWriter) {
	s := a.server
	prompt := a.body.PromptText()
	total := a.body.Tokens()
	w.Header().Set(engine.HeaderRequest, a.id)
	if a.offset > 0 {
		w.Header().Set(engine.HeaderOffset, strconv.Itoa(a.offset))
		s.mu.Lock()
		s.counters.Resumed++
		s.mu.Unlock()
	}
	if !clock.Sleep(ctx, s.prefill(prompt)) {
		a.countCancelled()
		return
	}
	var whole strings.Builder
	for i := a.offset; i < total; i++ {
		if i > a.offset && !clock.Sleep(ctx, s.config.TokenGap) {
			a.countCancelled()
			return
		}
		if !s.canGenerate(a.epoch) {
			panic(http.ErrAbortHandler)
		}
		token := Token(a.body.Model, prompt, a.body.Seed, i)
		whole.WriteString(token)
		if a.body.Stream {
			a.writeChunk(w, token, nil, nil)
		}
		s.mu.Lock()
		s.counters.Tokens++
		s.mu.Unlock()
	}
	a.finish(w, whole.String(), prompt, total)
}

func (a *generation) countCancelled() {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.counters.Cancelled++
}

func (a *generation) finish(w http.ResponseWriter, text, prompt string, total int) {
	stop := "length"
	usage := &openai.Usage{PromptTokens: len(prompt) / 4, CompletionTokens: total, TotalTokens: len(prompt)/4 + total}
	if !a.body.Stream {
		c := a.completion(&stop)
		c.Usage = usage
		if a.chat {
			c.Object = "chat.completion"
			c.Choices[0].Message = &openai.Message{Role: "assistant", Content: text}
		} else {
			c.Choices[0].Text = &text
		}
		writeJSON(w, c)
		return
	}
	a.writeChunk(w, "", &stop, nil)
	if a.body.StreamOptions.IncludeUsage {
		a.writeChunk(w, "", nil, usage)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

func (a *generation) completion(stop *string) openai.Completion {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	return openai.Completion{ID: a.id, Object: object, Created: time.Now().Unix(), Model: a.body.Model,
		Choices: []openai.Choice{{FinishReason: stop}}}
}

func (a *generation) writeChunk(w http.ResponseWriter, token string, stop *string, usage *openai.Usage) {
	c := a.completion(stop)
	switch {
	case usage != nil:
		c.Usage = usage
		c.Choices = []openai.Choice{}
	case a.chat:
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
