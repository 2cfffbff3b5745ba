package peer

import (
	"context"
	"net"
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
