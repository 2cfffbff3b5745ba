package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"eelgrassring.dev/internal/intake"
)

const (
	// maxRoutedBody bounds the body of a response to a Front that is not streamed. It is
	// twice the largest body that a caller may send on the platform. maxRoutedBodies
	// bounds the memory for the large bodies of all requests together: the smallest node
	// has 160 MB for everything.
	maxRoutedBody   = 8 << 20
	maxRoutedBodies = 24 << 20
	// maxDeclaredBody and maxDeclaredBodies are the same for a Server.
	maxDeclaredBody   = 64 << 20
	maxDeclaredBodies = 160 << 20
	// maxCallerBodies bounds the memory for the large bodies of callers at a Front.
	maxCallerBodies = 48 << 20
	// smallBody is the size up to which a body is not counted, so that large ones do not
	// keep small ones from being read.
	smallBody = 64 << 10
)

// errBodyMemory is returned for a large body that all memory for such bodies would not
// suffice for.
var errBodyMemory = errors.New("the memory for large bodies is in use")

const (
	// uploadRate orders the requests that wait for memory: one for n bytes goes before those that
	// came n bytes later at this rate, so that a short body does not wait behind long ones.
	uploadRate = 4 << 20
	// relieveInterval is how often a waiting request has others given up, and relievePause the
	// least time between two times of all of them: each looks at all connections.
	relieveInterval = 50 * time.Millisecond
	relievePause    = 10 * time.Millisecond
	// muchShorter is how many times a body that does not fit must be as long as one that came
	// later and passes it.
	muchShorter = 4
	// answerWait is how long a large answer waits for memory while a client that does not read
	// is given up.
	answerWait = 200 * time.Millisecond
	// firstBuffer is the first size of a buffer for a body; it grows by bufferGrowth with what
	// has arrived.
	firstBuffer  = 4 << 10
	bufferGrowth = 4
)

// bodyMemory bounds the memory that the bodies of all requests, or of all responses, take.
type bodyMemory struct {
	maxBody int
	total   int
	// relieve makes clients that hold memory without progress give up as much as is missing, and
	// hasRoom reports whether the heap has room for a body. They may be nil.
	relieve func(missing int)
	hasRoom func(n int) bool

	mu sync.Mutex
	// free is how many bytes may still be allocated for large bodies. A body leaves as many as it
	// has itself free for shorter ones, at most kept bytes.
	free, kept int
	// waiters are the requests that wait for bytes, in the order in which they get them.
	waiters []*bodyWaiter
	// relievedAt is when relieve was called last for one of them.
	relievedAt time.Time
}

// bodyWaiter is a request that waits for n bytes. granted is closed when it has got them.
type bodyWaiter struct {
	n       int
	order   time.Time
	granted chan struct{}
}

// newBodyMemory returns a bodyMemory for bodies of up to maxBody bytes, of which the large
// ones take up to total bytes together.
func newBodyMemory(maxBody, total int) *bodyMemory {
	return &bodyMemory{maxBody: maxBody, total: total, free: total}
}

// useIntake returns the memory for the bodies of callers and that for answers within the
// budget of a budget, or as given if there is none.
func useIntake(h *intake.Budget, callers, answers *bodyMemory) (*bodyMemory, *bodyMemory) {
	if h == nil {
		return callers, answers
	}
	callers.setTotal(max(h.Limits().BodyBytes(), keptPart*callers.maxBody/(keptPart-1)+keptPart))
	callers.kept = callers.total / keptPart
	callers.relieve, callers.hasRoom = h.RelieveBodies, h.HasRoom
	if l := h.Limits(); l.Memory > 0 || l.Budget > 0 { // Otherwise nothing changes.
		answers.setTotal(min(l.AnswerBytes(), answers.total))
	}
	answers.relieve = h.RelieveAnswers
	return callers, answers
}

// keptPart is the part of the memory for callers' bodies that is kept for shorter ones.
const keptPart = 8

