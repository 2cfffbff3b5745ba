// Package head reads responses: their heads by the grammar of HTTP/1.1 (RFC 9110, RFC 9112), and
// the end of those that end with their connection.
//
// net/http accepts more heads: a status of three characters that are a number, such as +20 or 000,
// and a blank in the name of a field, which it then does not find. It and the reader of a forwarded
// response would see different fields, or another end of the body.
//
// The head of a response is its status line and its fields, up to an empty line. Heads of
// informational responses (1xx) come before the final one. A head is malformed, and no response,
// if
//
//   - its status line is not "HTTP/1.", a digit, one blank, a status from 100 to 999 and, if it
//     goes on, a blank and a reason without control characters other than tabs;
//   - its status is 101, since no request asks for another protocol;
//   - a field has no colon, its name is not a token, or its value holds a control character other
//     than a tab;
//   - the first line after the status line begins with a blank;
//   - the length of the body is not a number, or is given twice with different values;
//   - the transfer coding is not "chunked", once, or comes with a length or in HTTP/1.0.
//
// A head may be unlike most: it may have no reason, a status without a meaning (600 to 999 count
// as failures of the server), folded values, lines that end without a carriage return, names in
// any case, and any number of informational heads before it within the limit on the size of all.
//
// A response with neither a length nor chunks ends with its connection. When a connection ends by a
// reset or a time-out, the kernel reports that once, to the call that comes first. If that is a
// write of the request, reads return what has arrived, and then the end of the stream, as if the
// server had closed the connection in order. So the end counts only after the whole request has
// been written, and not after a failed write. A read waits for a write that is under way: it may
// see the end before the write returns. A server may respond early and end its side, as long as it
// reads the request to its end. If it closes the connection before that, its response cannot be
// told from a part of one.
//
// On a connection that is kept, what a server sends after the end of a response belongs to none.
// net/http may have read it together with that response, and would take it for the response to the
// next request. So the head of a response must come after its request got the connection.
//
// Invariants: no response is returned of which a head is malformed, nor the end of a body whose
// trailer has a malformed field, nor the end of one that ends with a connection to which the
// request could not be written. What is read is passed on unchanged. A malformed head proves
// nothing but that the request may have run. Errors hold no part of what was read: it may be part
// of a body.
package head

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformed is wrapped by the errors of responses whose head or trailer is malformed.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLong is the error of heads that exceed the limit.
	ErrTooLong = errors.New("response header is too long")
)

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, values ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, values...)...)
}

// checker checks the heads of a response as their bytes arrive.
type checker struct {
	// lines counts the lines of the current head, and size the bytes of all heads.
	lines, size int
	// line holds what has arrived of the current line, and field the field before it, unfolded: the
	// line may continue it.
	line, field []byte
	isHTTP10    bool
	status      int
	// length is the length of the body as the head says it, or "", and hasCoding is set if the body
	// has a transfer coding.
	length    string
	hasCoding bool
	// isDone is set after the final head, and isUnframed if its body then ends with the connection,
	// unless the request allows none.
	isDone, isUnframed bool
}

// reset makes the checker expect the heads of the next response.
func (c *checker) reset() { *c = checker{line: c.line[:0], field: c.field[:0]} }

// check checks the next bytes, up to the end of the final head.
func (c *checker) check(p []byte) error {
	for len(p) > 0 && !c.isDone {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.line, c.size = append(c.line, p...), c.size+len(p)
			return nil
		}
		c.line, c.size = append(c.line, p[:end]...), c.size+end+1
		p = p[end+1:]
		if err := c.endLine(bytes.TrimSuffix(c.line, []byte("\r"))); err != nil {
			return err
		}
		c.line = c.line[:0]
	}
	return nil
}

// endLine checks a whole line.
func (c *checker) endLine(line []byte) error {
	c.lines++
	switch {
	case c.lines == 1:
		return c.readStatusLine(line)
	case len(line) == 0:
		return c.endHead()
	case line[0] != ' ' && line[0] != '\t':
		err := c.endField()
		c.field = append(c.field, line...)
		return err
	case len(c.field) == 0:
		return malformed("the first field begins with a blank")
	}
	c.field = append(append(c.field, ' '), bytes.Trim(line, " \t")...)
	return nil
}

// The parts of a status line.
const (
	versionPrefix = "HTTP/1."
	statusStart   = len(versionPrefix) + len("1 ")
	statusEnd     = statusStart + len("200")
)

// readStatusLine reads the status line.
func (c *checker) readStatusLine(line []byte) error {
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(versionPrefix)) || !isDigit(line[statusStart-2]) || line[statusStart-1] != ' ' {
		return malformed("status line without a version and a status")
	}
	reason := line[statusEnd:]
	if len(reason) > 0 && reason[0] != ' ' {
		return malformed("status line without a blank after the status")
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed("control character in the status line")
	}
	c.isHTTP10 = line[statusStart-2] == '0'
	c.status = 0
	for _, digit := range line[statusStart:statusEnd] {
		if !isDigit(digit) {
			return malformed("status that is no number")
		}
		c.status = 10*c.status + int(digit-'0')
	}
	if c.status < http.StatusContinue || c.status == http.StatusSwitchingProtocols {
		return malformed("status %03d", c.status)
	}
	return nil
}

// isDigit reports whether b is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// endField checks the field that came before the current line, if any.
func (c *checker) endField() error {
	if len(c.field) == 0 {
		return nil
	}
	name, value, hasColon := bytes.Cut(c.field, []byte(":"))
	switch {
	case !hasColon:
		return malformed("no colon in line %d", c.lines-1)
	case !httpguts.ValidHeaderFieldName(string(name)):
		return malformed("name of the field in line %d", c.lines-1)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return malformed("control character in line %d", c.lines-1)
	}
	var err error
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		err = c.readLength(string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		err = c.readCoding(bytes.Trim(value, " \t"))
	}
	c.field = c.field[:0]
	return err
}

// readLength reads the length of the body.
func (c *checker) readLength(value string) error {
	_, err := strconv.ParseUint(value, 10, 63)
	if err != nil || (c.length != "" && value != c.length) {
		return malformed("length of the body")
	}
	c.length = value
	return nil
}

// readCoding reads the transfer coding.
func (c *checker) readCoding(value []byte) error {
	if c.hasCoding || c.isHTTP10 || !bytes.EqualFold(value, []byte("chunked")) {
		return malformed("transfer coding")
	}
	c.hasCoding = true
	return nil
}

// endHead checks the whole head.
func (c *checker) endHead() error {
	if err := c.endField(); err != nil {
		return err
	}
	if c.length != "" && c.hasCoding {
		return malformed("both a length and a transfer coding")
	}
	c.isDone = c.status >= http.StatusOK
	c.isUnframed = c.length == "" && !c.hasCoding && c.status != http.StatusNoContent && c.status != http.StatusNotModified
	c.lines, c.length, c.hasCoding = 0, "", false
	return nil
}
