package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
)

const (
	// maxChunkBytes bounds one chunk of a stream, comments included.
	maxChunkBytes = 1 << 20
	// maxSplicedText bounds the text that is kept to continue a broken stream, in bytes.
	maxSplicedText = 4 << 20
)

// relay forwards the response of one request to its caller, over one or more
// attempts.
type relay struct {
	server  *Server
	w       http.ResponseWriter
	call    *call
	request *completion
	// started is set after the response header has been sent to the caller.
	started bool
	// sentText is the text sent to the caller, and sentChunks the number of
	// chunks that carried it. Beyond maxSplicedText no text is kept, and the stream
	// can no longer be continued by another attempt.
	sentText   []byte
	sentChunks int
	// firstID is the completion ID of the first chunk. The chunks of later
	// attempts are sent under it too.
	firstID string
	// replayed is how many bytes of sentText the current attempt has repeated, or
	// skipped because the stream was resumed after them.
	replayed int
	// record collects the response body for the request's claim; it is nil if the
	// request has none.
	record *bytes.Buffer
	// status is the HTTP status sent to the caller.
	status int
	// startedAt is when the response header was sent, and lastEventAt when the last event came.
	startedAt, lastEventAt time.Time
	// onEvent is called for each event of a stream.
	onEvent func()
	// mayHaveRun is set as soon as a server may have run the request in an earlier attempt.
	mayHaveRun bool
	// callerGone is set after a write to the caller has failed.
	callerGone bool
	// writeDeadline is the current deadline of writes to the caller.
	writeDeadline time.Time
}

// mayContinue reports whether another attempt is possible: no response has started, or
// the response is a stream that another attempt can continue.
func (o *relay) mayContinue() bool {
	return !o.started || (o.request.stream && o.request.spliceable)
}

// hasRun reports whether a server has sent events of the stream for strongStrikeTime. A server
// that ends later has rather ended under another request.
func (o *relay) hasRun() bool { return o.started && o.lastEventAt.Sub(o.startedAt) >= strongStrikeTime }

// writeFailure ends the response with the failure of the last attempt.
func (o *relay) writeFailure(err *attemptError) { o.fail(o.failureFor(err)) }

// fail ends the response with a failure. If a stream has started, it is sent as an error event.
func (o *relay) fail(f *ring.Failure) {
	if o.started {
		o.writeStreamFailure(f)
		return
	}
	o.server.writeFailure(o.w, o.call, f)
}

// writeStreamFailure ends a started stream with an error event. The last event may have
// been written so long ago that its write deadline has passed.
func (o *relay) writeStreamFailure(f *ring.Failure) {
	o.extendWriteDeadline(time.Now())
	o.server.writeStreamFailure(o.w, o.call, f)
}

// failureFor returns the failure to report to the caller for a failed attempt.
func (o *relay) failureFor(err *attemptError) *ring.Failure {
	retryAt := time.Now().Add(time.Second)
	switch {
	case err.diverged:
		return ring.Fail(ring.CodeStreamDiverged, "the stream broke, and a replay generated different text; the text sent so far is valid but incomplete")
	case o.started:
		return ring.Fail(ring.CodeStreamBroken, "the stream broke; the text sent so far is valid but incomplete")
	case err.stage == stageNotSent && !o.mayHaveRun:
		return ring.FailRetryAt(ring.CodeUnreachable, retryAt, "no backend server could be reached")
	case err.stage == stageRefused && !o.mayHaveRun:
		return ring.FailRetryAt(ring.CodeBackendRefused, retryAt, "the backend servers refused the request")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the backend server returned no complete response")
	}
}

// failureAtStop returns the failure to report for an attempt that AnswerPending has ended.
func (o *relay) failureAtStop(err *attemptError) *ring.Failure {
	switch {
	case o.started:
		return ring.Fail(ring.CodeStreamBroken, "the node is stopping; the text sent so far is valid but incomplete")
	case !o.mayHaveRun && err.stage != stageSent:
		return ring.FailRetryAt(ring.CodeOverloaded, time.Now(), "the node is stopping")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the node is stopping; the request may have run")
	}
}

