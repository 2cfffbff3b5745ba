package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/intake"
)

const (
	// defaultMaxBody bounds a caller's body if the configuration does not.
	defaultMaxBody = 32 << 20
	// maxBodyWait is how long a request may wait until there is memory for its body.
	maxBodyWait = time.Second
	// minLongUpload is the least length of a body that a caller may still be sending when a
	// response to the header reaches it.
	minLongUpload = 256 << 10
)

// readBody reads the caller's body. It returns a failure if the body is larger than the
// configuration allows or incomplete.
func (f *Front) readBody(req *frontRequest, w http.ResponseWriter, r *http.Request) *ring.Failure {
	if r.ContentLength == 0 {
		// net/http reads from the connection already, to notice when the caller leaves.
		// A deadline that ends this read looks as if the caller had left.
		return nil
	}
	limit := f.config.Node.Routing().Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(req.deadline) // net/http sets a new deadline for the next request.
	outliveStop := context.AfterFunc(f.stopping, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := f.readLimited(req, w, r, limit)
	if !outliveStop() {
		return f.refuseAtStop(req)
	}
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory), errors.Is(err, intake.ErrGivenUp):
		return refuseBody(err)
	case errors.As(err, &tooLarge):
		return ring.Fail(ring.CodeBodyTooLarge, "the body exceeds the limit of %d bytes", limit)
	case err != nil:
		return ring.Fail(ring.CodeBadBody, "the body could not be read completely")
	}
	req.body = body
	return f.admit(req, f.config.Node.Routing()) // The route may have moved in the meantime.
}

// joinWorkspace counts the request's connection for its workspace, or returns a failure if that
// has too many.
func joinWorkspace(r *http.Request, w ring.Workspace) *ring.Failure {
	if intake.FromContext(r.Context()).JoinWorkspace(w) {
		return nil
	}
	return ring.FailRetryAt(ring.CodeManyConnections, spreadRetry(time.Now().Add(busyRetryAfter)), "the workspace has too many connections")
}

// refuseBody returns the failure of a request whose body there is no memory for, or whose
// caller did not send it while others waited for its memory.
func refuseBody(err error) *ring.Failure {
	at := spreadRetry(time.Now().Add(busyRetryAfter))
	if errors.Is(err, intake.ErrGivenUp) {
		return ring.FailRetryAt(ring.CodeBodyStalled, at, "the body made no progress while others waited for its memory")
	}
	return ring.FailRetryAt(ring.CodeNoMemory, at, "there is no memory for the body")
}

// readLimited reads a body of at most limit bytes, once there is memory for it. It sets
// releaseBody.
func (f *Front) readLimited(req *frontRequest, w http.ResponseWriter, r *http.Request, limit int64) (body []byte, err error) {
	reader := http.MaxBytesReader(w, r.Body, limit)
	ctx, cancel := context.WithTimeout(intake.WithConn(f.stopping, r.Context()), min(maxBodyWait, time.Until(req.deadline)/2))
	defer cancel()
	body, req.releaseBody, err = f.callerBodies.readCaller(ctx, reader, r.ContentLength, limit)
	return body, err
}

// isLongUpload reports whether a response may come before the body has been read: the caller
// waits for it, or would send the rest of a long body in vain.
func isLongUpload(r *http.Request) bool {
	return r.ContentLength >= minLongUpload || (r.ContentLength != 0 && r.Header.Get("Expect") != "")
}
