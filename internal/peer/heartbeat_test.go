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

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/engine"
	"eelgrassring.dev/internal/node"
	pb "eelgrassring.dev/internal/peer/peerpb"
	standin "eelgrassring.dev/internal/standin/engine"
)

// newConfiguration returns a configuration with the given number of groups and 10
// workspaces.
func newConfiguration(t testing.TB, groups int) *deployment.Configuration {
	t.Helper()
	d := deployment.Document{
		Name: "d", Objective: deployment.Objective{Downtime: 1}, Models: []deployment.Model{{Name: "m", Versions: []string{"1"}}},
		VMs: []deployment.VM{{Name: "vm", Address: "127.0.0.1:1", Zone: "a", Domain: "d", Accelerators: 1, Fencing: "checked"}},
	}
	for g := range groups {
		d.Groups = append(d.Groups, deployment.Group{Name: ring.Group(fmt.Sprintf("drafting-%03d", g)), Model: "m", Version: "1", Size: 1, Slots: 16})
	}
	for w := range 10 {
		d.Workspaces = append(d.Workspaces, deployment.Workspace{Name: ring.Workspace(fmt.Sprintf("workspace-%d", w)), Weight: 1, Limit: 1})
	}
	c, err := deployment.New(d)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Decoding a heartbeat must give the state that was encoded. Counts must be ignored
// if the receiver's configuration has another number of groups.
func TestHeartbeatRoundTrip(t *testing.T) {
	is := is.New(t)
	c := newConfiguration(t, 3)
	p := node.Peer{
		Name: "n1", Address: "a", CallerAddress: "e", Zone: "z", Incarnation: "i", ConfigNumber: 7, Draining: true, Leaving: []ring.VM{"vm"},
		Outstanding: map[ring.Group]int{"drafting-000": 0, "drafting-001": 2, "drafting-002": 0}, Demand: map[ring.Workspace]node.PeerDemand{},
	}
	for i, w := range c.Workspaces() {
		p.Demand[w.Name] = node.PeerDemand{Running: i, Queued: 2 * i}
	}
	text, err := proto.Marshal(EncodeHeartbeat(p, c))
	is.NoErr(err)
	var r pb.HeartbeatRequest
	is.NoErr(proto.Unmarshal(text, &r))
	is.Equal(DecodeHeartbeat(&r, c), p)
	is.Equal(len(DecodeHeartbeat(&r, newConfiguration(t, 4)).Outstanding), 0) // counts of another configuration are ignored
}

// BenchmarkHeartbeat reports the size of one heartbeat by the number of groups at
// which a node has requests.
func BenchmarkHeartbeat(b *testing.B) {
	for _, groups := range []int{16, 194, 775} {
		b.Run(fmt.Sprint(groups, " groups"), func(b *testing.B) {
			p := node.Peer{Name: "node-001", Address: "10.20.30.40:8181", CallerAddress: "10.20.30.40:8081", Zone: "a", Incarnation: "abcdefghijk", ConfigNumber: 18000,
				Outstanding: map[ring.Group]int{}, Demand: map[ring.Workspace]node.PeerDemand{}}
			c := newConfiguration(b, groups)
			for _, g := range c.Groups() {
				p.Outstanding[g.Name] = 3
			}
			for _, w := range c.Workspaces() {
				p.Demand[w.Name] = node.PeerDemand{Running: 10, Queued: 1}
			}
			size := 0
			for range b.N {
				text, err := proto.Marshal(EncodeHeartbeat(p, c))
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// BenchmarkProbe measures one status request to a backend server over loopback,
// client and server both in this process.
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

// BenchmarkProbeBytes reports the bytes that one status call sends and receives.
func BenchmarkProbeBytes(b *testing.B) {
	server := httptest.NewServer(standin.New(standin.Config{VM: "vm"}).Handler())
	defer server.Close()
	counted := &countingConn{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		counted.Conn = conn
		return counted, err
	}}
	control := engine.NewControl(engine.ControlConfig{Timeout: time.Second, KeepAlive: transport})
	for range b.N {
		if _, err := control.Status(b.Context(), strings.TrimPrefix(server.URL, "http://")); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counted.sent)/float64(b.N), "bytes-sent/op")
	b.ReportMetric(float64(counted.received)/float64(b.N), "bytes-received/op")
}

// countingConn is a connection that counts the bytes sent and received on it.
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