// attempt dispatches the request once and forwards the response. It returns nil if the
// response was complete. If isRepeat is set and the response is a stream, it asks the
// backend server to resume after the chunks already sent to the caller.
func (o *relay) attempt(ctx context.Context, route node.Route, isRepeat bool) *attemptError {
	s := o.server
	ctx, wd := newWatchdog(ctx, s.config.FirstTimeout)
	defer wd.stop()
	if o.record == nil {
		s.sweeper.track(wd, route)
		defer s.sweeper.untrack(wd)
	}
	offset := 0
	if isRepeat && o.request.stream {
		offset = o.sentChunks
	}
	req, err := o.request.newRequest(o.call, route, offset)
	if err != nil {
		return &attemptError{stage: stageNotSent, err: err}
	}
	if !isRepeat {
		s.config.Metrics.Observe(metric.LatencyHop, o.call.class, time.Since(o.call.receivedAt)-o.call.queuedFor)
	}
	var conn connTrace
	resp, failure := s.sendAttempt(ctx, req, routeKey(route), &conn)
	if failure != nil {
		return failure
	}
	defer resp.Body.Close()
	if s.isMismatched(o.call, resp) {
		return &attemptError{stage: stageSent, err: fmt.Errorf("response belongs to another request")}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return &attemptError{stage: stageSent, err: fmt.Errorf("backend server failed: status %d", resp.StatusCode)}
	}
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return o.forwardWhole(ctx, resp, route.Address)
	}
	o.replayed = resumedLength(resp, offset, len(o.sentText))
	return o.forwardStream(resp, route, wd)
}

// resumedLength returns how many bytes of the sent text the attempt will not
// repeat: all of them if the backend server confirms the offset, otherwise none.
func resumedLength(resp *http.Response, offset, length int) int {
	if offset > 0 && resp.Header.Get(engine.HeaderOffset) == strconv.Itoa(offset) {
		return length
	}
	return 0
}

// forwardWhole reads a response that is not a stream to its end and forwards it.
func (o *relay) forwardWhole(ctx context.Context, resp *http.Response, address string) *attemptError {
	body, done, err := o.server.bodies.read(resp.Body)
	defer done()
	if err == nil {
		err = o.server.checkEnd(ctx, resp, address)
	}
	if err != nil {
		return &attemptError{stage: stageSent, err: err}
	}
	if o.started {
		return &attemptError{stage: stageSent, err: fmt.Errorf("the attempt to continue a stream returned no stream: status %d", resp.StatusCode)}
	}
	o.server.config.Metrics.Observe(metric.LatencyFirstToken, o.call.class, time.Since(o.call.receivedAt))
	o.writeHeader(resp)
	o.write(body)
	return nil
}

// writeHeader sends the response header to the caller.
func (o *relay) writeHeader(resp *http.Response) {
	o.started, o.startedAt = true, time.Now()
	o.call.hasBegun.Store(true)
	o.status = resp.StatusCode
	h := o.w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	if o.request.stream {
		h.Set("Cache-Control", "no-cache")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		// The backend server did not say that the request did not run, so the
		// caller must not retry it automatically.
		h.Set(headerShouldRetry, "false")
	}
	o.w.WriteHeader(resp.StatusCode)
}

// write sends b to the caller and adds it to the record. If the caller is gone, it only
// adds b to the record.
func (o *relay) write(b []byte) {
	if o.record != nil && o.record.Len() <= claim.MaxBody {
		o.record.Write(b) // A record that is longer than MaxBody is not stored.
	}
	if o.callerGone {
		return
	}
	o.extendWriteDeadline(time.Now())
	if _, err := o.w.Write(b); err != nil {
		o.callerGone = true
	}
}

// extendWriteDeadline sets a deadline for writes, so that a caller that stops
// reading does not hold a slot forever. Setting it restarts a timer, so this is
// done at most once per half of StallTimeout.
func (o *relay) extendWriteDeadline(now time.Time) {
	timeout := o.server.config.StallTimeout
	if now.Before(o.writeDeadline.Add(-timeout / 2)) {
		return
	}
	o.writeDeadline = now.Add(timeout)
	_ = http.NewResponseController(o.w).SetWriteDeadline(o.writeDeadline)
}

// isAbandoned reports whether the rest of the response is unused: the caller is
// gone, and no claim records it.
func (o *relay) isAbandoned() bool { return o.callerGone && o.record == nil }

