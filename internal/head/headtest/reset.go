package headtest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ErrReset is the error of a write on a connection that was reset.
var ErrReset error = &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}

// SlowConn is a connection whose writes return some time after the server has read what they
// wrote. With ErrReset as Err it is one that was reset: a write takes the error, and reads end as
// if the server had closed the connection in order.
type SlowConn struct {
	net.Conn
	// Delay is the time after which a write returns.
	Delay time.Duration
	// Err is the error of the write after which at least Upload bytes have been written. A server
	// that reads a whole upload of that size before it responds has read it then.
	Err    error
	Upload int

	written int
}

// Write implements net.Conn.
func (c *SlowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(c.Delay)
	c.written += n
	if err == nil && c.Err != nil && c.written >= c.Upload {
		return n - 1, c.Err
	}
	return n, err
}

// EarlyServer is a server over TCP that responds to uploads while they are being written. It
// responds to other requests too, such as those that check whether it lives.
type EarlyServer struct {
	// Part is sent after the first bytes of the first Resets uploads, whose connections are reset
	// after Pause.
	Part   string
	Resets int
	Pause  time.Duration
	// Whole is the response to all other requests. If EndsEarly is set, the server sends it after
	// the first bytes as well, ends its side of the connection, and reads the rest of the upload.
	Whole     string
	EndsEarly bool
	// ReadBuffer is the size of the receive buffer of connections that are reset, in bytes, or 0
	// for the usual one.
	ReadBuffer int

	mu      sync.Mutex
	uploads int
}

// Uploads returns the number of uploads so far.
func (s *EarlyServer) Uploads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uploads
}

// Serve serves connections until the listener is closed.
func (s *EarlyServer) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// serve serves a connection with one request.
func (s *EarlyServer) serve(c *net.TCPConn) {
	defer c.Close()
	first := make([]byte, 512)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	method, _, _ := strings.Cut(string(first[:n]), " ")
	if method != http.MethodPost && method != http.MethodPut {
		_, _ = io.WriteString(c, Sound(http.StatusOK, "", ""))
		return
	}
	s.mu.Lock()
	s.uploads++
	isReset := s.uploads <= s.Resets
	s.mu.Unlock()
	switch {
	case isReset:
		if s.ReadBuffer > 0 {
			_ = c.SetReadBuffer(s.ReadBuffer)
		}
		_, _ = io.WriteString(c, s.Part)
		time.Sleep(s.Pause)
		_ = c.SetLinger(0)
	case s.EndsEarly:
		_, _ = io.WriteString(c, s.Whole)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	default:
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(first[:n]), c)))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, s.Whole)
		}
	}
}
