package head

import (
	"net"
	"sync"
)

// request is the state of writing a request to a connection.
type request struct {
	mu      sync.Mutex
	changed *sync.Cond
	// isWriting is set during a write, and hasBegun from the first one on.
	isWriting, hasBegun bool
	// isEnded is set once nothing of the request is left to be written, or it has failed with err.
	isEnded  bool
	err      error
	isClosed bool
}

// newRequest returns the state of a request of which nothing has been written.
func newRequest() *request {
	r := &request{}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// update calls do and wakes those who wait.
func (r *request) update(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	r.changed.Broadcast()
}

// fail records the first error.
func (r *request) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// expect begins the next request, of which nothing has been written.
func (r *request) expect() {
	r.update(func() { r.isWriting, r.hasBegun, r.isEnded, r.err = false, false, false, nil })
}

// beginWrite is called before each write, and endWrite with its error after it.
func (r *request) beginWrite() {
	r.update(func() { r.isWriting, r.hasBegun = true, true })
}

func (r *request) endWrite(err error) {
	r.update(func() {
		r.isWriting = false
		r.fail(err)
	})
}

// end records that nothing more is written, or why not. The last write may still follow or be
// under way.
func (r *request) end(err error) {
	r.update(func() {
		r.isEnded = true
		r.fail(err)
	})
}

// close records that the connection is closed, which makes later writes fail.
func (r *request) close() {
	r.update(func() { r.isClosed = true })
}

// failure returns the error of the request so far.
func (r *request) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// wait waits until the whole request has been written, or has failed, and returns its error.
func (r *request) wait() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.err == nil {
		switch {
		case r.isWriting:
		case r.hasBegun && r.isEnded:
			return nil
		case r.isClosed:
			return net.ErrClosed
		}
		r.changed.Wait()
	}
	return r.err
}
