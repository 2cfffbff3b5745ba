package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	ring "eelgrassring.dev"
)

// Reason is why a client was turned away.
type Reason string

// The reasons: no place for a connection, too many of one address, no memory for a head or a
// short body, a client that others wait for or that has stalled too long, too many fields, and too
// many requests of one workspace.
const (
	ReasonConnections Reason = "connections"
	ReasonAddress     Reason = "address"
	ReasonMemory      Reason = "memory"
	ReasonStalled     Reason = "stalled"
	ReasonFields      Reason = "fields"
	ReasonWorkspace   Reason = "workspace"
)

// ErrGivenUp is the error of a body whose client did not send while others waited.
var ErrGivenUp = errors.New("the client did not send while others waited")

// errNoMemory ends the reading of a head that there is no memory for.
var errNoMemory = errors.New("no memory for the head")

// maxLate is how many clients, whose bytes have arrived and are not read, are passed over before one of them
// is given up all the same.
const maxLate = 16

const (
	// A listener has a spare place for each sparePart of its connections, and at least minSpare,
	// for those that have been given up and that their owners have not closed yet.
	sparePart = 8
	minSpare  = 8
	// leaveWait is how long a new connection waits at most for others to leave, fullWait for one that
	// may be given up, which is longer than freshGrace, and placePause the time between two looks.
	leaveWait  = time.Second
	fullWait   = 2 * freshGrace
	placePause = time.Millisecond
)

// sweepInterval is the time between two looks for clients that have stalled for too long.
const sweepInterval = time.Second

// Budget is what the listeners of a process share.
type Budget struct {
	limits Limits
	stall  time.Duration
	begin  time.Time
	// report gets how many clients were turned away in the last sweepInterval, for each reason.
	report func(map[Reason]int)
	heads  bytesLeft
	room   room
	// candidates are those of the look under way.
	candidates candidates

	mu     sync.Mutex
	conns  []*Conn
	turned map[Reason]int
	// workspaces counts the connections with a request of each workspace, if they are limited.
	workspaces map[ring.Workspace]int
}

// NewBudget returns a Budget. A client that is overdue for stall is turned away, also while nobody
// waits. While Run runs, report gets once a second how many clients were turned away for each
// reason, if there were any.
func NewBudget(l Limits, stall time.Duration, report func(map[Reason]int)) *Budget {
	h := &Budget{limits: l, stall: stall, begin: time.Now(), report: report, turned: map[Reason]int{}, workspaces: map[ring.Workspace]int{}}
	h.heads.free = l.part(headParts)
	h.room.max = int64(roomPart * float64(l.Memory))
	return h
}

// now returns the time since the budget was made.
func (h *Budget) now() time.Duration { return time.Since(h.begin) }

// Limits returns the limits.
func (h *Budget) Limits() Limits { return h.limits }

// Run turns clients away that have stalled for too long, until the context ends.
func (h *Budget) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.sweep(h.now())
			if turned := h.takeTurned(); len(turned) > 0 {
				h.report(turned)
			}
		}
	}
}

// turnAway counts a client that is turned away.
func (h *Budget) turnAway(why Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turned[why]++
}

// takeTurned returns the counts since the last call.
func (h *Budget) takeTurned() map[Reason]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.turned
	h.turned = map[Reason]int{}
	return out
}

// countWorkspace counts a connection with a request of a workspace. It returns false if the
// workspace has too many.
func (h *Budget) countWorkspace(w ring.Workspace, n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n > 0 && h.workspaces[w] >= h.limits.PerWorkspace {
		h.turned[ReasonWorkspace]++
		return false
	}
	h.workspaces[w] += n
	if h.workspaces[w] == 0 {
		delete(h.workspaces, w)
	}
	return true
}

// sweep closes the connections whose clients have stalled for too long.
func (h *Budget) sweep(now time.Duration) {
	for _, c := range h.open() {
		c.mu.Lock()
		p := c.waiting()
		isStalled := (p.stage == Body || p.stage == Writing) && p.overdue(now) >= h.stall
		c.mu.Unlock()
		if isStalled {
			c.giveUp(ReasonStalled, true, &p)
		}
	}
}

// open returns the open connections.
func (h *Budget) open() []*Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Conn(nil), h.conns...)
}

// add adds an open connection, and remove removes it.
func (h *Budget) add(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.index = len(h.conns)
	h.conns = append(h.conns, c)
}

