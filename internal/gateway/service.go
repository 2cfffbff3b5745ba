package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/routing"
)

// hopByHopHeaders are not forwarded. They concern a single connection, except
// Authorization, which carries the caller's key, and Host and Content-Length,
// which are set for each request.
var hopByHopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serveServiceCall serves calls to services other than models, with any method and
// body.
func (s *Server) serveServiceCall(w http.ResponseWriter, r *http.Request, c *call) {
	name := ring.Service(mux.Vars(r)["service"])
	service, ok := c.configuration.Service(name)
	if !ok {
		s.writeFailure(w, c, ring.Fail(ring.CodeUnknownService, "no service %q", name))
		return
	}
	if !c.caller.Application.MayCall(name) {
		s.writeFailure(w, c, ring.Fail(ring.CodeNotAllowed, "application %s may not call service %q", c.caller.Application.Name, name))
		return
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name))
	if path == "" {
		path = "/"
	}
	key, failure := idempotencyKey(r)
	if failure == nil && key == "" && service.IsNonIdempotent(r.Method, canonicalPath(r.URL.Path, name)) {
		failure = ring.Fail(ring.CodeKeyRequired, "%s %s is non-idempotent: it needs the header %s", r.Method, path, headerKey)
	}
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	grant, failure := s.acquireGrant(r, c, AcquireRequest{Workspace: c.caller.Workspace, Priority: c.caller.Application.Priority, Deadline: c.deadline})
	if failure != nil {
		s.writeFailure(w, c, failure)
		return
	}
	defer grant.Release()
	s.budget.RecordRequest(time.Now())
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	p := &serviceCall{server: s, call: c, service: service, method: r.Method, path: path, header: forwardedHeader(r), releaseBody: func() {}}
	defer func() { p.releaseBody() }()
	if key != "" {
		s.runClaimed(w, r, c, key, service.CallTimeout(), func() dispatchResult { return p.dispatchOnce(r.Context(), w) })
		return
	}
	p.dispatchWithRetries(r.Context(), w)
}

// canonicalPath returns the decoded path below a service without empty and dot
// segments, so that every spelling of a non-idempotent route is recognized.
func canonicalPath(path string, name ring.Service) string {
	rest := strings.TrimPrefix(path, "/services/"+string(name))
	var segments []string
	for _, segment := range strings.Split(rest, "/") {
		switch segment {
		case "", ".":
		case "..":
			segments = segments[:max(len(segments)-1, 0)]
		default:
			segments = append(segments, segment)
		}
	}
	return "/" + strings.Join(segments, "/")
}

// forwardedHeader returns the request's header without hop-by-hop fields and those that
// its Connection field names.
func forwardedHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, value := range r.Header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	return h
}

// serviceCall is a call to a service other than a model.
type serviceCall struct {
	server  *Server
	call    *call
	service deployment.Service
	method  string
	// path is the path below the service, with the query.
	path string
	// header is the caller's header without hop-by-hop fields.
	header http.Header
	// releaseBody is called when the response body is no longer used.
	releaseBody func()
	// mayHaveRun is set as soon as a server may have run the call in any attempt.
	mayHaveRun bool
}

// serverAddress returns the server's address for the n-th attempt, counted from 0. The
// first attempt goes to a server chosen by a hash of the request ID, which spreads
// requests evenly, and each further attempt to the next server.
func (p *serviceCall) serverAddress(n int) string {
	first := routing.Hash(p.call.id) % uint64(len(p.service.Servers))
	return p.service.Servers[(int(first)+n)%len(p.service.Servers)]
}

