package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sort"
	"strconv"
	"time"

	ring "eelgrassring.dev"
)

const (
	// connectTimeout bounds the opening of a connection; a lost packet of the
	// handshake is sent again only after a second.
	connectTimeout = 300 * time.Millisecond
	// maxInlineBody is the size up to which a body is written before the answer
	// is read; a longer one is written beside it, for a server may answer early.
	maxInlineBody = 16 << 10
	// maxResponseHeads bounds the informational answers before the final one.
	maxResponseHeads = 8
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// exchange is one request on a connection of its own, and its answer. The
// connection is never used again, so that no answer of another request can
// stand where this one's is due.
type exchange struct {
	conn      net.Conn
	response  *http.Response
	header    ring.AnswerHeader
	stopAbort func() bool
}

// close ends the exchange; a server that still works at it stops.
func (x *exchange) close() {
	x.stopAbort()
	x.conn.Close()
}

// abort makes every read and write of the exchange fail.
func (x *exchange) abort() { _ = x.conn.SetDeadline(time.Unix(1, 0)) }

// sendAttempt sends one try of the call to a server and reads the head of its
// answer. The context's end breaks it off.
func (f *Front) sendAttempt(ctx context.Context, v *frontRequest, server ring.Server, lastEvent string, deadline time.Time) (*exchange, *attemptError) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := f.config.Dial(dialCtx, "tcp", server.Address)
	cancel()
	if err != nil {
		return nil, &attemptError{stage: stageNotSent, err: err}
	}
	v.sentAt = time.Now()
	_ = conn.SetDeadline(deadline)
	x := &exchange{conn: conn}
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	sent := make(chan error, 1)
	request := f.requestHead(v, server, lastEvent)
	if len(v.body) <= maxInlineBody {
		_, err := conn.Write(append(request, v.body...))
		sent <- err
	} else {
		go func() {
			_, err := conn.Write(append(request, v.body...))
			sent <- err
		}()
	}
	if err := x.readHead(v); err != nil {
		x.close()
		if writeErr := <-sent; writeErr != nil {
			err = fmt.Errorf("%w (sending: %w)", err, writeErr)
		}
		v.mayHaveRun = true
		return nil, &attemptError{stage: stageSent, err: err}
	}
	x.header = f.config.Dialect.ReadAnswer(x.response.StatusCode, x.response.Header)
	if x.header.ID != "" && x.header.ID != v.header.ID {
		f.config.Metrics.Count("foreign_answers", 1)
		x.close()
		v.mayHaveRun = true
		return nil, &attemptError{stage: stageSent, err: fmt.Errorf("answer of another request: %s", x.header.ID)}
	}
	v.mayHaveRun = v.mayHaveRun || !x.header.NotRun
	return x, nil
}

// readHead reads the head of the final answer.
func (x *exchange) readHead(v *frontRequest) error {
	reader := bufio.NewReader(x.conn)
	asked := &http.Request{Method: v.method}
	for range maxResponseHeads {
		answer, err := http.ReadResponse(reader, asked)
		if err != nil {
			return err
		}
		if answer.StatusCode >= http.StatusOK {
			x.response = answer
			return nil
		}
	}
	return errors.New("too many informational answers")
}

// readBody reads the rest of the answer.
func (x *exchange) readBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("answer is over %d bytes", maxResponseBytes)
	}
	return body, err
}

// requestHead writes the head of one try. Method, target and body are the
// caller's, byte for byte.
func (f *Front) requestHead(v *frontRequest, server ring.Server, lastEvent string) []byte {
	h := v.forwardedHeader.Clone()
	f.config.Dialect.WriteTry(h, ring.TryHeader{
		Left: time.Until(v.deadline), Server: server.ID, Workspace: v.holder.Workspace, LastEvent: lastEvent, Urgency: min(f.priority(v), 9),
	})
	var b bytes.Buffer
	b.Grow(1024 + len(v.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", v.method, v.target, v.host)
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range h[name] {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(textproto.TrimString(value))
			b.WriteString("\r\n")
		}
	}
	if len(v.body) > 0 || v.method == http.MethodPost || v.method == http.MethodPut || v.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(v.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeResponse gives the caller the server's whole answer.
func writeResponse(w http.ResponseWriter, v *frontRequest, x *exchange, body []byte) {
	copyHeader(w.Header(), x.response.Header)
	if v.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	v.status = x.response.StatusCode
	w.WriteHeader(x.response.StatusCode)
	_, _ = w.Write(body) // A caller that left needs no answer.
}

// copyHeader copies what does not concern the connection alone.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		if name == "Connection" {
			continue // The node's own; the server's was not copied over it.
		}
		to.Del(name)
	}
}