func (h *Budget) remove(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.conns) - 1
	h.conns[c.index] = h.conns[last]
	h.conns[c.index].index = c.index
	h.conns[last] = nil
	h.conns = h.conns[:last]
}

// candidates are the connections that may be given up, as they were when they were looked at. The
// lists are used again: many clients that wait must not fill the heap with them.
type candidates struct {
	mu    sync.Mutex
	conns []*Conn
	seen  []progress
	// asker is the place of the connection that is never given up, or -1.
	asker int
	// ending is how many bytes for long bodies those hold that have been given up already.
	ending int
}

// look fills the lists with the connections, of those that belong to the listener unless it is nil,
// that may be given up for one that needs something. The lock is held.
func (a *candidates) look(h *Budget, what need, asker *Conn, only *Listener) {
	a.conns, a.seen, a.asker, a.ending = a.conns[:0], a.seen[:0], -1, 0
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		if (only != nil && c.listener != only) || (c.listener.isForNodes && what != needConnection) {
			continue
		}
		c.mu.Lock()
		if c.isGivenUp {
			a.ending += c.long
		}
		if !c.isGivenUp || (what == needConnection && c.stage == Lingering) {
			a.conns, a.seen = append(a.conns, c), append(a.seen, c.waiting())
		}
		c.mu.Unlock()
		if c == asker {
			a.asker = len(a.conns) - 1
		}
	}
}

// relieve gives up the connection, of those that belong to the listener unless it is nil, that is
// chosen for one that needs something. It returns false if there is none.
func (h *Budget) relieve(what need, asker *Conn, only *Listener) bool {
	a := &h.candidates
	a.mu.Lock()
	defer a.mu.Unlock()
	a.look(h, what, asker, only)
	defer a.clear()
	return h.giveUpOne(a, what, h.now()) >= 0
}

// clear lets go of the connections. The lock is held.
func (a *candidates) clear() { clear(a.conns) }

// giveUpOne gives up the chosen one of the candidates, and returns its place, or -1 if there is none.
func (h *Budget) giveUpOne(a *candidates, what need, now time.Duration) int {
	reason := ReasonStalled
	if what == needConnection {
		reason = ReasonConnections
	}
	conns, seen := a.conns, a.seen
	for late := 0; ; {
		i := choose(len(conns), func(i int) *progress { return &seen[i] }, what, a.asker, now)
		switch {
		case i < 0:
			return -1
		case late < maxLate && seen[i].awaitsClient() && conns[i].hasUnread():
			late++
			seen[i].due = now // The process is late, not the client.
			conns[i].catchUp(now)
		case late == maxLate && what == needConnection:
			return -1 // Accept tries again.
		case conns[i].giveUp(reason, what != needBody, &seen[i]):
			return i
		default:
			seen[i].stage = Working // It has moved on.
		}
	}
}

// RelieveBodies gives up bodies that are overdue, the longest first, until those that are given up
// hold the missing bytes; the memory is free when their requests have been refused.
func (h *Budget) RelieveBodies(missing int) {
	a := &h.candidates
	a.mu.Lock()
	defer a.mu.Unlock()
	a.look(h, needBody, nil, nil)
	defer a.clear()
	for now := h.now(); a.ending < missing; {
		i := h.giveUpOne(a, needBody, now)
		if i < 0 {
			return
		}
		a.ending += a.seen[i].long
		a.seen[i].stage = Working // It is not given up twice.
	}
}

// RelieveAnswers gives up the client that has not read its answer for longest.
func (h *Budget) RelieveAnswers(int) { h.relieve(needAnswer, nil, nil) }

// takeHead charges n bytes for a head or a short body of the connection.
func (h *Budget) takeHead(n int, c *Conn) bool {
	for !h.heads.take(n) {
		if !h.relieve(needHead, c, nil) {
			return false
		}
	}
	return true
}

// Listener limits the connections of a net.Listener.
type Listener struct {
	budget *Budget
	max    int64
	// closesAtOnce is set if no connection lingers, and isForNodes if the connections are those of
	// other nodes.
	closesAtOnce, isForNodes bool
	// count is the number of connections that their owners have not closed, leaving that of those
	// among them that have been given up, and addresses the number of each remote address.
	count, leaving atomic.Int64
	mu             sync.Mutex
	addresses      map[netip.Addr]int
}

// Callers returns a listener for callers. It may be used for one net.Listener.
func (h *Budget) Callers() *Listener {
	return &Listener{budget: h, max: int64(h.limits.maxConnections()), addresses: map[netip.Addr]int{}}
}

