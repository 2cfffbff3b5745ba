package endless

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// GRPCResponse is what a gRPC server sends on the stream of a call: Start once, and then
// Unit until the connection is closed, both as encoded HTTP/2 frames.
type GRPCResponse struct {
	Name        string
	Start, Unit []byte
	// IsRaw is set if the server sends Unit alone, and no frames before it.
	IsRaw bool
}

// streamID is the HTTP/2 stream of the first call on a connection.
const streamID = 1

// frames returns the encoding of the frames that write writes.
func frames(write func(f *http2.Framer)) []byte {
	var b bytes.Buffer
	write(http2.NewFramer(&b, nil))
	return b.Bytes()
}

// headerBlock returns the encoding of header fields, given as names and values in turn.
func headerBlock(fields ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for i := 0; i+1 < len(fields); i += 2 {
		_ = e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1], Sensitive: true})
	}
	return b.Bytes()
}

// message returns a gRPC message that announces size bytes and has those of data.
func message(size uint32, data string) []byte {
	return append([]byte{0, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, data...)
}

// GRPCResponses returns gRPC responses that never end.
func GRPCResponses() []GRPCResponse {
	head := frames(func(f *http2.Framer) {
		_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, EndHeaders: true, BlockFragment: headerBlock(":status", "200", "content-type", "application/grpc")})
	})
	data := func(b []byte) []byte {
		return frames(func(f *http2.Framer) { _ = f.WriteData(streamID, false, b) })
	}
	open := func(fields ...string) []byte {
		return frames(func(f *http2.Framer) {
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, BlockFragment: headerBlock(fields...)})
		})
	}
	fields := frames(func(f *http2.Framer) { _ = f.WriteContinuation(streamID, false, headerBlock("a", "0123456789")) })
	return []GRPCResponse{
		{Name: "no HTTP/2", Unit: []byte("x"), IsRaw: true},
		{Name: "header fields", Start: open(":status", "200", "content-type", "application/grpc"), Unit: fields},
		{Name: "trailer fields", Start: append(bytes.Clone(head), open("grpc-status", "0")...), Unit: fields},
		{Name: "large message", Start: append(bytes.Clone(head), data(message(1<<30, ""))...), Unit: data([]byte("x"))},
		{Name: "message", Start: append(bytes.Clone(head), data(message(1<<20, ""))...), Unit: data([]byte("x"))},
		{Name: "messages", Start: head, Unit: data(message(0, ""))},
		{Name: "pings", Start: head, Unit: frames(func(f *http2.Framer) { _ = f.WritePing(false, [8]byte{}) })},
	}
}

// GRPCRequests returns what a client in trouble sends after the preface of HTTP/2, or
// instead of it if IsRaw is set.
func GRPCRequests() []GRPCResponse {
	settings := func(f *http2.Framer) { _ = f.WriteSettings() }
	call := headerBlock(":method", "POST", ":scheme", "http", ":path", "/a/b", ":authority", "a", "content-type", "application/grpc", "te", "trailers")
	return []GRPCResponse{
		{Name: "no HTTP/2", Unit: []byte("x"), IsRaw: true},
		{Name: "no frames", Unit: []byte("x")},
		{Name: "header fields", Start: frames(func(f *http2.Framer) {
			settings(f)
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, BlockFragment: call})
		}), Unit: frames(func(f *http2.Framer) { _ = f.WriteContinuation(streamID, false, headerBlock("a", "0123456789")) })},
	}
}

// GRPCServer sends one GRPCResponse on each connection, over TCP.
type GRPCServer struct {
	Address  string
	response GRPCResponse
	slow     bool
	sent     atomic.Int64
	// open counts the open connections.
	open atomic.Int64
}

// ListenGRPC starts a server, which ends with the test. If slow is set, it sends Unit
// once in each TricklePause.
func ListenGRPC(t testing.TB, r GRPCResponse, slow bool) *GRPCServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &GRPCServer{Address: listener.Addr().String(), response: r, slow: slow}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

// serve waits for a call on a connection and sends the response until the connection is
// closed.
func (s *GRPCServer) serve(c *net.TCPConn) {
	defer s.open.Add(-1)
	defer c.Close()
	_ = c.SetWriteBuffer(64 << 10)
	if !s.response.IsRaw && !s.waitForCall(c) {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, c) }()
	if !s.write(c, s.response.Start) {
		return
	}
	block := s.response.Unit
	if !s.slow {
		block = bytes.Repeat(block, max(blockSize/len(block), 1))
	}
	for s.write(c, block) {
		if s.slow {
			time.Sleep(TricklePause)
		}
	}
}

// waitForCall opens the connection and returns when the header of a call has arrived.
func (s *GRPCServer) waitForCall(c net.Conn) bool {
	if _, err := io.CopyN(io.Discard, c, int64(len(http2.ClientPreface))); err != nil {
		return false
	}
	f := http2.NewFramer(c, c)
	if f.WriteSettings() != nil {
		return false
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return false
		}
		if _, ok := frame.(*http2.HeadersFrame); ok {
			return f.WriteSettingsAck() == nil
		}
	}
}

// write sends b and counts its bytes. It returns false once the connection is closed.
func (s *GRPCServer) write(c net.Conn, b []byte) bool {
	n, err := c.Write(b)
	s.sent.Add(int64(n))
	return err == nil
}

// Sent returns the number of bytes sent on all connections. Up to some megabytes of them
// may be in the buffers of the sockets.
func (s *GRPCServer) Sent() int64 { return s.sent.Load() }

// IsClosedWithin is the same as for a Server.
func (s *GRPCServer) IsClosedWithin(d time.Duration) bool { return isZeroWithin(&s.open, d) }
