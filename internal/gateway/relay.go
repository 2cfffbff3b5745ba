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
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/openai"
)

// relay passes one request's answer on to its caller, over several tries.
type relay struct {
	server  *Server
	w       http.ResponseWriter
	call    *call
	request *completion
	// began is set once the caller has a byte of the answer.
	began bool
	// sentText is what the caller has of the answer, and chunks in how many
	// pieces it came.
	sentText   []byte
	sentChunks int
	// firstID is the identity of the first try's answer, which all chunks keep.
	firstID string
	// replayed is how much of the text the current try has repeated.
	replayed int
	// record keeps the raw answer for a claim.
	record *bytes.Buffer
	status int
	// onEvent hears of each piece of an answer.
	onEvent func()
	// callerGone is set once the caller took no more bytes.
	callerGone bool
	// writeDeadline is the deadline of writes that is set.
	writeDeadline time.Time
}

// mayContinue reports whether another try may continue the answer.
func (o *relay) mayContinue() bool {
	return !o.began || (o.request.stream && o.request.spliceable)
}

// fail gives the final answer after the last try failed.
func (o *relay) fail(err *attemptError) {
	f := o.failureOf(err)
	if o.began {
		o.server.failStream(o.w, o.call, f)
		return
	}
	o.server.fail(o.w, o.call, f)
}

func (o *relay) failureOf(err *attemptError) *ring.Failure {
	back := time.Now().Add(time.Second)
	switch {
	case err.diverged:
		return ring.Fail(ring.CodeStreamDiverged, "the stream broke, and a replay gave another text; what was sent stands as a part")
	case o.began:
		return ring.Fail(ring.CodeStreamBroken, "the stream broke; what was sent stands as a part")
	case err.stage == stageNotSent:
		return ring.FailUntil(ring.CodeUnreachable, back, "no backend server could be reached")
	case err.stage == stageRefused:
		return ring.FailUntil(ring.CodeBackendRefused, back, "the backend servers refused the request")
	default:
		return ring.Fail(ring.CodeOutcomeUnknown, "the backend server gave no whole answer")
	}
}

// attempt dispatches the request once and passes the answer on.
func (o *relay) attempt(ctx context.Context, route node.Route, isFresh bool) *attemptError {
	s := o.server
	ctx, dog := newWatchdog(ctx, s.config.FirstTimeout)
	defer dog.stop()
	if o.record == nil {
		s.sweeper.add(dog, route)
		defer s.sweeper.remove(dog)
	}
	offset := 0
	if isFresh && o.request.stream {
		offset = o.sentChunks
	}
	req, err := o.request.newRequest(o.call, route, offset)
	if err != nil {
		return &attemptError{stage: stageNotSent, err: err}
	}
	if !isFresh {
		s.config.Metrics.Observe(metric.SpanHop, o.call.class, time.Since(o.call.begin)-o.call.queued)
	}
	var t connTrace
	resp, failed := s.send(ctx, req, isFresh, &t)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	if s.isMismatched(o.call, resp) {
		return &attemptError{stage: stageSent, err: fmt.Errorf("answer of another request")}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return &attemptError{stage: stageSent, err: fmt.Errorf("backend server failed: status %d", resp.StatusCode)}
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return o.forwardWhole(resp)
	}
	o.replayed = resumedLength(resp, offset, len(o.sentText))
	return o.forwardStream(resp, route, dog)
}

// resumedLength returns how much of the text the try will not repeat: all of it
// when the backend server confirms the offset, else none.
func resumedLength(resp *http.Response, offset, length int) int {
	if offset > 0 && resp.Header.Get(engine.HeaderOffset) == strconv.Itoa(offset) {
		return length
	}
	return 0
}

// forwardWhole passes an answer on that is not a stream, once it is whole.
func (o *relay) forwardWhole(resp *http.Response) *attemptError {
	body, err := readResponse(resp)
	if err != nil {
		return &attemptError{stage: stageSent, err: err}
	}
	if o.began {
		return &attemptError{stage: stageSent, err: fmt.Errorf("a stream went on as no stream: status %d", resp.StatusCode)}
	}
	o.server.config.Metrics.Observe(metric.SpanFirst, o.call.class, time.Since(o.call.begin))
	o.writeHeader(resp)
	o.write(body)
	return nil
}

