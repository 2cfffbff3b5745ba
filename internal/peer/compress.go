package peer

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"
)

const (
	// compressionLevel is the fastest level of gzip.
	compressionLevel = 1
	// minCompressed is the size in bytes from which a configuration is compressed. A compressor
	// takes 1 MB of memory whatever it compresses.
	minCompressed = 16 << 10
)

func init() {
	// A node compresses a configuration for each of its children, on a small VM.
	_ = gzip.SetLevel(compressionLevel) // It fails only for unknown levels.
	encoding.RegisterCompressor(&singleCompressor{Compressor: encoding.GetCompressor(gzip.Name)})
}

// compressLarge makes the response to a call with ctx be compressed if it has a document of a
// large size in bytes. The requests are not: they are short.
func compressLarge(ctx context.Context, size int) {
	name := encoding.Identity
	if size >= minCompressed {
		name = gzip.Name
	}
	_ = grpc.SetSendCompressor(ctx, name) // It fails if the peer does not know the compressor.
}

// singleCompressor compresses one message at a time, so that the children that fetch a
// configuration together do not take a compressor each.
type singleCompressor struct {
	encoding.Compressor
	mu sync.Mutex
}

// Compress waits until the message before is compressed. gRPC writes to memory and closes the
// result at once.
func (c *singleCompressor) Compress(w io.Writer) (io.WriteCloser, error) {
	c.mu.Lock()
	z, err := c.Compressor.Compress(w)
	if err != nil {
		c.mu.Unlock()
		return nil, err
	}
	return &singleWriter{WriteCloser: z, release: c.mu.Unlock}, nil
}

// singleWriter releases its compressor when it is closed.
type singleWriter struct {
	io.WriteCloser
	release func()
}

// Close ends the message.
func (w *singleWriter) Close() error {
	defer w.release()
	return w.WriteCloser.Close()
}
