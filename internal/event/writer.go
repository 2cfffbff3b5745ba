package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many lines wait for a slow reader of the log.
const maxQueuedLines = 4096

// Writer passes lines on without ever blocking their writer: lines that find
// the queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer and starts passing its lines to out, for the life
// of the process.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // There is no other place to report it to.
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns how many lines were dropped since it was last called.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }
