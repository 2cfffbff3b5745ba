package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"sort"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/head"
)

const (
	// connectTimeout bounds the TCP handshake, well below the second after which a
	// lost handshake packet is retransmitted.
	connectTimeout = 300 * time.Millisecond
	// maxInlineBody is the size up to which a body is written before the response is
	// read. A longer body is written while the response is read, because a server may
	// respond early.
	maxInlineBody = 16 << 10
	// maxResponseHead bounds the size of the response headers that are read, informational
	// (1xx) ones included, in bytes.
	maxResponseHead = 64 << 10
)

// Dialer opens a connection to a backend server.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// exchange is one request and its response on a dedicated connection. The
// connection is never reused, so that a response to another request cannot be
// taken for the response to this one.
type exchange struct {
	conn     *head.Conn
	response *http.Response
	// header holds the response header's fields as read by the dialect.
	header ring.AnswerHeader
	// stopAbort unregisters the call of abort at the end of the request's context. It
	// returns false if abort was already called.
	stopAbort func() bool
	// bodies is the memory for the body, and releaseBody returns what the body took.
	bodies      *bodyMemory
	releaseBody func()
}

// close closes the connection and gives up the body. If the server still runs the request, this makes it
// stop.
func (x *exchange) close() {
	x.stopAbort()
	x.conn.Close()
	x.releaseBody()
}

// abort makes every pending and later read and write of the exchange fail.
func (x *exchange) abort() { _ = x.conn.SetDeadline(time.Unix(1, 0)) }

// sendAttempt sends the request to a server, on a new connection if conn is nil, and reads
// the header of the response. The exchange is aborted at the deadline or when the context
// ends. If lastEventID is not empty, the request asks the server for only the events after
// that ID.
func (f *Front) sendAttempt(ctx context.Context, req *frontRequest, server ring.Server, conn net.Conn, lastEventID string, deadline time.Time) (*exchange, *attemptError) {
	if conn == nil {
		var err error
		if conn, err = f.connect(ctx, server); err != nil {
			return nil, &attemptError{stage: stageNotSent, err: err}
		}
	}
	if f.config.Fleet.IsEvacuated(server) { // It may have taken long to get here.
		conn.Close()
		return nil, &attemptError{stage: stageNotSent, err: errEvacuated}
	}
	req.sentAt = time.Now()
	_ = conn.SetDeadline(deadline)
	x := f.newExchange(ctx, conn)
	request := f.requestHead(req, server, lastEventID)
	if len(req.body) <= maxInlineBody {
		_ = x.conn.WriteRequest(append(request, req.body...)) // Its error is that of the response too.
	} else {
		go func() { _ = x.conn.WriteRequest(request, req.body) }() // A copy would double the memory of a large body.
	}
	if err := x.readHeader(req.method); err != nil {
		x.close()
		if writeErr := x.conn.RequestError(); writeErr != nil && !errors.Is(err, writeErr) {
			err = fmt.Errorf("%w (sending: %w)", err, writeErr)
		}
		req.mayHaveRun = true
		return nil, &attemptError{stage: stageSent, err: err}
	}
	x.header = f.config.Dialect.ReadAnswer(x.response.StatusCode, x.response.Header)
	f.recordNotices(req, server, x.header)
	if err := f.checkOrigin(req, x); err != nil {
		x.close()
		req.mayHaveRun = true
		return nil, &attemptError{stage: stageSent, err: err}
	}
	f.recordLimit(req, server, x)
	req.mayHaveRun = req.mayHaveRun || !x.header.NotRun
	return x, nil
}

// connect opens a connection to a server.
func (f *Front) connect(ctx context.Context, server ring.Server) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return f.config.Dial(ctx, "tcp", server.Address)
}

// newExchange returns an exchange on a connection, which is aborted when the context ends.
func (f *Front) newExchange(ctx context.Context, conn net.Conn) *exchange {
	x := &exchange{conn: head.NewConn(conn, maxResponseHead), bodies: f.bodies, releaseBody: func() {}}
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	return x
}

// checkOrigin returns an error if a response is not known to be the server's to the request:
// it names another one, or it is a success that the server has not signed.
func (f *Front) checkOrigin(req *frontRequest, x *exchange) error {
	if x.header.ID != "" && x.header.ID != req.header.ID {
		f.config.Metrics.Count("foreign_answers", 1)
		return fmt.Errorf("response to another request: %s", x.header.ID)
	}
	if isSuccess(x.response.StatusCode) && !x.header.Signed {
		f.config.Metrics.Count("unsigned_answers", 1)
		return errors.New("the response is not signed")
	}
	return nil
}

// isSuccess reports whether a status is one of success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isFalsePromise reports whether a response would promise the caller of a request that may
// not be repeated that it has not run, which the server does not say.
func isFalsePromise(req *frontRequest, x *exchange) bool {
	switch x.response.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !req.route.MayRepeat() && !x.header.NotRun
	}
	return false
}

// recordNotices records what a server announces in the header of a response: that it
// is about to stop, or that it wants no requests from this node for a time. The node
// obeys at once, and tells its peers of a server that is about to stop.
func (f *Front) recordNotices(req *frontRequest, server ring.Server, h ring.AnswerHeader) {
	now := time.Now()
	if h.Leaving && f.config.Fleet.MarkLeaving(server.ID, server.Incarnation, now) {
		f.config.Log.Write(event.VMLeaving, slog.String("vm", string(server.ID)), slog.String("request", req.header.ID))
		f.config.Node.AnnounceLeaving(server)
	}
	if h.Pause > 0 {
		f.config.Fleet.Pause(server.ID, server.Incarnation, now, now.Add(h.Pause))
		f.config.Log.Write(event.ServerPaused, slog.String("vm", string(server.ID)), slog.Duration("pause", h.Pause), slog.String("request", req.header.ID))
	}
}

// readHeader reads the header of the final response and skips informational ones. It
// returns an error if they are malformed or too long.
func (x *exchange) readHeader(method string) error {
	response, err := x.conn.ReadResponse(method)
	if err != nil {
		return err
	}
	x.response = response
	return nil
}

// readBody reads the body of the response, which may be used until close. It returns an
// error if the body is too long.
func (x *exchange) readBody() ([]byte, error) {
	body, done, err := x.bodies.read(x.response.Body)
	x.releaseBody = done
	return body, err
}

// lineBreaks replaces the line breaks of a header value: a name from the registry or the
// configuration must not add a line to a request.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// requestHead returns the encoded request line and header of an attempt. The method and
// the target are those of the caller, byte for byte, as is the body that is sent after
// them.
func (f *Front) requestHead(req *frontRequest, server ring.Server, lastEventID string) []byte {
	h := req.forwardedHeader.Clone()
	f.config.Dialect.WriteAttempt(h, ring.AttemptHeader{
		Remaining: time.Until(req.deadline), Server: server.ID, Workspace: req.holder.Workspace, LastEvent: lastEventID, Urgency: min(req.priority(), 9),
	})
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.body), maxInlineBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.method, req.target, req.host)
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range h[name] {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(lineBreaks.Replace(textproto.TrimString(value)))
			b.WriteString("\r\n")
		}
	}
	if len(req.body) > 0 || req.method == http.MethodPost || req.method == http.MethodPut || req.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeResponse writes a server's complete response, with the given body, to the caller
// and records its status in req.
func (f *Front) writeResponse(w http.ResponseWriter, req *frontRequest, x *exchange, body []byte) {
	f.writeHeader(w, req, x.response, len(body))
	_, _ = w.Write(body) // The error is ignored: a caller that left needs no response.
}

// streamLength is passed to writeHeader if the length of the body is not known.
const streamLength = -1

// writeHeader writes the header of a server's response to the caller, with the length of
// the body.
func (f *Front) writeHeader(w http.ResponseWriter, req *frontRequest, response *http.Response, length int) {
	copyHeader(w.Header(), response.Header)
	if length != streamLength && req.method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	f.closeIfDraining(w)
	req.status = response.StatusCode
	req.hasBegun.Store(true)
	w.WriteHeader(response.StatusCode)
}

// closeIfDraining lets a response close the caller's connection if the node is draining.
// It is called right before the header is written, since a drain may begin while the
// request is under way.
func (f *Front) closeIfDraining(w http.ResponseWriter) {
	if f.config.Node.IsDraining() {
		w.Header().Set("Connection", "close")
	}
}

// copyHeader copies a response header without its hop-by-hop fields.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
