package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	ring "eelgrassring.dev"
)

const (
	// fieldCost is what a header field takes in memory beside its text, and textCost what a byte
	// of a head takes.
	fieldCost = 256
	textCost  = 2
	// writePiece is how many bytes are written at a time, so that the progress of a client
	// that reads a long answer can be seen.
	writePiece = 64 << 10
)

// Conn is a connection that came through a listener.
type Conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	// index is the place in the budget's list, which its lock guards.
	index int

	mu sync.Mutex
	progress
	// writingSince is since when a write has waited, or 0. isReadWaiting is set while a read
	// waits for the client.
	writingSince  time.Duration
	isReadWaiting atomic.Bool
	// isLeaving is set when the connection has been given up and its owner has not closed it,
	// and hasLeft when it has.
	isLeaving, hasLeft bool
	// isGivenUp is set when others go before the connection. While isReading is set, a
	// handler reads a body.
	isGivenUp, isClosed, isReading bool
	// isEnding is set with isGivenUp if the connection is closed at once: no request begins any more.
	isEnding bool
	// isHijacked is set when net/http has left the connection to a handler.
	isHijacked bool
	body       body
	// endWait ends the wait of the present request for memory, if it waits.
	endWait func()
	// workspace is that of the present request, if its connections are limited.
	workspace ring.Workspace
}

// waiting returns the progress, with the stage Writing while a write waits, and Working while
// nothing waits for the client to send the rest. The lock is held.
func (c *Conn) waiting() progress {
	p := c.progress
	switch {
	case c.writingSince != 0:
		p.enter(Writing, c.writingSince)
	case !c.isReadWaiting.Load() && (p.stage == Head || p.stage == Body):
		p.stage = Working
	}
	return p
}

// catchUp makes the client due now: what it sent has not been read yet.
func (c *Conn) catchUp(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = now
}

// hasUnread reports whether the connection holds bytes that have not been read.
func (c *Conn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Read implements net.Conn. Bytes of a head are charged as they arrive.
func (c *Conn) Read(b []byte) (int, error) {
	c.isReadWaiting.Store(true)
	n, err := c.Conn.Read(b)
	c.isReadWaiting.Store(false)
	if n > 0 && !c.recordRead(b[:n]) {
		c.giveUp(ReasonMemory, true, nil)
		return 0, errNoMemory
	}
	return n, err
}

// recordRead records the progress of the client. It returns false if there is no memory for the
// bytes of a head.
func (c *Conn) recordRead(b []byte) bool {
	now := c.listener.budget.now()
	c.mu.Lock()
	if c.isEnding {
		c.mu.Unlock()
		return false
	}
	if c.listener.isForNodes {
		c.stage = Working
	}
	stage := c.stage
	switch stage {
	case Head, Body:
		c.advance(len(b), now)
	case Idle:
		c.enter(Head, now)
	}
	c.mu.Unlock()
	if stage != Idle && stage != Head {
		return true
	}
	cost := textCost*len(b) + fieldCost*bytes.Count(b, newline)
	return c.awaitRoom(cost) && c.Charge(cost)
}

// awaitRoom waits until the heap has room for a large part of a head. It returns false if it has
// none in time.
func (c *Conn) awaitRoom(cost int) bool {
	if cost < largeCharge || c.listener.budget.room.has(cost) {
		return true
	}
	c.AwaitMemory(nil)
	if !c.listener.budget.awaitRoom(cost) {
		return false
	}
	now := c.listener.budget.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(Head, now)
	return true
}

var newline = []byte{'\n'}

// Charge charges n bytes for the head or a short body of the present request, until net/http has
// done with it. It returns false if they are not free.
func (c *Conn) Charge(n int) bool {
	if !c.listener.budget.takeHead(n, c) {
		return false
	}
	c.mu.Lock()
	isClosed := c.isClosed
	if !isClosed {
		c.held += n
	}
	c.mu.Unlock()
	if isClosed {
		c.listener.budget.heads.give(n)
	}
	return !isClosed
}

// chargeUpTo charges what is missing of n bytes for the head of the present request: net/http may
// have read it together with the request before. It returns false if that is not free.
func (c *Conn) chargeUpTo(n int) bool {
	c.mu.Lock()
	missing := n - c.held
	c.mu.Unlock()
	return missing <= 0 || c.Charge(missing)
}

// JoinWorkspace counts the connection for the workspace of its present request until that has been
// answered. It returns false if the workspace has too many. A nil connection is not counted.
func (c *Conn) JoinWorkspace(w ring.Workspace) bool {
	if c == nil || w == "" || c.listener.budget.limits.PerWorkspace <= 0 {
		return true
	}
	if !c.listener.budget.countWorkspace(w, 1) {
		return false
	}
	c.workspace = w // Only the goroutine of the request uses it.
	return true
}

// AwaitMemory records that the present request waits for memory. endWait, which may be nil, ends
// the wait if the connection is given up.
func (c *Conn) AwaitMemory(endWait func()) {
	now := c.listener.budget.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(Awaiting, now)
	c.endWait = endWait
}

// MarkLong records that n bytes are reserved for the body of the present request.
func (c *Conn) MarkLong(n int) {
	now := c.listener.budget.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.long, c.endWait = n, nil
	c.enter(Body, now)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		c.setWriting(c.listener.budget.now(), len(b))
		n, err := c.Conn.Write(piece)
		c.setWriting(0, 0)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// setWriting records since when a write of n bytes waits, or 0.
func (c *Conn) setWriting(since time.Duration, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince, c.writing = since, n
}

// SetReadDeadline implements net.Conn. While a body is given up, its reads fail at once.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isGivenUp && c.isReading {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return holder.SyscallConn()
}

// CloseWrite closes the sending side; the connection lingers, unless its listener closes at once.
// Then net/http, which would keep the goroutine and the request for half a second, must end it: it
// calls CloseWrite where it recovers from http.ErrAbortHandler, after the answer. A handler that has
// hijacked the connection may close the sending side as well; nobody would recover there.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	mustEnd := !c.isHijacked
	c.mu.Unlock()
	if c.listener.closesAtOnce && mustEnd {
		panic(http.ErrAbortHandler)
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	now := c.listener.budget.now()
	c.mu.Lock()
	c.enter(Lingering, now)
	c.mu.Unlock()
	return half.CloseWrite()
}

// Close implements net.Conn. A connection that has been given up is leaving until its owner, not
// giveUp, closes it: until then a goroutine may hold its request.
func (c *Conn) Close() error {
	err := c.closeInner()
	c.leave()
	return err
}

// leave frees the connection's place at the listener.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasLeft {
		return
	}
	c.hasLeft = true
	if c.isLeaving {
		c.listener.leaving.Add(-1)
	}
	c.listener.count.Add(-1)
}

