package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream, comments included. A node holds one event
// of each of its streams.
const maxEventBytes = 256 << 10

var (
	// errStreamEnd is returned when a stream ends between two events.
	errStreamEnd    = errors.New("end of the stream")
	errEventTooLong = errors.New("stream event is too long")
)

// streamEvent is a server-sent event. id is "" if the event has none, and raw holds its
// bytes as received.
type streamEvent struct {
	id  string
	raw []byte
	// hasFields is not set if there are only comments.
	hasFields bool
}

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	in *bufio.Reader
	// read is an event that was read before and that next returns first, or nil.
	read *streamEvent
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 2048)}
}

// next returns the next complete event, or errStreamEnd at the end of the stream.
// It returns another error if the stream ends within an event or the body is cut
// off. Comments and empty lines are part of the event that follows them, because they are
// no progress; those at the end of the stream are returned alone.
func (r *eventReader) next() (streamEvent, error) {
	if r.read != nil {
		first := *r.read
		r.read = nil
		return first, nil
	}
	var e streamEvent
	isLineEmpty := false
	for {
		line, err := r.in.ReadSlice('\n')
		if len(e.raw)+len(line) > maxEventBytes {
			return e, errEventTooLong
		}
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			isLineEmpty = false
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, errStreamEnd
		case errors.Is(err, io.EOF) && len(line) == 0 && isLineEmpty:
			return e, nil
		case errors.Is(err, io.EOF):
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		lastLine := e.raw[bytes.LastIndexByte(e.raw[:len(e.raw)-1], '\n')+1:]
		content := bytes.TrimRight(lastLine, "\r\n")
		isLineEmpty = len(content) == 0
		if isLineEmpty && e.hasFields {
			return e, nil
		}
		e.hasFields = e.hasFields || !isLineEmpty && content[0] != ':'
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// numericEventID parses an event's id as a number. It returns false if the id is not a
// number.
func numericEventID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