func (o *relay) writeHeader(resp *http.Response) {
	o.began = true
	o.status = resp.StatusCode
	h := o.w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	if o.request.stream {
		h.Set("Cache-Control", "no-cache")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		// The server did not say that it ran nothing, so neither do we.
		h.Set(headerShouldRetry, "false")
	}
	o.w.WriteHeader(resp.StatusCode)
}

func (o *relay) write(b []byte) {
	if o.record != nil {
		o.record.Write(b)
	}
	if o.callerGone {
		return
	}
	o.extendWriteDeadline(time.Now())
	if _, err := o.w.Write(b); err != nil {
		o.callerGone = true
	}
}

// extendWriteDeadline sets a deadline for writes, so that a caller that stops reading
// does not hold a slot for good. Setting one costs a timer, so it is moved at
// most every half of its span.
func (o *relay) extendWriteDeadline(now time.Time) {
	span := o.server.config.StallTimeout
	if now.Before(o.writeDeadline.Add(-span / 2)) {
		return
	}
	o.writeDeadline = now.Add(span)
	_ = http.NewResponseController(o.w).SetWriteDeadline(o.writeDeadline)
}

// isAbandoned reports whether nobody wants the rest of the answer: the caller
// is gone, and no claim records it.
func (o *relay) isAbandoned() bool { return o.callerGone && o.record == nil }

// forwardStream passes a stream on until it is whole.
func (o *relay) forwardStream(resp *http.Response, route node.Route, dog *watchdog) *attemptError {
	s := o.server
	reader := bufio.NewReader(resp.Body)
	last := time.Time{}
	for {
		data, err := readEvent(reader)
		if err != nil {
			return &attemptError{stage: stageSent, err: fmt.Errorf("stream broke: %w", err)}
		}
		dog.reset(s.config.StallTimeout)
		o.onEvent()
		now := time.Now()
		if !last.IsZero() {
			s.config.Metrics.Observe(metric.SpanGap, o.call.class, now.Sub(last))
			s.table.ObserveGap(route.Group, now.Sub(last))
		}
		last = now
		if !o.began {
			s.config.Metrics.Observe(metric.SpanFirst, o.call.class, time.Since(o.call.begin))
			o.writeHeader(resp)
		}
		if string(data) == "[DONE]" {
			if o.replayed < len(o.sentText) {
				return &attemptError{diverged: true, err: fmt.Errorf("replay ended early")}
			}
			o.writeEvent(data)
			return nil
		}
		if failed := o.forwardChunk(data); failed != nil {
			return failed
		}
		if o.isAbandoned() {
			return nil
		}
	}
}

// forwardChunk passes on what the caller does not have of one chunk.
func (o *relay) forwardChunk(data []byte) *attemptError {
	c, ok := decodeChunk(data)
	if !ok {
		return &attemptError{stage: stageSent, err: fmt.Errorf("unreadable chunk")}
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
		return &attemptError{diverged: true, err: fmt.Errorf("replay gave another text after %d bytes", o.replayed)}
	}
	o.replayed += overlap
	if text != "" && overlap == len(text) {
		return nil // The caller has this chunk.
	}
	if o.replayed < len(o.sentText) {
		return nil // A chunk without text before the splice.
	}
	o.appendSentText(text[overlap:])
	return o.forwardRewritten(c, text[overlap:])
}

// nonTextFields are the fields of a chunk whose content is not compared at a splice.
var nonTextFields = [][]byte{[]byte(`"tool_calls"`), []byte(`"function_call"`), []byte(`"reasoning`)}

// isTextOnly reports whether a chunk carries nothing but text.
func isTextOnly(data []byte) bool {
	for _, field := range nonTextFields {
		if bytes.Contains(data, field) {
			return false
		}
	}
	return true
}

func (o *relay) appendSentText(text string) {
	if text == "" {
		return
	}
	o.sentText = append(o.sentText, text...)
	o.replayed = len(o.sentText)
	o.sentChunks++
}

// forwardRewritten passes a chunk of a later try on as one of the first.
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

func (o *relay) writeEvent(data []byte) {
	whole := make([]byte, 0, len(data)+len("data: \n\n"))
	whole = append(whole, "data: "...)
	whole = append(whole, data...)
	whole = append(whole, "\n\n"...)
	o.write(whole)
	flush(o.w)
}

// readEvent returns the data of the next event. The end of the input is an
// error: a whole stream ends by its own last event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && data != nil {
			return data, nil
		}
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}