// endAtOnce closes the connection for its owner. One that lingers has no request any more, so its
// place is free.
func (c *Conn) endAtOnce(isLingering bool) {
	_ = c.closeInner()
	if isLingering {
		c.leave()
		return
	}
	c.mu.Lock()
	endWait := c.endWait
	if !c.hasLeft && !c.isLeaving {
		c.isLeaving = true
		c.listener.leaving.Add(1)
	}
	c.mu.Unlock()
	if endWait != nil {
		endWait()
	}
}

// closeInner closes the connection below and gives back what was charged.
func (c *Conn) closeInner() error {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.isClosed = true
	held := c.held
	c.held = 0
	c.mu.Unlock()
	c.listener.budget.heads.give(held)
	c.listener.budget.remove(c)
	c.listener.countAddress(c.address, -1)
	return c.Conn.Close()
}

// giveUp turns the client away: at once, or by an error to the handler that reads its body, so
// that it can refuse the request. It returns false if the connection has moved on since seen, unless
// that is nil.
func (c *Conn) giveUp(why Reason, atOnce bool, seen *progress) bool {
	c.mu.Lock()
	if p := c.waiting(); seen != nil && (p.stage != seen.stage || (p.stage != Writing && p.due != seen.due)) {
		c.mu.Unlock()
		return false
	}
	if c.isGivenUp || c.isClosed {
		mustEnd := c.isGivenUp && atOnce && !c.isClosed
		c.isEnding = c.isEnding || mustEnd
		isLingering := c.stage == Lingering
		c.mu.Unlock()
		if mustEnd {
			c.endAtOnce(isLingering)
		}
		return true
	}
	c.isGivenUp = true
	isReading, isLingering := c.isReading, c.stage == Lingering
	c.isEnding = atOnce || !isReading
	if !atOnce && isReading {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	c.listener.budget.turnAway(why)
	if atOnce || !isReading {
		c.endAtOnce(isLingering)
	}
	return true
}

// takeHeld returns what is charged for the present request, which is no longer held.
func (c *Conn) takeHeld() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held
	c.held = 0
	return held
}

// recordState records a change of state that net/http reports.
func (c *Conn) recordState(to http.ConnState) {
	now := c.listener.budget.now()
	if to == http.StateIdle {
		c.listener.budget.heads.give(c.takeHeld())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case to == http.StateHijacked:
		c.isHijacked = true
	case c.stage == Lingering:
	case to == http.StateIdle:
		c.enter(Idle, now)
	case to == http.StateActive && c.stage == Idle:
		c.enter(Head, now)
	}
}

// beginRequest begins the stage of the body of a request, or of its handler if it has none. own is
// the request of net/http. It returns false if the connection is being closed.
func (c *Conn) beginRequest(r, own *http.Request) bool {
	now := c.listener.budget.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnding {
		return false
	}
	if r.Body == nil || r.Body == http.NoBody {
		c.stage = Working
		return true
	}
	c.enter(Body, now)
	c.isReading = true
	c.body = body{ReadCloser: r.Body, conn: c, request: own}
	r.Body = &c.body
	return true
}

// endRequest ends a request whose handler has returned. What is left of its body is read by
// net/http, which keeps the head until then.
func (c *Conn) endRequest() {
	now := c.listener.budget.now()
	c.mu.Lock()
	c.long, c.isReading, c.endWait = 0, false, nil
	if c.stage != Lingering {
		c.enter(Body, now)
	}
	c.mu.Unlock()
	if c.workspace != "" {
		c.listener.budget.countWorkspace(c.workspace, -1)
		c.workspace = ""
	}
}

// body is the body of the present request.
type body struct {
	io.ReadCloser
	conn *Conn
	// request is that of net/http, which gets the trailers.
	request *http.Request
}

// Read implements io.Reader. It returns ErrGivenUp if others go before this client.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if _, cost := countFields(b.request.Trailer); err == io.EOF && cost > 0 && !b.conn.Charge(cost) {
		err = ErrGivenUp
	}
	if err != nil {
		return n, b.conn.endBody(err)
	}
	return n, nil
}

// endBody records the end of a body with an error, which is io.EOF if it is complete, and
// returns the error that the handler gets.
func (c *Conn) endBody(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == io.EOF && !c.isEnding {
		c.isReading, c.long = false, 0
		if c.isGivenUp {
			// All of it has come all the same.
			c.isGivenUp = false
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
		if c.stage == Body {
			c.stage = Working
		}
		return err
	}
	if c.isGivenUp {
		return ErrGivenUp
	}
	return err
}
