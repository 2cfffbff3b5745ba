// Package drain stops an HTTP server without losing a request.
//
// http.Server.Shutdown may lose one: it closes a connection as idle while a request on
// it is being read, and it drops a request that was read after its start.
//
// Terms:
//
//   - Busy: a byte of a request was read from the connection, and the response is not
//     complete. The first three bytes that came together with the request before do not
//     count: net/http does not tell that it holds them.
//   - Idle: not busy. The caller may send a request at any time.
//   - Lingering: the last response is complete and the sending side is closed. What the
//     caller sends is read and dropped until it closes the connection, or for lingerTime.
//
// Invariants:
//
//   - A request whose bytes had arrived when the drain decided to close its connection is
//     served: the goroutine that waits for the next request is interrupted and itself finds
//     out whether one has arrived, so that none comes between the check and the close.
//   - A busy connection is closed only after its response, or with the process.
//   - A connection whose last response is complete holds no unread bytes for longer than it
//     takes to read them: closing it with some, also by the end of the process, would reset
//     it, and the end of the response might be lost.
//   - A request that its caller sends within nextRequestGrace after a response reaches the
//     handler.
package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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
	// lingerTime bounds the lingering of a connection, and maxLingerBytes what is read
	// meanwhile. net/http lingers as long after some errors, but without reading.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
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

// NewServer returns a server with the settings of s, which it changes. The field
// ConnState of s must not be set.
func NewServer(s *http.Server) *Server {
	out := &Server{http: s, stopped: make(chan struct{}), conns: map[*conn]struct{}{}}
	s.Handler = out.closeAfterResponse(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.recordState(state)
		}
	}
	return out
}

// closeAfterResponse returns a handler that makes the response to a request that comes
// during the drain the last one on its connection.
func (s *Server) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
// nextRequestGrace. It returns when all are closed, or when the context ends, then with an
// error if a response is not complete. Until then, requests that arrive on the connections
// that are left are served.
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
			if !s.hasBusyConns() {
				return nil
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// hasBusyConns reports whether a response is not complete.
func (s *Server) hasBusyConns() bool {
	return slices.ContainsFunc(s.openConns(), func(c *conn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.isBusy
	})
}

// closeIdle makes the connections close that have been idle for nextRequestGrace, except
// new ones if keepNew is set. It returns the number of connections that are left.
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
	// readDeadline is what net/http has set. While isClosing is set, reads fail at once
	// instead, and the connection ends unless a request has arrived.
	readDeadline time.Time
	isClosing    bool
	// hasEnded is set when the caller has closed the connection.
	hasEnded    bool
	isLingering bool
	// isHijacked is set when net/http has left the connection to a handler.
	isHijacked bool
	// hasIdleDeadline is set after a response, when net/http has set the read deadline of
	// the time between two requests.
	hasIdleDeadline bool
}

// NetConn returns the connection that the listener accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. After a response net/http sets the deadline of an
// idle connection, and the next one when it has the beginning of a request, which it may
// have read together with the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLingering {
		return nil
	}
	c.readDeadline = t
	if !c.isBusy && !c.isNew {
		c.isBusy = c.hasIdleDeadline
		c.hasIdleDeadline = true
	}
	if c.isClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. If the drain closes the connection, it returns io.EOF, which
// makes net/http close it, unless bytes of the next request have arrived.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readArrived(b, err)
			if n == 0 && err == nil {
				continue // A request is being read: the connection stays.
			}
		}
		c.mu.Lock()
		if n > 0 {
			c.isBusy, c.isNew = true, false
			c.stopClosing()
		}
		c.hasEnded = c.hasEnded || (err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
		c.mu.Unlock()
		return n, err
	}
}

// readArrived returns what has arrived when a read ended with err, or io.EOF if the drain
// closes the connection. If a request is being read, it returns 0 and nil.
func (c *conn) readArrived(b []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isClosing:
		return 0, err
	case c.isBusy:
		c.stopClosing()
		return 0, nil
	}
	if n := readNow(c.Conn, b); n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// readNow reads what a connection holds without waiting. It returns 0 if there is nothing,
// or if the connection cannot tell.
func readNow(c net.Conn, b []byte) int {
	holder, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	return max(n, 0)
}

// stopClosing undoes closeIfIdle; mu is held.
func (c *conn) stopClosing() {
	if c.isClosing {
		c.isClosing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// Close implements net.Conn. After a last response the connection lingers first.
func (c *conn) Close() error {
	if c.startLingering(false) {
		return nil
	}
	return c.closeNow()
}

// CloseWrite closes the sending side; the connection lingers. net/http uses it after some
// errors, and would keep its goroutine and the request for half a second. The panic ends them at
// once: net/http recovers from it there, after the answer. A handler that has hijacked the
// connection may close the sending side as well; nobody would recover there.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	isHijacked := c.isHijacked
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); isHijacked && ok {
		return half.CloseWrite()
	}
	if isHijacked {
		return errors.ErrUnsupported
	}
	c.startLingering(true)
	panic(http.ErrAbortHandler)
}

// closeNow closes the connection.
func (c *conn) closeNow() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// startLingering makes the connection linger, and close itself, if its caller may be
// waiting for the end of a response. It returns false if the connection does not linger.
func (c *conn) startLingering(always bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	switch {
	case c.isLingering:
		return true
	case !ok || c.hasEnded || !(c.isBusy || always):
		return false
	}
	if err := half.CloseWrite(); err != nil {
		return false
	}
	c.isLingering, c.isBusy = true, false
	go c.linger()
	return true
}

// linger reads what the caller sends until it closes the connection or lingerTime has
// passed, and closes the connection.
func (c *conn) linger() {
	end := time.Now().Add(lingerTime)
	_ = c.Conn.SetReadDeadline(end)
	if n, _ := io.CopyN(io.Discard, c.Conn, maxLingerBytes); n == maxLingerBytes {
		time.Sleep(time.Until(end))
	}
	_ = c.closeNow()
}

// recordState records a change of state that net/http reports.
func (c *conn) recordState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isBusy = !c.isLingering
	case http.StateIdle:
		c.isBusy, c.hasIdleDeadline, c.idleSince = false, false, time.Now()
	case http.StateHijacked:
		c.isHijacked = true
	}
}

// closeIfIdle makes the connection close if it has been idle for nextRequestGrace and, with
// keepNew, is not new.
func (c *conn) closeIfIdle(now time.Time, keepNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy || c.isClosing || c.isLingering || (c.isNew && keepNew) || now.Sub(c.idleSince) < nextRequestGrace {
		return
	}
	c.isClosing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
