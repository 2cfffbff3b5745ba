package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
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

// bodyMemory bounds the memory that the bodies of all requests, or of all responses, take.
type bodyMemory struct {
	maxBody int

	mu sync.Mutex
	// free is how many bytes may still be allocated for large bodies.
	free int
	// freed is closed and replaced when bytes are returned.
	freed chan struct{}
}

// newBodyMemory returns a bodyMemory for bodies of up to maxBody bytes, of which the large
// ones take up to total bytes together.
func newBodyMemory(maxBody, total int) *bodyMemory {
	return &bodyMemory{maxBody: maxBody, free: total, freed: make(chan struct{})}
}

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
	if n > 0 {
		close(m.freed)
		m.freed = make(chan struct{})
	}
}

// await reserves n bytes. If they are not free, it waits until the context ends, and then
// returns false.
func (m *bodyMemory) await(ctx context.Context, n int) bool {
	for {
		m.mu.Lock()
		freed := m.freed
		m.mu.Unlock()
		if m.take(n) {
			return true
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

// readLength reads a body of the given length. If there is no memory for a large one, it
// waits until the context ends, before it reads anything, and then returns errBodyMemory.
// The caller must call done, which is never nil, when it no longer uses the body.
func (m *bodyMemory) readLength(ctx context.Context, in io.Reader, length int) (body []byte, done func(), err error) {
	done = func() {}
	if length > smallBody {
		if !m.await(ctx, length) {
			return nil, done, errBodyMemory
		}
		done = sync.OnceFunc(func() { m.release(length) })
	}
	body = make([]byte, length)
	_, err = io.ReadFull(in, body)
	return body, done, err
}

// readUnknown reads a body of unknown length, of which the reader yields at most limit bytes.
// For a large one it reserves limit bytes, as readLength does, after the first smallBody bytes.
func (m *bodyMemory) readUnknown(ctx context.Context, in io.Reader, limit int) (body []byte, done func(), err error) {
	done = func() {}
	body, err = readGrowing(in, min(limit, smallBody), nil)
	if err != errBodyFull {
		return body, done, err
	}
	if !m.await(ctx, limit) {
		return nil, done, errBodyMemory
	}
	done = sync.OnceFunc(func() { m.release(limit) })
	body, err = readInto(in, append(make([]byte, 0, limit+1), body...))
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
		if !m.take(size - held) {
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

// readGrowing reads a body into a buffer that doubles up to limit bytes. Before it grows
// beyond smallBody, reserve must return true for its new size.
func readGrowing(in io.Reader, limit int, reserve func(size int) bool) ([]byte, error) {
	body := make([]byte, 0, min(limit, 1<<10))
	for {
		var err error
		body, err = readInto(in, body)
		if err != errBodyFull || len(body) >= limit {
			return body, err
		}
		size := min(2*cap(body), limit)
		if size > smallBody && !reserve(size) {
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
