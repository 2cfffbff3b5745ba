// Package fake runs real nodes in one process over an in-memory network, store
// and backend servers, with faults that tests can switch on. Everything runs in
// virtual time inside testing/synctest.
//
// Terms:
//
//   - Host: an address with a handler; it can crash, restart and pause.
//   - Link: the path from one named process to one host or process.
//
// Invariants: nothing here reads the wall clock or opens a socket; the same
// calls in the same virtual order give the same result.
package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// dialTimeout is how long opening a connection over a blocked link takes to
// fail.
const dialTimeout = 500 * time.Millisecond

// linkDelay is the one-way delay of a link.
const linkDelay = 200 * time.Microsecond

// linkKey names a link by its two ends.
type linkKey struct{ from, to string }

// host is a simulated server process at an address.
type host struct {
	handler http.Handler
	up      bool
	paused  bool
	// ctx is cancelled when the host crashes.
	ctx    context.Context
	cancel context.CancelFunc
}

// Network carries HTTP requests from named processes to hosts. Messages over a
// blocked link wait until it is unblocked or their context ends.
type Network struct {
	mu               sync.Mutex
	hosts            map[string]*host
	blocked          map[linkKey]bool
	blockedResponses map[linkKey]bool
	// paused holds the processes whose requests are held back.
	paused map[string]bool
	// changed is closed and replaced whenever the state of the network changes.
	changed    chan struct{}
	onDelivery func(Delivery)
	// exchanges holds the requests whose handlers are running.
	exchanges map[*responseWriter]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]*host{}, blocked: map[linkKey]bool{}, blockedResponses: map[linkKey]bool{},
		paused: map[string]bool{}, changed: make(chan struct{}), exchanges: map[*responseWriter]bool{},
	}
}

// OnDelivery sets a function that is called for every request that reaches a
// host.
func (n *Network) OnDelivery(f func(Delivery)) { n.onDelivery = f }

// Delivery is a request that reached a host. Dispatched is when RoundTrip began
// to send it, after any pause of the sender.
type Delivery struct {
	From, To   string
	Dispatched time.Time
	Request    *http.Request
}

// changeState calls f, which changes the state of the network, and wakes the
// goroutines that wait for a change.
func (n *Network) changeState(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// StartHost starts a host that serves requests to the address with the handler
// h. It replaces a host that crashed.
func (n *Network) StartHost(address string, h http.Handler) {
	n.changeState(func() {
		ctx, cancel := context.WithCancel(context.Background())
		n.hosts[address] = &host{handler: h, up: true, ctx: ctx, cancel: cancel}
	})
}

// CrashHost stops a host: its connections are reset and new ones are refused.
func (n *Network) CrashHost(address string) {
	n.changeState(func() {
		n.hosts[address].up = false
		n.hosts[address].cancel()
	})
}

// PauseHost pauses a host: its connections stay open, but no requests or
// responses pass.
func (n *Network) PauseHost(address string) { n.changeState(func() { n.hosts[address].paused = true }) }

// ResumeHost lets requests and responses of a paused host pass again.
func (n *Network) ResumeHost(address string) {
	n.changeState(func() { n.hosts[address].paused = false })
}

// BlockLink blocks or unblocks requests and responses between a process and a
// host, on open connections and on new ones.
func (n *Network) BlockLink(from, to string, blocked bool) {
	n.changeState(func() { n.blocked[linkKey{from, to}] = blocked })
}

// BlockResponses blocks or unblocks only the responses of a host to a process;
// requests still reach the host.
func (n *Network) BlockResponses(from, to string, blocked bool) {
	n.changeState(func() { n.blockedResponses[linkKey{from, to}] = blocked })
}

// ResetConnections resets the open connections of a process to a host, while
// both stay up.
func (n *Network) ResetConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for w := range n.exchanges {
		if w.link == (linkKey{from, to}) {
			w.cancel()
		}
	}
}

// trackExchange adds an exchange to those that ResetConnections resets, or
// removes it.
func (n *Network) trackExchange(w *responseWriter, running bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if running {
		n.exchanges[w] = true
		return
	}
	delete(n.exchanges, w)
}

// PauseSends holds back the requests of a process, as if the process were paused
// right before each of its calls, or releases them if hold is false.
func (n *Network) PauseSends(process string, hold bool) {
	n.changeState(func() { n.paused[process] = hold })
}

// linkState returns the host at the end of a link (nil if there is none),
// whether requests and whether responses pass, and a channel that closes at the
// next change of the network.
func (n *Network) linkState(l linkKey) (h *host, requests, responses bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h = n.hosts[l.to]
	paused := h != nil && h.paused
	open := !n.blocked[l] && !paused
	return h, open, open && !n.blockedResponses[l], n.changed
}

// isOpen reports whether neither direction of a link is blocked. The kernel of a paused host
// still accepts connections.
func (n *Network) isOpen(l linkKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked[l] && !n.blockedResponses[l]
}

