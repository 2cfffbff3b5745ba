package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait for a slow log output.
const maxQueuedLines = 4096

// Writer queues log lines for an output, so that a slow output never blocks the
// caller of Write. When the queue is full, lines are dropped and counted.
type Writer struct {
	lines chan []byte
	// dropped counts the lines dropped since the last call of TakeDropped.
	dropped atomic.Int64
}

// NewWriter returns a writer and starts a goroutine that copies its lines to out
// until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // The log is the only place to report an error.
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns the number of lines dropped since its last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }
