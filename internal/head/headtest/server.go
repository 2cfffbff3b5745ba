package headtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Server sends one of its texts after each request, in their order, and closes the connection
// after the last one. It sends the last one again after further requests.
type Server struct {
	Texts []string

	mu       sync.Mutex
	requests int
}

// Dial opens a connection to the server.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// next counts a request and returns its response, and whether that is the last one.
func (s *Server) next() (text string, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	n := min(s.requests, len(s.Texts))
	return s.Texts[n-1], n == len(s.Texts)
}

// serve serves a connection.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, isLast := s.next()
		if _, err := io.WriteString(c, text); err != nil || isLast {
			return
		}
	}
}