// awaitLink waits until responses (isResponse) or requests (not isResponse)
// pass over a link. It returns an error if the context ends first.
func (n *Network) awaitLink(ctx context.Context, l linkKey, isResponse bool) error {
	for {
		_, requests, responses, changed := n.linkState(l)
		if (isResponse && responses) || (!isResponse && requests) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// awaitUnpaused waits while a process is paused. It ignores deadlines: a paused
// process does not see them pass and sends its request late.
func (n *Network) awaitUnpaused(process string) {
	for {
		n.mu.Lock()
		paused, changed := n.paused[process], n.changed
		n.mu.Unlock()
		if !paused {
			return
		}
		<-changed
	}
}

// TransportFrom returns the HTTP transport of a process. With keepAlive its
// connections count as already open, so that requests over a blocked link wait
// instead of failing to connect.
func (n *Network) TransportFrom(process string, keepAlive bool) http.RoundTripper {
	return &transport{network: n, process: process, keepAlive: keepAlive}
}

// transport sends the requests of one process over the network.
type transport struct {
	network   *Network
	process   string
	keepAlive bool
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	l := linkKey{t.process, r.URL.Host}
	t.network.awaitUnpaused(t.process)
	dispatched := time.Now()
	if err := t.connect(ctx, l); err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: t.keepAlive})
	}
	if err := t.network.awaitLink(ctx, l, false); err != nil {
		return nil, err
	}
	time.Sleep(linkDelay)
	return t.exchange(ctx, l, r, dispatched)
}

// connect simulates opening a connection: it returns nil, or the error that TCP
// would return if the host is down or the link is blocked.
func (t *transport) connect(ctx context.Context, l linkKey) error {
	h, _, _, _ := t.network.linkState(l)
	if h == nil || !h.up {
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if t.keepAlive || t.network.isOpen(l) {
		return nil
	}
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case <-timer.C:
		return &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("i/o timeout")}
	}
}

// exchange delivers a request to its host and returns the response as soon as its
// header has passed the link.
func (t *transport) exchange(ctx context.Context, l linkKey, r *http.Request, dispatched time.Time) (*http.Response, error) {
	h, _, _, _ := t.network.linkState(l)
	if !h.up {
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	if t.network.onDelivery != nil {
		t.network.onDelivery(Delivery{t.process, l.to, dispatched, r})
	}
	handlerCtx, cancel := context.WithCancel(h.ctx)
	w := &responseWriter{network: t.network, link: l, serverCtx: handlerCtx, header: http.Header{}, status: make(chan int, 1)}
	w.body, w.pipe = io.Pipe()
	w.cancel = cancel
	stop := context.AfterFunc(ctx, cancel)
	t.network.trackExchange(w, true)
	go w.runHandler(h.handler, r.Clone(handlerCtx), stop)
	select {
	case code := <-w.status:
		resp := &http.Response{
			StatusCode: code, Header: w.sentHeader, Body: &body{PipeReader: w.body, cancel: cancel, ctx: ctx},
			ContentLength: -1, Request: r, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		}
		return resp, nil
	case <-ctx.Done():
		cancel()
		return nil, context.Cause(ctx)
	case <-h.ctx.Done():
		cancel()
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
}

// body is the body of a response. Closing it cancels the server's handler; reads
// fail after the context of the request has ended.
type body struct {
	*io.PipeReader
	cancel context.CancelFunc
	ctx    context.Context
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is the server's side of one exchange: it passes the response
// of a handler to RoundTrip, as far as the link lets it pass.
type responseWriter struct {
	network     *Network
	link        linkKey
	serverCtx   context.Context
	cancel      context.CancelFunc
	header      http.Header
	sentHeader  http.Header
	status      chan int
	wroteHeader bool
	body        *io.PipeReader
	pipe        *io.PipeWriter
}

// runHandler calls the handler and closes the response when it returns. If the
// handler panics, the response is aborted, as in net/http. At the end runHandler
// calls stop, which detaches the exchange from the caller's context.
func (w *responseWriter) runHandler(h http.Handler, r *http.Request, stop func() bool) {
	defer stop()
	defer w.network.trackExchange(w, false)
	go func() {
		<-w.serverCtx.Done()
		_ = w.pipe.CloseWithError(syscall.ECONNRESET)
	}()
	defer func() {
		if recover() != nil {
			_ = w.pipe.CloseWithError(io.ErrUnexpectedEOF)
			w.cancel()
			return
		}
		w.WriteHeader(http.StatusOK)
		if w.network.awaitLink(w.serverCtx, w.link, true) == nil {
			_ = w.pipe.Close()
		}
		w.cancel()
	}()
	h.ServeHTTP(w, r)
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	w.sentHeader = w.header.Clone()
	if w.network.awaitLink(w.serverCtx, w.link, true) == nil {
		w.status <- status
	}
}

// Write implements io.Writer.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := w.network.awaitLink(w.serverCtx, w.link, true); err != nil {
		return 0, err
	}
	return w.pipe.Write(b)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {}
