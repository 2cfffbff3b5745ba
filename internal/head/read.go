package head

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// Conn is a connection that passes a response on as it comes, but nothing of a malformed head and
// no end that is not known to be the server's. It may carry several requests and their responses,
// one after the other. It passes heads on when all up to the final one have been checked: net/http
// takes a part of a line for the whole line if an error follows.
type Conn struct {
	net.Conn
	// limit bounds the size of the heads of a response, in bytes.
	limit   int
	request *request

	mu      sync.Mutex
	checker checker
	// held is what has come of heads that are not whole. passed is to be passed on before anything
	// else is read, and err after it.
	held, passed []byte
	err          error
}

// NewConn returns a Conn that expects a request and its response. All heads of a response together
// have up to limit bytes.
func NewConn(c net.Conn, limit int) *Conn {
	return &Conn{Conn: c, limit: limit, request: newRequest()}
}

// WriteRequest writes the request of a connection that carries no other, in parts that follow each
// other.
func (c *Conn) WriteRequest(parts ...[]byte) error {
	var err error
	for _, part := range parts {
		if _, err = c.Write(part); err != nil {
			break
		}
	}
	c.request.end(err)
	return err
}

// RequestError waits until the request has been written or has failed, and returns its error.
func (c *Conn) RequestError() error { return c.request.wait() }

// ReadResponse reads the head of the final response to the request with the method, on a
// connection that carries no other, and skips informational ones. It may be called while the
// request is written. The errors of this function and of the body wrap ErrMalformed if a head or
// the trailer is malformed.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	in, request := bufio.NewReader(c), &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(in, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			checkTrailer(response)
			return response, nil
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.request.beginWrite()
	n, err := c.Conn.Write(p)
	c.request.endWrite(err)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.request.close()
	return err
}

// expectRequest makes the connection expect the next request and check the heads of its response.
func (c *Conn) expectRequest() {
	c.request.expect()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.reset()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if n, err := c.take(p); n > 0 || err != nil {
			return n, err
		}
		n, err := c.read(p)
		if c.isPassed(p[:n], err) {
			return n, err
		}
	}
}

// read reads from the connection. After a failed write of the request the end of an unframed
// response is an error: the write may have taken the error of a reset.
func (c *Conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == nil:
	case n > 0 && err == io.EOF:
		err = nil // The next call returns it again.
	case err != io.EOF:
		if writeErr := c.request.failure(); writeErr != nil {
			err = fmt.Errorf("%w (sending: %w)", err, writeErr)
		}
	case c.endsResponse():
		if writeErr := c.request.wait(); writeErr != nil {
			err = fmt.Errorf("response ended before its request was sent: %w (sending: %w)", io.ErrUnexpectedEOF, writeErr)
		}
	}
	return n, err
}

// passedStatus returns the status of the final head that has come since the request was expected,
// or 0 if none has.
func (c *Conn) passedStatus() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checker.isDone {
		return 0
	}
	return c.checker.status
}

// endsResponse reports whether the end of the connection is that of a response.
func (c *Conn) endsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.isDone && c.checker.isUnframed
}

// take returns what is to be passed on before anything else is read.
func (c *Conn) take(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.passed) == 0 {
		return 0, c.err
	}
	n := copy(p, c.passed)
	c.passed = c.passed[n:]
	return n, nil
}

// isPassed reports whether what was read, and the error, may be passed on as they are. Otherwise
// it keeps them for take.
func (c *Conn) isPassed(read []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checker.isDone {
		return true
	}
	if malformed := c.checker.check(read); malformed != nil {
		c.held, c.err = nil, malformed
		return false
	}
	if c.checker.size > c.limit {
		c.held, c.err = nil, ErrTooLong
		return false
	}
	if c.checker.isDone && len(c.held) == 0 {
		return true
	}
	c.held = append(c.held, read...)
	if c.checker.isDone || err != nil {
		c.held, c.passed, c.err = nil, c.held, err
	}
	return false
}

// body is the body of a response with a transfer coding, which may have a trailer.
type body struct {
	io.ReadCloser
	response *http.Response
}

// checkTrailer makes the body of a response end with an error if its trailer is malformed.
func checkTrailer(r *http.Response) {
	if len(r.TransferEncoding) > 0 {
		r.Body = body{r.Body, r}
	}
}

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var protocol textproto.ProtocolError
	switch {
	case err == io.EOF && !hasFieldNames(b.response.Trailer):
		err = malformed("name of a field in the trailer")
	case errors.As(err, &protocol):
		err = malformed("trailer")
	}
	return n, err
}

// hasFieldNames reports whether the names of all fields that have come are tokens.
func hasFieldNames(trailer http.Header) bool {
	for name, values := range trailer {
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}
