package head

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// ReadResponse reads the head of the final response to a request with the method from a connection
// that carries no other response, and skips informational ones. All heads together have up to
// limit bytes. The errors of this function and of the body wrap ErrMalformed if a head or the
// trailer is malformed.
func ReadResponse(from net.Conn, limit int, method string) (*http.Response, error) {
	in, request := bufio.NewReader(&conn{Conn: from, limit: limit}), &http.Request{Method: method}
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

// conn is a connection that may carry several responses, one after the other. It passes heads on
// when all up to the final one have been checked: net/http takes a part of a line for the whole
// line if an error follows.
type conn struct {
	net.Conn
	// limit bounds the size of the heads of a response, in bytes.
	limit int

	mu      sync.Mutex
	checker checker
	// held is what has come of heads that are not whole. passed is to be passed on before anything
	// else is read, and err after it.
	held, passed []byte
	err          error
}

// expectResponse makes the connection check the heads of the next response.
func (c *conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.reset()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if n, err := c.take(p); n > 0 || err != nil {
			return n, err
		}
		n, err := c.Conn.Read(p)
		if c.isPassed(p[:n], err) {
			return n, err
		}
	}
}

// take returns what is to be passed on before anything else is read.
func (c *conn) take(p []byte) (int, error) {
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
func (c *conn) isPassed(read []byte, err error) bool {
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
