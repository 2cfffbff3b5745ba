// Package endless plays backend servers in trouble, which send bytes without end
// until the caller closes the connection. Tests use it in virtual time.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// blockSize is the number of bytes per write of a response that comes fast.
	blockSize = 4 << 10
	// TricklePause is the time between two bytes of a response that comes slowly.
	TricklePause = 40 * time.Millisecond
	// maxSent is the number of bytes on one connection after which a server sends no
	// more, so that a test of a caller that reads on ends too.
	maxSent = 256 << 20
)

// Response is what a server sends: Start once, and then Unit until the connection is
// closed. If IsComplete is set, Start holds a complete response.
type Response struct {
	Name, Start, Unit string
	IsComplete        bool
}

// Heads returns responses whose head never ends.
func Heads() []Response {
	return []Response{
		{Name: "no status line", Unit: "x"},
		{Name: "status line", Start: "HTTP/1.1 200 ", Unit: "x"},
		{Name: "empty lines", Unit: "\r\n"},
		{Name: "header lines", Start: "HTTP/1.1 200 OK\r\n", Unit: "A: 1\r\n"},
		{Name: "header line", Start: "HTTP/1.1 200 OK\r\nA: ", Unit: "x"},
		{Name: "header name", Start: "HTTP/1.1 200 OK\r\n", Unit: "x"},
		{Name: "folded header lines", Start: "HTTP/1.1 200 OK\r\nA: 1\r\n", Unit: " x\r\n"},
		{Name: "informational responses", Unit: "HTTP/1.1 103 Early\r\nA: 1\r\n\r\n"},
		{Name: "informational header lines", Start: "HTTP/1.1 100 Continue\r\n", Unit: "A: 1\r\n"},
	}
}

// Bodies returns responses with the given header lines, each with its line end, whose
// body never ends.
func Bodies(status, header string) []Response {
	head := "HTTP/1.1 " + status + "\r\n" + header
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []Response{
		{Name: "body without length", Start: head + "\r\n", Unit: "x"},
		{Name: "long body", Start: head + "Content-Length: 1099511627776\r\n\r\n", Unit: "x"},
		{Name: "JSON string", Start: head + "\r\n{\"a\":\"", Unit: "x"},
		{Name: "space after JSON", Start: head + "\r\n{}", Unit: " "},
		{Name: "chunks", Start: chunked, Unit: "1\r\nx\r\n"},
		{Name: "one chunk", Start: chunked + "ffffffffff\r\n", Unit: "x"},
		{Name: "chunk size", Start: chunked, Unit: "0"},
		{Name: "chunk extension", Start: chunked + "1;", Unit: "x"},
		{Name: "chunk extensions", Start: chunked, Unit: "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
		{Name: "trailer line", Start: chunked + "2\r\n{}\r\n0\r\nA: ", Unit: "x"},
		{Name: "trailer lines", Start: chunked + "2\r\n{}\r\n0\r\n", Unit: "A: 1\r\n"},
	}
}

// Beyond returns complete responses with the given header lines and body that are
// followed by bytes without end.
func Beyond(status, header, body string) []Response {
	head := "HTTP/1.1 " + status + "\r\n" + header
	chunk := strconv.FormatInt(int64(len(body)), 16)
	return []Response{
		{Name: "after the length", Start: head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, Unit: "x", IsComplete: true},
		{Name: "after the last chunk", Start: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n" + body + "\r\n0\r\n\r\n", Unit: "x", IsComplete: true},
	}
}

// Server sends one Response on each connection, after it has read a request. If Slow is
// set, it sends the response's Unit a byte at a time.
type Server struct {
	Response Response
	Slow     bool

	mu       sync.Mutex
	sent     int
	requests []string
	// open counts the open connections.
	open atomic.Int64
}

// Dial opens a connection to the server.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.open.Add(1)
	go s.serve(server)
	return client, nil
}

// serve reads a request and sends the response until the connection is closed.
func (s *Server) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.requests = append(s.requests, req.Method+" "+req.RequestURI)
	s.mu.Unlock()
	s.Send(c)
}

// Send sends the response on a connection until it is closed.
func (s *Server) Send(c net.Conn) {
	if !s.write(c, s.Response.Start, false) {
		return
	}
	block := s.Response.Unit
	if !s.Slow {
		block = strings.Repeat(block, max(blockSize/len(block), 1))
	}
	for sent := 0; sent < maxSent; sent += len(block) {
		if !s.write(c, block, s.Slow) {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c) // Returns when the caller closes the connection.
}

// write sends text, slowly or at once, and counts the bytes that the caller has read. It
// returns false once the connection is closed.
func (s *Server) write(c net.Conn, text string, slow bool) bool {
	step := max(len(text), 1)
	if slow {
		step = 1
	}
	for len(text) > 0 {
		n, err := io.WriteString(c, text[:min(step, len(text))])
		s.mu.Lock()
		s.sent += n
		s.mu.Unlock()
		if err != nil {
			return false
		}
		text = text[n:]
		if slow {
			time.Sleep(TricklePause)
		}
	}
	return true
}

// Sent returns the number of bytes that callers have read on all connections.
func (s *Server) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Requests returns the method and target of each request.
func (s *Server) Requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// IsClosedWithin waits until callers have closed all connections, and reports whether
// they did so within d.
func (s *Server) IsClosedWithin(d time.Duration) bool { return isZeroWithin(&s.open, d) }

// pollInterval is the time between two checks of isZeroWithin.
const pollInterval = 5 * time.Millisecond

// isZeroWithin waits until a count is 0, and reports whether it was so within d.
func isZeroWithin(count *atomic.Int64, d time.Duration) bool {
	for end := time.Now().Add(d); count.Load() > 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
