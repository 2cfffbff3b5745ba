package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	// errStreamEnd is the end of a stream between two events.
	errStreamEnd = errors.New("end of the stream")
	errLongEvent = errors.New("an event is too long")
)

// streamEvent is one event with the bytes that carry it.
type streamEvent struct {
	id   string
	text []byte
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
		e.text = append(e.text, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.text) > maxEvent {
				return e, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(e.text) == 0:
			return e, errStreamEnd
		case errors.Is(err, io.EOF):
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		}
		whole := e.text[bytes.LastIndexByte(e.text[:len(e.text)-1], '\n')+1:]
		content := bytes.TrimRight(whole, "\r\n")
		if len(content) == 0 && len(e.text) > len(whole) {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// eventNumber reads an event's identity as a number.
func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