// setTotal sets the bytes for large bodies before the first is read.
func (m *bodyMemory) setTotal(n int) { m.total, m.free = n, n }

// fits reports whether n bytes are free. mu is held.
func (m *bodyMemory) fits(n int) bool { return m.free >= n+min(n, m.kept) }

// take reserves n bytes. It returns false if they are not free.
func (m *bodyMemory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free < n {
		return false
	}
	m.free -= n
	return true
}

// release returns n reserved bytes.
func (m *bodyMemory) release(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
	m.grant()
}

// grant gives the waiting requests what is free, in their order. One that does not fit is passed
// by much shorter ones. mu is held.
func (m *bodyMemory) grant() {
	limit := math.MaxInt // What the next one may have at most.
	m.waiters = slices.DeleteFunc(m.waiters, func(w *bodyWaiter) bool {
		if w.n > limit {
			return false
		}
		if !m.fits(w.n) || (m.hasRoom != nil && !m.hasRoom(w.n)) {
			limit = min(limit, w.n/muchShorter)
			return false
		}
		m.free -= w.n
		close(w.granted)
		return true
	})
}

// missing returns how many bytes those that wait lack. mu is held.
func (m *bodyMemory) missing() int {
	n := -m.free
	for _, w := range m.waiters {
		n += w.n + min(w.n, m.kept)
	}
	return min(n, m.total)
}

// join adds a waiting request, unless it gets its bytes at once; then it returns nil.
func (m *bodyMemory) join(n int) *bodyWaiter {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &bodyWaiter{n: n, order: time.Now().Add(time.Duration(n) * time.Second / uploadRate), granted: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(m.waiters, w, func(a, b *bodyWaiter) int {
		if a.order.After(b.order) {
			return 1
		}
		return -1
	})
	m.waiters = slices.Insert(m.waiters, i, w)
	m.grant()
	select {
	case <-w.granted:
		return nil
	default:
		return w
	}
}

// leave removes a waiting request. It returns false if it has got its bytes.
func (m *bodyMemory) leave(w *bodyWaiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiters, w)
	if i < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	m.grant()
	return true
}

// await reserves n bytes. If they are not free, it waits until the context ends, and then
// returns false.
func (m *bodyMemory) await(ctx context.Context, n int) bool {
	w := m.join(n)
	if w == nil {
		return true
	}
	ticker := time.NewTicker(relieveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
			return !m.leave(w)
		case <-ticker.C:
			m.retry()
		}
	}
}

// retry gives the waiting requests what has become free, and has clients that make no progress
// give up what is missing.
func (m *bodyMemory) retry() {
	now := time.Now()
	m.mu.Lock()
	m.grant()
	mustRelieve := m.relieve != nil && len(m.waiters) > 0 && now.Sub(m.relievedAt) >= relievePause
	if mustRelieve {
		m.relievedAt = now
	}
	missing := m.missing()
	m.mu.Unlock()
	if mustRelieve {
		m.relieve(missing)
	}
}

// takeOrRelieve reserves n bytes for an answer. If they are not free, it has a client that
// does not read its answer given up.
func (m *bodyMemory) takeOrRelieve(n int) bool {
	if m.take(n) {
		return true
	}
	if m.relieve == nil || n > m.total {
		return false
	}
	m.relieve(n)
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	return m.await(ctx, n)
}

// readCaller reads a caller's body of the given length, or of an unknown one if that is below 0
// or above the limit; see readLength and readUnknown.
func (m *bodyMemory) readCaller(ctx context.Context, in io.Reader, length, limit int64) (body []byte, done func(), err error) {
	if length < 0 || length > limit {
		return m.readUnknown(ctx, in, int(min(limit, int64(m.total-m.kept))))
	}
	return m.readLength(ctx, in, int(length))
}

