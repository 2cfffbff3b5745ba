package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

var (
	// errStreamEnd is the end of a stream between two events.
	errStreamEnd    = errors.New("end of the stream")
	errEventTooLong = errors.New("an event is too long")
)

// streamEvent is one event with the bytes that carry it.
type streamEvent struct {
	id  string
	raw []byte
}

// eventReader cuts a stream into whole events.
type eventReader struct {
	in *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(r, 2048)}
}

// next returns the next whole event. A stream that ends within an event, or
// without its proper end, is broken.
func (r *eventReader) next() (streamEvent, error) {
	var e streamEvent
	for {
		line, err := r.in.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEventBytes {
				return e, errEventTooLong
			}
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return e, errStreamEnd
		case errors.Is(err, io.EOF):
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		whole := e.raw[bytes.LastIndexByte(e.raw[:len(e.raw)-1], '\n')+1:]
		content := bytes.TrimRight(whole, "\r\n")
		if len(content) == 0 && len(e.raw) > len(whole) {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// numericEventID reads an event's identity as a number.
func numericEventID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
