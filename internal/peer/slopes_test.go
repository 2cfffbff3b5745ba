package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/node"
	standin "eelgrassring.dev/internal/standin/engine"
)

// BenchmarkHeartbeat reports the size of one heartbeat by the groups at which
// a node has requests.
func BenchmarkHeartbeat(b *testing.B) {
	for _, groups := range []int{16, 194, 775} {
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			p := node.Peer{Name: "node-001", Address: "10.20.30.40:8181", Entry: "10.20.30.40:8081", Zone: "a", Incarnation: "abcdefghijk", Number: 18000,
				Outstanding: map[ring.Group]int{}, Demand: map[ring.Workspace]node.PeerDemand{}}
			for g := range groups {
				p.Outstanding[ring.Group(fmt.Sprintf("drafting-%03d", g))] = 3
			}
			for w := range 10 {
				p.Demand[ring.Workspace(fmt.Sprintf("workspace-%d", w))] = node.PeerDemand{Running: 10, Queued: 1}
			}
			size := 0
			for range b.N {
				text, err := proto.Marshal(RequestOf(p))
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// BenchmarkProbe is one question for a backend server's status over loopback;
// both ends run in this process.
func BenchmarkProbe(b *testing.B) {
	server := httptest.NewServer(standin.New(standin.Config{VM: "vm"}).Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second})
	for range b.N {
		if _, err := control.Status(b.Context(), address); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkProbeBytes reports what one such question puts on the wire.
func BenchmarkProbeBytes(b *testing.B) {
	server := httptest.NewServer(standin.New(standin.Config{VM: "vm"}).Handler())
	defer server.Close()
	counted := &countingConn{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		counted.Conn = conn
		return counted, err
	}}
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second, Kept: transport})
	for range b.N {
		if _, err := control.Status(b.Context(), strings.TrimPrefix(server.URL, "http://")); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counted.sent)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(counted.received)/float64(b.N), "bytes-received/op")
}

type countingConn struct {
	net.Conn
	sent, received int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += n
	return n, err
}
