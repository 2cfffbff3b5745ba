package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/suspect"
)

// requestContent is what a request asks for, from which its subjects are made.
type requestContent struct {
	service        ring.Service
	model          ring.Model
	key, route     string
	method, target string
	content        string
	body           []byte
	parts          []string
}

// contentOf returns what the request asks for.
func contentOf(req *frontRequest) requestContent {
	return requestContent{
		service: req.service.Name, model: req.header.Model, key: req.header.Key, route: req.route.Name,
		method: req.method, target: req.target, content: req.header.Content, body: req.body, parts: req.header.PromptParts,
	}
}

// subjects returns the digest of the request, keyed by its caller's key, and then those of the
// parts of its prompt, which are the same for all callers.
func (c requestContent) subjects() []suspect.Digest {
	out := []suspect.Digest{suspect.NewDigest(c.key, c.route, c.method, c.target, string(c.model), c.content, string(c.body))}
	for _, part := range c.parts {
		if d := suspect.NewPartDigest(string(c.service), string(c.model), part); !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// subjectsOf returns the subjects of a request.
func (req *frontRequest) subjectsOf() []suspect.Digest {
	if req.subjects == nil {
		req.subjects = contentOf(req).subjects()
	}
	return req.subjects
}

// flight is an attempt in progress.
type flight struct {
	content requestContent
	// hasEvents is set once the server has begun its response.
	hasEvents atomic.Bool
	cancel    context.CancelCauseFunc
}

// suspicion applies what the registry of suspects says to the requests of a Front.
type suspicion struct {
	mu sync.Mutex
	// flights are the attempts in progress, and trials those subjects that one of them tries.
	flights map[*flight]struct{}
	trials  map[string]bool
	// decisions is the number of the registry's decisions that were applied, and logged
	// are the refusals that were written to the log.
	decisions int
	logged    map[string][]suspect.Digest
	window    suspect.Window
}

func newSuspicion() *suspicion {
	return &suspicion{
		flights: map[*flight]struct{}{}, trials: map[string]bool{}, logged: map[string][]suspect.Digest{},
		window: suspect.Window{Start: time.Now().Add(-rand.N(time.Minute))},
	}
}

// begin adds an attempt.
func (s *suspicion) begin(fl *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[fl] = struct{}{}
}

// end removes an attempt.
func (s *suspicion) end(fl *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, fl)
}

// beginTrial reports whether the subjects may be tried now, and if so marks them.
func (s *suspicion) beginTrial(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials[key] {
		return false
	}
	s.trials[key] = true
	return true
}

// endTrial removes the mark of beginTrial.
func (s *suspicion) endTrial(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trials, key)
}

// refusalChange is how the refusals have changed: those that have begun, the subjects of
// those that have ended, and, if some have begun, the attempts without a response.
type refusalChange struct {
	begun   []suspect.Refusal
	ended   [][]suspect.Digest
	waiting []*flight
}

// update records the refusals of the registry's decisions with a number, and returns the
// change since the last ones.
func (s *suspicion) update(refusals []suspect.Refusal, decisions int) refusalChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := refusalChange{}
	if s.decisions == decisions {
		return out
	}
	s.decisions = decisions
	known := map[string][]suspect.Digest{}
	for _, r := range refusals {
		key := subjectsKey(r.Subjects)
		known[key] = r.Subjects
		if s.logged[key] == nil {
			out.begun = append(out.begun, r)
		}
	}
	for key, subjects := range s.logged {
		if known[key] == nil {
			out.ended = append(out.ended, subjects)
		}
	}
	s.logged = known
	for fl := range s.flights {
		if len(out.begun) > 0 && !fl.hasEvents.Load() {
			out.waiting = append(out.waiting, fl)
		}
	}
	return out
}

// subjectsKey returns a key for subjects.
func subjectsKey(subjects []suspect.Digest) string {
	var b strings.Builder
	for _, d := range subjects {
		fmt.Fprintf(&b, "%x,", uint64(d))
	}
	return b.String()
}
