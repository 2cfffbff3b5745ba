// Package drain stops an HTTP server without losing a request.
//
// http.Server.Shutdown may lose one: it closes a connection as idle while a request on
// it is being read, and it drops a request that was read after its start.
//
// Terms:
//
//   - Busy: a byte of a request was read from the connection, and the response is not
//     complete.
//   - Idle: not busy. The caller may send a request at any time.
//
// Invariants:
//
//   - Once the drain has closed a connection, no request from it reaches the handler.
//   - A busy connection is closed only after its response, or with the process.
//   - A request that its caller sends within nextRequestGrace after a response reaches the
//     handler.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// closeInterval is how often a drain closes the connections that have become idle.
	closeInterval = 20 * time.Millisecond
	// firstRequestGrace is how long after its start a drain keeps a new connection open
	// for its first request.
	firstRequestGrace = time.Second
	// nextRequestGrace is how long after a response a drain keeps the connection open for
	// the next request: a caller that sends it at once does so before it can notice a close,
	// and could not tell whether it was read.
	nextRequestGrace = 200 * time.Millisecond
)

// Server is an HTTP server whose Drain loses no request.
type Server struct {
	http *http.Server
	// stopped is closed when Serve has returned.
	stopped    chan struct{}
	isDraining atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// connKey is the key of a request's conn in its context.
type connKey struct{}

// NewServer returns a server with the settings of s, which it changes. The fields
// ConnState and ConnContext of s must not be set.
func NewServer(s *http.Server) *Server {
	out := &Server{http: s, stopped: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.Handler = out.closeAfterResponse(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.recordState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return out
}

// closeAfterResponse returns a handler that passes to next no request from a connection
// that the drain has closed, since its response would reach nobody. The response to a
// request that comes during the drain is the last one on its connection.
func (s *Server) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.isClosed() {
			panic(http.ErrAbortHandler)
		}
		if s.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve serves the connections of a listener until Drain is called. It may be called
// once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.stopped)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.http.Serve(&listener{Listener: l, server: s})
}

// Drain closes the listener, and each connection when it has been idle for
// nextRequestGrace. It returns when all are closed, or with an error when the context ends.
// Until then, requests that arrive on the connections that are left are served.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	s.isDraining.Store(true)
	keepNewUntil := time.Now().Add(firstRequestGrace)
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-s.stopped // From now on, no connection is added.
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if s.closeIdle(now, now.Before(keepNewUntil)) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// closeIdle closes the connections that have been idle for nextRequestGrace, except new
// ones if keepNew is set. It returns the number of connections that are left.
func (s *Server) closeIdle(now time.Time, keepNew bool) int {
	for _, c := range s.openConns() {
		c.closeIfIdle(now, keepNew)
	}
	return len(s.openConns())
}

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// listener adds its connections to the server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, isNew: true}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that knows whether it is busy.
type conn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// isNew is set until the first request.
	isNew  bool
	isBusy bool
	// idleSince is when the last response was complete.
	idleSince time.Time
	// isDrained is set when the drain has closed the connection. Bytes that were read
	// since are discarded.
	isDrained bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDrained {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.isBusy, c.isNew = true, false
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http uses it so that a response is not lost
// when it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// recordState records a change of state that net/http reports.
func (c *conn) recordState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isBusy = true
	case http.StateIdle:
		c.isBusy, c.idleSince = false, time.Now()
	}
}

// closeIfIdle closes the connection if it has been idle for nextRequestGrace and, with
// keepNew, is not new.
func (c *conn) closeIfIdle(now time.Time, keepNew bool) {
	c.mu.Lock()
	keep := c.isBusy || (c.isNew && keepNew) || now.Sub(c.idleSince) < nextRequestGrace
	c.isDrained = c.isDrained || !keep
	c.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// isClosed reports whether the drain has closed the connection.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDrained
}