// auxiliaryPart is the part of the callers' connections that another listener may have.
const auxiliaryPart = 8

// Auxiliary returns a listener for readiness checks, operators or other nodes. Its connections do
// not linger: it has few places, and what is asked there takes no body that is left unread.
func (h *Budget) Auxiliary() *Listener {
	return &Listener{budget: h, max: int64(max(h.limits.maxConnections()/auxiliaryPart, auxiliaryPart)), closesAtOnce: true, addresses: map[netip.Addr]int{}}
}

// nodePart is the part of the descriptors that other nodes may have, and minNodes how many
// connections they may have at least.
const (
	nodePart = 8
	minNodes = 64
)

// Nodes returns a listener for other nodes. Only the number of its connections is limited: one that
// has sent nothing is given up for a new one, and one that has sent something is served for as long
// as it is open.
func (h *Budget) Nodes() *Listener {
	return &Listener{budget: h, max: int64(max(h.limits.Descriptors/nodePart, minNodes)), isForNodes: true, addresses: map[netip.Addr]int{}}
}

// Listen returns a net.Listener whose connections count at l.
func (d *Listener) Listen(l net.Listener) net.Listener { return &acceptor{Listener: l, listener: d} }

// acceptor adds its connections to those of the listener.
type acceptor struct {
	net.Listener
	listener *Listener
}

// Accept implements net.Listener. A connection that there is no place for is closed unread.
func (l *acceptor) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.listener.enter(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// enter returns the connection if there is a place for it, and nil otherwise.
func (d *Listener) enter(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: d, address: addressOf(inner)}
	if !d.countAddress(c.address, 1) {
		d.budget.turnAway(ReasonAddress)
		return nil
	}
	if !d.awaitPlace() {
		d.countAddress(c.address, -1)
		d.budget.turnAway(ReasonConnections)
		return nil
	}
	d.count.Add(1)
	c.progress.enter(Idle, d.budget.now())
	d.budget.add(c)
	return c
}

// awaitPlace gives up a connection if there is no place for a new one, and waits until there is
// one. It returns false if there will be none in time.
func (d *Listener) awaitPlace() bool {
	full := time.Duration(0)
	for waited := time.Duration(0); waited < leaveWait && full < fullWait; waited += placePause {
		count := d.count.Load() // First: a connection that leaves between the two has a place.
		switch {
		case count-d.leaving.Load() >= d.max:
			if d.budget.relieve(needConnection, nil, d) {
				continue
			}
			full += placePause
		case count < d.max+max(minSpare, d.max/sparePart):
			return true
		}
		time.Sleep(placePause)
	}
	return false
}

// countAddress counts a connection of an address. It returns false if the address has too many.
func (d *Listener) countAddress(a netip.Addr, n int) bool {
	limit := d.budget.limits.PerAddress
	if limit <= 0 || d.isForNodes {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n > 0 && d.addresses[a] >= limit {
		return false
	}
	d.addresses[a] += n
	if d.addresses[a] == 0 {
		delete(d.addresses, a)
	}
	return true
}

// addressOf returns the remote address of a connection, without its port.
func addressOf(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Protect makes the server serve the connections of the listener: it sets ConnContext, and adds to
// Handler and ConnState.
func (d *Listener) Protect(s *http.Server) {
	next, state := s.Handler, s.ConnState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c := connOf(conn); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(conn net.Conn, to http.ConnState) {
		if state != nil {
			state(conn, to)
		}
		if c := connOf(conn); c != nil {
			c.recordState(to)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		fields, cost := countFields(r.Header)
		if fields > d.budget.limits.Fields {
			d.budget.turnAway(ReasonFields)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		own := r
		if r.Body != nil && r.Body != http.NoBody {
			own = r.WithContext(r.Context()) // net/http goes by the type of the body of its own request.
		}
		if !c.beginRequest(own, r) {
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest()
		if !c.chargeUpTo(cost) {
			c.giveUp(ReasonMemory, true, nil)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, own)
	})
}

// countFields returns the number of header fields, and what they take in memory.
func countFields(h http.Header) (fields, cost int) {
	for name, values := range h {
		fields += len(values)
		for _, v := range values {
			cost += fieldCost + textCost*(len(name)+len(v))
		}
	}
	return fields, cost
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// FromContext returns the connection of a request, or nil if it did not come through a listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// WithConn returns a context with the connection of a request, whose context is given.
func WithConn(ctx, request context.Context) context.Context {
	if c := FromContext(request); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a listener that conn is or wraps, or nil.
func connOf(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
