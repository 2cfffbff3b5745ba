package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/node"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/suspect"
)

// TestPermitRoundTrip checks that a request for a permit and its reply reach the other node
// unchanged, with times rounded so that no permit is used early.
func TestPermitRoundTrip(t *testing.T) {
	is := is.New(t)
	home := node.New(node.Config{Name: "home", Table: node.NewTable(node.TableConfig{})})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer()
	RegisterNode(server, home)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client, address := NewClient(), listener.Addr().String()

	// A node that has not listed the members does not take itself for the home node.
	reply, err := client.AskPermit(ctx, address, quota.Request{Server: 7, PerSecond: 2.5, Age: 300 * time.Millisecond, MaxWait: time.Second})
	is.NoErr(err)
	is.Equal(reply.Result, quota.ResultDenied)
	is.True(reply.Wait > 0)
	o, isLimited := home.Quota().Gate().Registry().Limit(7, time.Now())
	is.True(isLimited)
	is.Equal(o.PerSecond, 2.5)

	home.Quota().Observe(quota.Observation{Server: 7, At: time.Now()})
	reply, err = client.AskPermit(ctx, address, quota.Request{Server: 7, PerSecond: 2.5, Age: time.Minute})
	is.NoErr(err)
	is.Equal(reply.Result, quota.ResultUnlimited)
}

// TestHeartbeatCarriesLimits checks that the ages of rate limits survive a heartbeat.
func TestHeartbeatCarriesLimits(t *testing.T) {
	is := is.New(t)
	at := time.Now().Add(-3 * time.Second)
	p := DecodeHeartbeat(EncodeHeartbeat(node.Peer{Name: "n", Limits: []quota.Observation{
		{Server: 1 << 63, IsLimited: true, PerSecond: 0.5, At: at}, {Server: 2, At: at},
	}}, nil), nil)
	is.Equal(len(p.Limits), 2)
	is.Equal(p.Limits[0].Server, quota.Key(1<<63))
	is.Equal(p.Limits[0].PerSecond, 0.5)
	is.True(p.Limits[0].IsLimited && !p.Limits[1].IsLimited)
	is.True(p.Limits[1].At.Sub(at).Abs() < 100*time.Millisecond)
}

// TestHeartbeatCarriesSuspects checks that strikes, sound requests and refusals survive a heartbeat.
func TestHeartbeatCarriesSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := node.Peer{
		Name:     "n",
		Strikes:  []suspect.Strike{{Subject: 1 << 63, Server: "vm1", Incarnation: "i", IsStrong: true}, {Subject: 2, Server: "vm2"}},
		Sound:    []suspect.Digest{3},
		Refusals: []suspect.Refusal{{Subjects: []suspect.Digest{4, 5}, Since: now.Add(-2 * time.Second), DecidedAt: now.Add(-time.Second), Until: now.Add(time.Minute), IsLate: true}},
	}
	got := DecodeHeartbeat(EncodeHeartbeat(sent, nil), nil)
	is.Equal(got.Strikes, sent.Strikes)
	is.Equal(got.Sound, sent.Sound)
	is.Equal(got.Refusals[0].Subjects, sent.Refusals[0].Subjects)
	is.True(got.Refusals[0].IsLate)
	for got, want := range map[time.Time]time.Time{got.Refusals[0].Since: sent.Refusals[0].Since, got.Refusals[0].DecidedAt: sent.Refusals[0].DecidedAt, got.Refusals[0].Until: sent.Refusals[0].Until} {
		is.True(got.Sub(want).Abs() < 100*time.Millisecond)
	}
}
