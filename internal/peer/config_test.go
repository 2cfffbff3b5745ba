package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
)

// fakeSource is a ConfigSource with a fixed configuration.
type fakeSource struct {
	number int64
	text   string
}

func (s fakeSource) ActiveConfig() (number int64, text []byte) { return s.number, []byte(s.text) }

// A peer must send its configuration only if it is newer than the caller's.
func TestFetchConfigReturnsOnlyNewerConfiguration(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer()
	RegisterConfigSource(server, fakeSource{number: 7, text: "routes"})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client := NewClient()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	number, text, err := client.FetchConfig(ctx, listener.Addr().String(), 6)
	is.NoErr(err)
	is.Equal(number, int64(7))
	is.Equal(string(text), "routes")
	number, text, err = client.FetchConfig(ctx, listener.Addr().String(), 7)
	is.NoErr(err)
	is.Equal(number, int64(0))
	is.Equal(len(text), 0)
}

// countingListener counts the bytes that are sent on its connections.
type countingListener struct {
	net.Listener
	sent atomic.Int64
}

// sendCounter is a connection of a countingListener.
type sendCounter struct {
	net.Conn
	sent *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return sendCounter{conn, &l.sent}, err
}

func (c sendCounter) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestLargeConfigurationIsSentCompressed guards against nodes that get a configuration of
// thousands of routes too late, because each hands it to several others over a slow link.
func TestLargeConfigurationIsSentCompressed(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &countingListener{Listener: inner}
	var text strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%d.example","prefix":"/p%d/","attempts":2,"timeout":8000},`, i*7919, i%17, i*31)
	}
	server := grpc.NewServer()
	RegisterConfigSource(server, fakeSource{number: 7, text: text.String()})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, got, err := NewClient().FetchConfig(ctx, inner.Addr().String(), 0)
	is.NoErr(err)
	is.Equal(string(got), text.String())
	if sent := listener.sent.Load(); sent > int64(text.Len()/4) {
		t.Errorf("%d bytes were sent for a configuration of %d", sent, text.Len())
	}
}