// forwardStream forwards a stream to its [DONE] event. It stops early and returns nil
// if the caller is gone and no claim records the response. It returns an error if the
// stream breaks or if the text of a replay differs from what was sent.
func (o *relay) forwardStream(resp *http.Response, route node.Route, wd *watchdog) *attemptError {
	s := o.server
	reader := newChunkReader(resp.Body)
	last := time.Time{}
	for {
		data, err := readEvent(reader)
		if err != nil {
			return &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
		}
		wd.reset(s.config.StallTimeout)
		o.onEvent()
		now := time.Now()
		if !last.IsZero() {
			s.config.Metrics.Observe(metric.LatencyTokenGap, o.call.class, now.Sub(last))
			s.table.ObserveGap(route.Group, now.Sub(last))
		}
		last, o.lastEventAt = now, now
		if !o.started {
			s.config.Metrics.Observe(metric.LatencyFirstToken, o.call.class, time.Since(o.call.receivedAt))
			o.writeHeader(resp)
		}
		if string(data) == "[DONE]" {
			if o.replayed < len(o.sentText) {
				return &attemptError{diverged: true, err: fmt.Errorf("replay ended before the text already sent")}
			}
			o.writeEvent(data)
			return nil
		}
		if failure := o.forwardChunk(data); failure != nil {
			return failure
		}
		if o.isAbandoned() {
			return nil
		}
	}
}

// forwardChunk forwards the part of a chunk that the caller does not have yet. It
// returns an error if the chunk is not valid JSON, or if its text differs from the text
// that the caller already has at this position.
func (o *relay) forwardChunk(data []byte) *attemptError {
	c, ok := decodeChunk(data)
	if !ok {
		return &attemptError{stage: stageSent, err: fmt.Errorf("chunk is not valid JSON")}
	}
	if c.HasFailed() {
		return &attemptError{stage: stageSent, err: fmt.Errorf("the backend server ended the stream with an error")}
	}
	if o.firstID == "" {
		o.firstID = c.ID
	}
	text := c.Text()
	if !isTextOnly(data) {
		o.request.spliceable = false
	}
	if o.replayed == len(o.sentText) && c.ID == o.firstID {
		o.appendSentText(text)
		o.writeEvent(data)
		return nil
	}
	repeated := o.sentText[o.replayed:]
	overlap := min(len(repeated), len(text))
	if text[:overlap] != string(repeated[:overlap]) {
		return &attemptError{diverged: true, err: fmt.Errorf("replay generated different text after %d bytes", o.replayed)}
	}
	o.replayed += overlap
	if text != "" && overlap == len(text) {
		return nil // The caller has all text of this chunk.
	}
	if o.replayed < len(o.sentText) {
		return nil // A chunk without text, before the splice.
	}
	o.appendSentText(text[overlap:])
	return o.forwardRewritten(c, text[overlap:])
}

// nonTextFields are fields of a chunk that carry other content than text. A broken
// stream that contains one cannot be continued by another attempt, because only the
// text of a replay is compared with what was sent.
var nonTextFields = [][]byte{[]byte(`"tool_calls"`), []byte(`"function_call"`), []byte(`"reasoning`)}

// isTextOnly reports whether an encoded chunk has none of the nonTextFields.
func isTextOnly(data []byte) bool {
	for _, field := range nonTextFields {
		if bytes.Contains(data, field) {
			return false
		}
	}
	return true
}

// appendSentText records that a chunk with the text was sent to the caller.
func (o *relay) appendSentText(text string) {
	if text == "" {
		return
	}
	o.sentText = append(o.sentText, text...)
	if len(o.sentText) > maxSplicedText {
		o.request.spliceable, o.sentText = false, nil
	}
	o.replayed = len(o.sentText)
	o.sentChunks++
}

// forwardRewritten forwards a chunk of a later attempt with the ID of the first
// attempt and the given text.
func (o *relay) forwardRewritten(c openai.Completion, text string) *attemptError {
	c.ID = o.firstID
	if len(c.Choices) > 0 {
		switch {
		case c.Choices[0].Delta != nil:
			c.Choices[0].Delta.Content = text
		case c.Choices[0].Text != nil:
			c.Choices[0].Text = &text
		}
	}
	data, err := json.Marshal(c)
	if err != nil {
		return &attemptError{stage: stageSent, err: err}
	}
	o.writeEvent(data)
	return nil
}

// writeEvent sends data to the caller as a server-sent event.
func (o *relay) writeEvent(data []byte) {
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	o.write(frame)
	flush(o.w)
}

// newChunkReader returns a reader for readEvent.
func newChunkReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// readEvent returns the data of the next server-sent event. At the end of the input it
// returns an error, because a complete stream ends with a [DONE] event. It also returns
// an error if the event, with the comments before it, exceeds maxChunkBytes.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var data, line []byte
	left := maxChunkBytes
	for {
		part, err := r.ReadSlice('\n')
		if left -= len(part); left < 0 {
			return nil, errEventTooLong
		}
		line = append(line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		content := bytes.TrimRight(line, "\r\n")
		line = line[:0]
		if len(content) == 0 && data != nil {
			return data, nil
		}
		if rest, ok := bytes.CutPrefix(content, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}
