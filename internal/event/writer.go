package event

import (
	"context"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait for a slow log output.
const maxQueuedLines = 4096

// Writer queues log lines for an output, so that a slow output never blocks the
// caller of Write. When a queue is full, lines are dropped and counted. Lines that are
// written to Urgent have a queue of their own, which goes first.
type Writer struct {
	lines, urgent chan queuedLine
	// dropped counts the lines dropped since the last call of TakeDropped.
	dropped atomic.Int64
}

// queuedLine is a line, or a mark whose channel is closed when the lines before it have
// been written.
type queuedLine struct {
	text    []byte
	written chan<- struct{}
}

// NewWriter returns a writer and starts a goroutine that copies its lines to out
// until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan queuedLine, maxQueuedLines), urgent: make(chan queuedLine, maxQueuedLines)}
	go w.copyTo(out)
	return w
}

// copyTo writes the queued lines to out, the urgent ones first, until lines is closed.
func (w *Writer) copyTo(out io.Writer) {
	for {
		select {
		case line := <-w.urgent:
			line.writeTo(out)
		case line, ok := <-w.lines:
			if !ok {
				return
			}
			w.writeUrgent(out)
			line.writeTo(out)
		}
	}
}

// writeUrgent writes the urgent lines that are queued.
func (w *Writer) writeUrgent(out io.Writer) {
	for {
		select {
		case line := <-w.urgent:
			line.writeTo(out)
		default:
			return
		}
	}
}

func (l queuedLine) writeTo(out io.Writer) {
	if l.written != nil {
		close(l.written)
		return
	}
	_, _ = out.Write(l.text) // The log is the only place to report an error.
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) { return w.enqueue(w.lines, line) }

// Urgent returns a writer whose lines go before those of w.
func (w *Writer) Urgent() io.Writer { return urgentWriter{w} }

type urgentWriter struct{ writer *Writer }

// Write implements io.Writer like Writer.Write.
func (u urgentWriter) Write(line []byte) (int, error) { return u.writer.enqueue(u.writer.urgent, line) }

func (w *Writer) enqueue(queue chan<- queuedLine, line []byte) (int, error) {
	select {
	case queue <- queuedLine{text: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the lines that were queued before have been written. It returns the
// context's error if the context ends first.
func (w *Writer) Flush(ctx context.Context) error {
	written := make(chan struct{})
	select {
	case w.lines <- queuedLine{written: written}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TakeDropped returns the number of lines dropped since its last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }
