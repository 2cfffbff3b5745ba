package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
)

const (
	// livenessTimeout bounds one liveness check of a server whose response has ended, and
	// livenessPause is the time between two of them.
	livenessTimeout = 500 * time.Millisecond
	livenessPause   = 50 * time.Millisecond
	// maxLivenessWait is how long a server may be silent before its unframed response counts
	// as incomplete. A sound one may be silent for a second or two.
	maxLivenessWait = 2500 * time.Millisecond
)

// checkEnd returns an error if a response is not known to be complete. One with a length or
// chunks is. One without ends with its connection, which the end of its server closes too:
// it is complete if the server answers a liveness check afterwards, whether it is about to stop
// or not. A process that ends may still accept connections, so that an accepted one shows
// nothing.
func (f *Front) checkEnd(ctx context.Context, req *frontRequest, x *exchange, server ring.Server) error {
	if !isUnframed(x.response) {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	return awaitLiveness(ctx, func(ctx context.Context) error {
		path := f.config.Dialect.LivenessPath(req.service)
		if path == req.service.HealthPath && !f.awaitHealthPermit(ctx, server) {
			return errNoPermit
		}
		return f.checkLiveness(ctx, server, path)
	})
}

// errNoPermit is the error of a liveness check that was not sent, because its server takes no more
// requests now.
var errNoPermit = errors.New("the server takes no more requests now")

// awaitHealthPermit waits for a permit for a health check of a cold server, which is a request like
// any other. It returns false if there is none in time.
func (f *Front) awaitHealthPermit(ctx context.Context, server ring.Server) bool {
	if !f.permits.IsCold(keyOf(server), time.Now()) {
		return true
	}
	at, ok := f.permits.Acquire(ctx, keyOf(server), livenessTimeout)
	return ok && clock.Sleep(ctx, time.Until(at))
}

// checkEnd is the same for a response of a declared server, of which no path is known that runs
// nothing: any server may be asked for its options.
func (s *Server) checkEnd(ctx context.Context, resp *http.Response, address string) error {
	if !isUnframed(resp) || resp.Request.Method == http.MethodHead {
		return nil
	}
	return awaitLiveness(ctx, func(ctx context.Context) error {
		ping := &http.Request{Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: address, Opaque: "*"}, Header: http.Header{}}
		response, err := s.transport.RoundTrip(ping.WithContext(ctx))
		if err != nil {
			return err
		}
		return response.Body.Close()
	})
}

// isUnframed reports whether a response has neither a length nor chunks, so that it ends with
// its connection.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// awaitLiveness returns nil once ask does: the server has responded, in whatever way. It
// returns an error when the server refuses connections, has not responded within
// maxLivenessWait, or the context ends.
func awaitLiveness(ctx context.Context, ask func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, maxLivenessWait)
	defer cancel()
	for {
		err := askOnce(ctx, ask)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return fmt.Errorf("the server has ended: %w", io.ErrUnexpectedEOF)
		}
		if !clock.Sleep(ctx, livenessPause) || ctx.Err() != nil {
			return fmt.Errorf("the server does not answer after the end of its response (%w): %w", err, io.ErrUnexpectedEOF)
		}
	}
}

// askOnce calls ask with the time for one check.
func askOnce(ctx context.Context, ask func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return ask(ctx)
}

// checkLiveness returns nil if a server responds to a request for a path, in whatever way.
func (f *Front) checkLiveness(ctx context.Context, server ring.Server, path string) error {
	conn, err := f.config.Dial(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	x := f.newExchange(ctx, conn)
	defer x.close()
	if err := x.conn.WriteRequest(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", lineBreaks.Replace(path), server.Address)); err != nil {
		return err
	}
	if err := x.readHeader(http.MethodGet); err != nil {
		return err
	}
	answer := f.config.Dialect.ReadAnswer(x.response.StatusCode, x.response.Header)
	if x.response.StatusCode != http.StatusMisdirectedRequest && answer.Cold != (ring.ColdAnswer{}) {
		f.config.Node.ObserveColdAnswer(server, answer.Cold)
	}
	return nil
}
