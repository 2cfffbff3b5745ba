package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/routing"
)

// hopByHopHeaders concern one connection and are not passed on.
var hopByHopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callService serves the plain services: any method and any body.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, c *call) {
	name := ring.Service(mux.Vars(r)["service"])
	service, ok := c.configuration.Service(name)
	if !ok {
		s.fail(w, c, ring.Fail(ring.CodeUnknownService, "no service %q", name))
		return
	}
	if !c.caller.Application.MayCall(name) {
		s.fail(w, c, ring.Fail(ring.CodeNotAllowed, "application %s may not call service %q", c.caller.Application.Name, name))
		return
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name))
	if path == "" {
		path = "/"
	}
	key, failure := idempotencyKey(r)
	if failure == nil && key == "" && service.IsOnce(r.Method, canonicalPath(r.URL.Path, name)) {
		failure = ring.Fail(ring.CodeKeyRequired, "%s %s is non-idempotent: it needs the header %s", r.Method, path, headerKey)
	}
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	grant, failure := s.acquire(r, c, AcquireRequest{Workspace: c.caller.Workspace, Priority: c.caller.Application.Priority, Deadline: c.deadline})
	if failure != nil {
		s.fail(w, c, failure)
		return
	}
	defer grant.Release()
	s.budget.RecordRequest(time.Now())
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	p := &serviceCall{server: s, call: c, service: service, method: r.Method, path: path, header: forwardedHeader(r)}
	if key != "" {
		s.runClaimed(w, r, c, key, service.Span(), func() dispatchResult { return p.dispatchOnce(r.Context(), w) })
		return
	}
	p.dispatchWithRetries(r.Context(), w)
}

// canonicalPath returns the decoded path below a service without doubled slashes
// and dots, so that no spelling of a non-idempotent route escapes its mark.
func canonicalPath(path string, name ring.Service) string {
	rest := strings.TrimPrefix(path, "/services/"+string(name))
	var parts []string
	for _, p := range strings.Split(rest, "/") {
		switch p {
		case "", ".":
		case "..":
			parts = parts[:max(len(parts)-1, 0)]
		default:
			parts = append(parts, p)
		}
	}
	return "/" + strings.Join(parts, "/")
}

func forwardedHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, listed := range r.Header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	return h
}

type serviceCall struct {
	server  *Server
	call    *call
	service deployment.Service
	method  string
	path    string
	header  http.Header
}

// server address of the n-th try: all nodes spread requests by their identity.
func (p *serviceCall) address(n int) string {
	first := routing.Hash(p.call.id) % uint64(len(p.service.Servers))
	return p.service.Servers[(int(first)+n)%len(p.service.Servers)]
}

// exchange dispatches the call once and reads the whole answer.
func (p *serviceCall) exchange(ctx context.Context, address string, isFresh bool) (*http.Response, []byte, *attemptError) {
	ctx, dog := newWatchdog(ctx, p.service.Span())
	defer dog.stop()
	// A plain reader, unlike a bytes.Reader, keeps the transport from sending
	// the body a second time by itself.
	body := io.NopCloser(bytes.NewReader(p.call.body))
	req, err := http.NewRequest(p.method, "http://"+address+p.path, body)
	if err != nil {
		return nil, nil, &attemptError{stage: stageNotSent, err: err}
	}
	req.Header = p.header.Clone()
	req.ContentLength = int64(len(p.call.body))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	var t connTrace
	resp, failed := p.server.send(ctx, req, isFresh, &t)
	if failed != nil {
		return nil, nil, failed
	}
	defer resp.Body.Close()
	answer, err := readResponse(resp)
	if err != nil {
		return nil, nil, &attemptError{stage: stageSent, err: err}
	}
	return resp, answer, nil
}

// dispatchOnce dispatches a call that must not run twice. It goes on when the caller
// leaves, so that a later try gets the answer.
func (p *serviceCall) dispatchOnce(ctx context.Context, w http.ResponseWriter) dispatchResult {
	address := p.address(0)
	resp, body, err := p.exchange(context.WithoutCancel(ctx), address, true)
	if err != nil {
		p.server.logFailedAttempt(p.call, routeOf(address), err)
		return dispatchResult{notRun: err.stage != stageSent, reply: func() { p.fail(w, err) }}
	}
	answer := &claim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	return dispatchResult{answer: answer, reply: func() { p.reply(w, resp, body) }}
}

// dispatchWithRetries serves a call that has no key. Only a method that is idempotent by
// HTTP is tried again after its request left.
func (p *serviceCall) dispatchWithRetries(ctx context.Context, w http.ResponseWriter) {
	for n := 0; ; n++ {
		address := p.address(n)
		resp, body, err := p.exchange(ctx, address, n > 0 || !p.isIdempotent())
		if err == nil {
			p.reply(w, resp, body)
			return
		}
		if ctx.Err() != nil {
			return
		}
		p.server.logFailedAttempt(p.call, routeOf(address), err)
		mayRepeat := err.stage != stageSent || p.isIdempotent()
		if !mayRepeat || n+1 == min(maxAttempts, len(p.service.Servers)+1) || !p.server.budget.Take(time.Now(), 1, nil) {
			p.fail(w, err)
			return
		}
	}
}

func (p *serviceCall) isIdempotent() bool {
	switch p.method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func (p *serviceCall) reply(w http.ResponseWriter, resp *http.Response, body []byte) {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	for _, name := range hopByHopHeaders {
		w.Header().Del(name)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
}

func (p *serviceCall) fail(w http.ResponseWriter, err *attemptError) {
	back := time.Now().Add(time.Second)
	f := ring.Fail(ring.CodeOutcomeUnknown, "service %s gave no whole answer; the request may have run", p.service.Name)
	switch err.stage {
	case stageNotSent:
		f = ring.FailUntil(ring.CodeUnreachable, back, "service %s could not be reached", p.service.Name)
	case stageRefused:
		f = ring.FailUntil(ring.CodeBackendRefused, back, "service %s refused: %s", p.service.Name, fmt.Sprint(err.err))
	}
	p.server.fail(w, p.call, f)
}