// readLength reads a body of the given length. If there is no memory for a large one, it
// waits until the context ends, before it reads anything, and then returns errBodyMemory.
// The caller must call done, which is never nil, when it no longer uses the body.
func (m *bodyMemory) readLength(ctx context.Context, in io.Reader, length int) (body []byte, done func(), err error) {
	done, err = m.reserve(ctx, length)
	if err != nil {
		return nil, done, err
	}
	body = make([]byte, 0, min(length, firstBuffer))
	for {
		body, err = readInto(in, body)
		if err == errBodyFull && len(body) == length {
			return body, done, nil
		}
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
		if err != errBodyFull {
			return body, done, err
		}
		body = append(make([]byte, 0, min(bufferGrowth*cap(body), length)), body...)
	}
}

// reserve reserves length bytes. A small body is charged to its connection.
func (m *bodyMemory) reserve(ctx context.Context, length int) (done func(), err error) {
	conn := intake.FromContext(ctx)
	if length <= smallBody {
		if conn != nil && !conn.Charge(length) {
			return func() {}, errBodyMemory
		}
		return func() {}, nil
	}
	if conn != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		conn.AwaitMemory(cancel)
	}
	if !m.await(ctx, length) {
		return func() {}, errBodyMemory
	}
	if conn != nil {
		conn.MarkLong(length)
	}
	return sync.OnceFunc(func() { m.release(length) }), nil
}

// readUnknown reads a body of unknown length, of which the reader yields at most limit bytes.
// For a large one it reserves limit bytes, as readLength does, after the first smallBody bytes.
func (m *bodyMemory) readUnknown(ctx context.Context, in io.Reader, limit int) (body []byte, done func(), err error) {
	conn, charged := intake.FromContext(ctx), 0
	charge := func(size int) bool {
		if conn != nil && !conn.Charge(size-charged) {
			return false
		}
		charged = size
		return true
	}
	body, err = readGrowing(in, min(limit, smallBody), charge)
	if err != errBodyFull {
		return body, func() {}, err
	}
	done, err = m.reserve(ctx, max(limit, smallBody+1))
	if err != nil {
		return nil, done, err
	}
	for err = errBodyFull; err == errBodyFull && len(body) <= limit; {
		body = append(make([]byte, 0, min(bufferGrowth*cap(body), limit+1)), body...)
		body, err = readInto(in, body)
	}
	return body, done, err
}

// read reads a body to its end. It returns an error if the body is longer than maxBody or
// there is no memory for it. The caller must call done, which is never nil, when it no
// longer uses the body.
func (m *bodyMemory) read(in io.Reader) (body []byte, done func(), err error) {
	held := 0
	done = func() {
		m.release(held)
		held = 0
	}
	body, err = readGrowing(in, m.maxBody+1, func(size int) bool {
		if size <= smallBody {
			return true
		}
		if !m.takeOrRelieve(size - held) {
			return false
		}
		held = size
		return true
	})
	switch {
	case len(body) > m.maxBody:
		return nil, done, fmt.Errorf("body exceeds %d bytes", m.maxBody)
	case err != nil:
		return nil, done, err
	}
	return body, done, nil
}

// errBodyFull is returned with a body that may have more than fits.
var errBodyFull = errors.New("the body is longer than its buffer")

// readGrowing reads a body into a buffer that doubles up to limit bytes. Before it grows,
// reserve must return true for its new size.
func readGrowing(in io.Reader, limit int, reserve func(size int) bool) ([]byte, error) {
	body := make([]byte, 0, min(limit, 1<<10))
	for {
		var err error
		body, err = readInto(in, body)
		if err != errBodyFull || len(body) >= limit {
			return body, err
		}
		size := min(2*cap(body), limit)
		if !reserve(size) {
			return nil, errBodyMemory
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// readInto appends to body, within its capacity, until the reader ends with io.EOF.
func readInto(in io.Reader, body []byte) ([]byte, error) {
	for len(body) < cap(body) {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, errBodyFull
}