// sendAndRead sends the call to a server once and returns the response and its body,
// which it has read to the end.
func (p *serviceCall) sendAndRead(ctx context.Context, address string) (*http.Response, []byte, *attemptError) {
	ctx, wd := newWatchdog(ctx, p.service.CallTimeout())
	defer wd.stop()
	// Hide the bytes.Reader: http.NewRequest would set GetBody for it, and the
	// transport could then resend the request.
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
	var conn connTrace
	resp, failure := p.server.sendAttempt(ctx, req, addressKey(address), &conn)
	if failure != nil {
		return nil, nil, failure
	}
	defer resp.Body.Close()
	content, done, err := p.server.bodies.read(resp.Body)
	p.releaseBody = done
	if err == nil {
		err = p.server.checkEnd(ctx, resp, address)
	}
	if err != nil {
		done()
		return nil, nil, &attemptError{stage: stageSent, err: err}
	}
	return resp, content, nil
}

// dispatchOnce dispatches a call that has an idempotency key and returns the outcome
// to record. It continues after the caller disconnects, so that a retry with the same
// key gets the recorded response.
func (p *serviceCall) dispatchOnce(ctx context.Context, w http.ResponseWriter) dispatchResult {
	address, next, ok := p.permittedAddress(ctx, 0)
	if !ok {
		return dispatchResult{notRun: true, reply: func() { p.failUnpermitted(w, next) }}
	}
	ctx, cancel := p.server.stop.until(context.WithoutCancel(ctx))
	defer cancel()
	resp, body, err := p.sendAndRead(ctx, address)
	if err != nil {
		p.server.logFailedAttempt(p.call, routeToAddress(address), err)
		return dispatchResult{notRun: err.stage != stageSent, reply: func() { p.writeFailure(w, err) }}
	}
	response := &claim.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	return dispatchResult{response: response, reply: func() { p.writeResponse(w, resp, body) }}
}

// dispatchWithRetries serves a call without an idempotency key. A call that may have
// reached a server is retried only if HTTP defines its method as idempotent.
func (p *serviceCall) dispatchWithRetries(ctx context.Context, w http.ResponseWriter) {
	for n := 0; ; n++ {
		address, next, ok := p.permittedAddress(ctx, n)
		if !ok && !hasLeft(ctx) {
			p.failUnpermitted(w, next)
		}
		if !ok {
			return
		}
		resp, body, err := p.sendAndRead(ctx, address)
		if err == nil {
			p.writeResponse(w, resp, body)
			return
		}
		if hasLeft(ctx) {
			return
		}
		p.server.logFailedAttempt(p.call, routeToAddress(address), err)
		p.mayHaveRun = p.mayHaveRun || err.stage == stageSent
		mayRepeat := ctx.Err() == nil && (err.stage != stageSent || p.isIdempotent())
		if !mayRepeat || n+1 == min(maxAttempts, len(p.service.Servers)+1) || !p.server.budget.Take(time.Now(), 1, nil) {
			p.writeFailure(w, err)
			return
		}
	}
}

// isIdempotent reports whether HTTP defines the call's method as idempotent.
func (p *serviceCall) isIdempotent() bool {
	switch p.method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// writeResponse writes a server's response, with the given body, to the caller. It
// leaves out hop-by-hop headers.
func (p *serviceCall) writeResponse(w http.ResponseWriter, resp *http.Response, body []byte) {
	for _, name := range hopByHopHeaders {
		resp.Header.Del(name)
	}
	maps.Copy(w.Header(), resp.Header)
	p.call.hasBegun.Store(true)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
}

// writeFailure writes the failure of the last attempt as the response to the caller.
func (p *serviceCall) writeFailure(w http.ResponseWriter, err *attemptError) {
	retryAt := time.Now().Add(time.Second)
	f := ring.Fail(ring.CodeOutcomeUnknown, "service %s returned no complete response; the request may have run", p.service.Name)
	switch {
	case p.mayHaveRun:
	case err.stage == stageNotSent:
		f = ring.FailRetryAt(ring.CodeUnreachable, retryAt, "service %s could not be reached", p.service.Name)
	case err.stage == stageRefused:
		f = ring.FailRetryAt(ring.CodeBackendRefused, retryAt, "service %s refused the request: %s", p.service.Name, fmt.Sprint(err.err))
	}
	p.server.writeFailure(w, p.call, f)
}
