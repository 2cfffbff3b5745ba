// Package peer implements the gRPC protocol between nodes: heartbeats, transfer
// of configurations, and slot reservations.
//
// Invariant: a heartbeat or configuration call that times out is never retried on
// the same connection. Reservations and slot updates rely on the next heartbeat
// to close a failed connection.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/node"
	pb "eelgrassring.dev/internal/peer/peerpb"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/reservation"
)

const (
	// maxMessage limits a message of a peer, in bytes. A configuration, the largest, has
	// up to 1 MB.
	maxMessage = 4 << 20
	// maxHeader limits the header of a peer's response, in bytes.
	maxHeader = 16 << 10
)

// Client implements node.PeerClient, the calls of a node to its peers. It keeps one
// connection per peer.
type Client struct {
	mu sync.Mutex
	// conns holds the connection to each peer by its address.
	conns map[string]*grpc.ClientConn
}

// NewClient returns a Client, which connects to a peer at the first call to it.
func NewClient() *Client {
	return &Client{conns: map[string]*grpc.ClientConn{}}
}

// connTo returns the connection to the peer at address, and creates it if there is
// none.
func (c *Client) connTo(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)), grpc.WithMaxHeaderListSize(maxHeader))
	if err != nil {
		return nil, fmt.Errorf("create client for peer %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

// dropFailedConn closes conn, a connection to the peer at address, if err says
// that a call on it timed out, that the peer was unavailable or that its response was
// malformed. After other errors it keeps the connection.
func (c *Client) dropFailedConn(address string, conn *grpc.ClientConn, err error) {
	code := status.Code(err)
	if code != codes.DeadlineExceeded && code != codes.Unavailable && !isMalformed(code) {
		return
	}
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.Close()
}

// isMalformed reports whether a call failed because its response was too long or violated
// the protocol. The peer may go on sending on the connection.
func isMalformed(code codes.Code) bool {
	return code == codes.ResourceExhausted || code == codes.Internal || code == codes.Unknown
}

// Heartbeat implements node.PeerClient.
func (c *Client) Heartbeat(ctx context.Context, address string, self node.Peer) (int64, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return 0, err
	}
	r, err := pb.NewPeerClient(conn).Heartbeat(ctx, EncodeHeartbeat(self, self.Configuration))
	if err != nil {
		c.dropFailedConn(address, conn, err)
		return 0, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	return r.Revision, nil
}

// FetchSnapshot implements node.PeerClient.
func (c *Client) FetchSnapshot(ctx context.Context, address string, after int64) (node.Snapshot, error) {
	r, err := c.requestConfiguration(ctx, address, after)
	if err != nil {
		return node.Snapshot{}, err
	}
	return snapshotFromProto(r)
}

// FetchConfig fetches the active routing configuration of a peer and returns its
// number and its text. The text is empty unless the number is larger than after.
func (c *Client) FetchConfig(ctx context.Context, address string, after int64) (int64, []byte, error) {
	r, err := c.requestConfiguration(ctx, address, after)
	if err != nil {
		return 0, nil, err
	}
	return r.Revision, r.Document, nil
}

// requestConfiguration requests the active configuration of the peer at address.
// after is the number of this node's own configuration.
func (c *Client) requestConfiguration(ctx context.Context, address string, after int64) (*pb.ConfigurationResponse, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return nil, err
	}
	r, err := pb.NewPeerClient(conn).Configuration(ctx, &pb.ConfigurationRequest{After: after})
	if err != nil {
		c.dropFailedConn(address, conn, err)
		return nil, fmt.Errorf("fetch configuration from %s: %w", address, err)
	}
	return r, nil
}

// ReserveSlot implements node.PeerClient.
func (c *Client) ReserveSlot(ctx context.Context, address string, g ring.Group, holder string) (reservation.Result, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return reservation.ResultUnavailable, err
	}
	r, err := pb.NewPeerClient(conn).Reserve(ctx, &pb.ReserveRequest{Group: string(g), Holder: holder})
	if err != nil {
		// The connection is kept after a timeout: the timeout of a reservation is
		// short, and a heartbeat detects a connection that no longer delivers
		// responses.
		if isMalformed(status.Code(err)) {
			c.dropFailedConn(address, conn, err)
		}
		return reservation.ResultUnavailable, fmt.Errorf("reserve slot at %s: %w", address, err)
	}
	return resultFromProto(r.Answer), nil
}

// resultFromProto converts a peer's answer to a reservation request.
func resultFromProto(a pb.ReserveResponse_Answer) reservation.Result {
	switch a {
	case pb.ReserveResponse_GRANTED:
		return reservation.ResultGranted
	case pb.ReserveResponse_BUSY:
		return reservation.ResultBusy
	default:
		return reservation.ResultFull
	}
}

// resultToProto converts the result of a reservation request.
func resultToProto(r reservation.Result) pb.ReserveResponse_Answer {
	switch r {
	case reservation.ResultGranted:
		return pb.ReserveResponse_GRANTED
	case reservation.ResultBusy:
		return pb.ReserveResponse_BUSY
	default:
		return pb.ReserveResponse_FULL
	}
}

// AskPermit implements node.PeerClient.
func (c *Client) AskPermit(ctx context.Context, address string, r quota.Request) (quota.Reply, error) {
	conn, err := c.connTo(address)
	if err != nil {
		return quota.Reply{}, err
	}
	reply, err := pb.NewPeerClient(conn).Permit(ctx, &pb.PermitRequest{Server: uint64(r.Server), PerSecond: r.PerSecond, AgeMs: r.Age.Milliseconds(), WaitMs: r.MaxWait.Milliseconds()})
	if err != nil {
		if isMalformed(status.Code(err)) {
			c.dropFailedConn(address, conn, err)
		}
		return quota.Reply{}, fmt.Errorf("ask %s for a permit: %w", address, err)
	}
	// The answers have the numbers of quota's results.
	return quota.Reply{Result: quota.Result(reply.Answer), Wait: millis(reply.WaitMs), Age: millis(reply.AgeMs)}, nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// UpdateSlots implements node.PeerClient.
func (c *Client) UpdateSlots(ctx context.Context, address, holder string, updates node.SlotUpdates) error {
	conn, err := c.connTo(address)
	if err != nil {
		return err
	}
	request := &pb.NoteRequest{Holder: holder, Started: groupNames(updates.FirstToken), Released: groupNames(updates.Released), Taken: groupNames(updates.Taken)}
	if _, err := pb.NewPeerClient(conn).Note(ctx, request); err != nil {
		if isMalformed(status.Code(err)) {
			c.dropFailedConn(address, conn, err)
		}
		return fmt.Errorf("send slot updates to %s: %w", address, err)
	}
	return nil
}

// groupNames converts groups to strings.
func groupNames(groups []ring.Group) []string {
	out := make([]string, len(groups))
	for i, g := range groups {
		out[i] = string(g)
	}
	return out
}

// groupsFromNames converts strings to groups.
func groupsFromNames(names []string) []ring.Group {
	out := make([]ring.Group, len(names))
	for i, n := range names {
		out[i] = ring.Group(n)
	}
	return out
}

// snapshotFromProto decodes a peer's configuration and group records.
func snapshotFromProto(r *pb.ConfigurationResponse) (node.Snapshot, error) {
	out := node.Snapshot{ConfigNumber: r.Revision, Document: r.Document}
	for _, stored := range r.Records {
		var record placement.Record
		if err := json.Unmarshal(stored.Value, &record); err != nil {
			return out, fmt.Errorf("decode group record of a peer: %w", err)
		}
		out.Records = append(out.Records, placement.StoredRecord{Record: record, Modified: ring.Revision(stored.Modified)})
	}
	return out, nil
}

// EncodeHeartbeat returns the heartbeat message that carries the state of node p,
// with its request counts by workspace and group. Counts are sent without
// names, in the order of the configuration c, because heartbeats are most of the
// traffic between nodes.
func EncodeHeartbeat(p node.Peer, c *deployment.Configuration) *pb.HeartbeatRequest {
	out := &pb.HeartbeatRequest{
		Name: p.Name, Address: p.Address, Entry: p.CallerAddress, Zone: string(p.Zone), Incarnation: p.Incarnation,
		Revision: p.ConfigNumber, Draining: p.Draining,
	}
	for _, vm := range p.Leaving {
		out.Leaving = append(out.Leaving, string(vm))
	}
	now := time.Now()
	for _, o := range p.Limits {
		out.Limits = append(out.Limits, &pb.Limit{Server: uint64(o.Server), Limited: o.IsLimited, PerSecond: o.PerSecond, AgeMs: now.Sub(o.At).Milliseconds()})
	}
	encodeSuspects(out, p, now)
	if c == nil {
		return out
	}
	for _, w := range c.Workspaces() {
		d := p.Demand[w.Name]
		out.Running = append(out.Running, uint32(d.Running))
		out.Queued = append(out.Queued, uint32(d.Queued))
	}
	for _, g := range c.Groups() {
		out.Outstanding = append(out.Outstanding, uint32(p.Outstanding[g.Name]))
	}
	return out
}

// DecodeHeartbeat returns the state of the peer that sent a heartbeat. Counts are
// read only if there are as many as c has workspaces and groups; the receiver
// checks that the configuration numbers are the same.
func DecodeHeartbeat(r *pb.HeartbeatRequest, c *deployment.Configuration) node.Peer {
	p := node.Peer{
		Name: r.Name, Address: r.Address, CallerAddress: r.Entry, Zone: ring.Zone(r.Zone), Incarnation: r.Incarnation,
		ConfigNumber: r.Revision, Draining: r.Draining,
		Demand: map[ring.Workspace]node.PeerDemand{}, Outstanding: map[ring.Group]int{},
	}
	for _, vm := range r.Leaving {
		p.Leaving = append(p.Leaving, ring.VM(vm))
	}
	now := time.Now()
	for _, l := range r.Limits {
		p.Limits = append(p.Limits, quota.Observation{Server: quota.Key(l.Server), IsLimited: l.Limited, PerSecond: l.PerSecond, At: now.Add(-millis(l.AgeMs))})
	}
	decodeSuspects(&p, r, now)
	if c == nil || len(r.Running) != len(c.Workspaces()) || len(r.Queued) != len(r.Running) || len(r.Outstanding) != len(c.Groups()) {
		return p
	}
	for i, w := range c.Workspaces() {
		p.Demand[w.Name] = node.PeerDemand{Running: int(r.Running[i]), Queued: int(r.Queued[i])}
	}
	for i, g := range c.Groups() {
		p.Outstanding[g.Name] = int(r.Outstanding[i])
	}
	return p
}

const (
	// maxRequest limits a message to this node, in bytes. A heartbeat, the largest, has
	// some bytes for each workspace and group.
	maxRequest = 1 << 20
	// maxStreams limits the calls in progress on the connection of a peer.
	maxStreams = 1000
	// handshakeTimeout bounds the opening of a connection by a peer.
	handshakeTimeout = 2 * time.Second
)

// connBuffer is the size in bytes of each buffer of a connection: anybody may open many, and nodes send
// short messages.
const connBuffer = 4 << 10

// NewServer returns a gRPC server with limits for what peers send.
func NewServer() *grpc.Server {
	return grpc.NewServer(grpc.MaxRecvMsgSize(maxRequest), grpc.MaxHeaderListSize(maxHeader), grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(connBuffer), grpc.WriteBufferSize(connBuffer))
}

// Server implements the gRPC service Peer for a node whose groups are declared.
type Server struct {
	pb.UnimplementedPeerServer
	node *node.Node
}

// ConfigSource provides a node's active routing configuration: its number and
// its text as stored.
type ConfigSource interface {
	ActiveConfig() (number int64, text []byte)
}

// ConfigServer implements only the Configuration call of the gRPC service Peer, for
// nodes with discovered backend servers. These nodes send each other all other
// state by datagram.
type ConfigServer struct {
	pb.UnimplementedPeerServer
	source ConfigSource
}

// RegisterConfigSource registers a ConfigServer for source with a gRPC server.
func RegisterConfigSource(s *grpc.Server, source ConfigSource) {
	pb.RegisterPeerServer(s, &ConfigServer{source: source})
}

// Configuration returns the active configuration to a node that cannot read it
// from the store. The response is empty if that node's configuration is not
// older.
func (s *ConfigServer) Configuration(ctx context.Context, r *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
	number, text := s.source.ActiveConfig()
	if number <= r.After {
		return &pb.ConfigurationResponse{}, nil
	}
	compressLarge(ctx, len(text))
	return &pb.ConfigurationResponse{Revision: number, Document: text}, nil
}

// RegisterNode registers the gRPC service Peer of node n with the gRPC server s.
func RegisterNode(s *grpc.Server, n *node.Node) {
	pb.RegisterPeerServer(s, &Server{node: n})
}

// Heartbeat passes the state of a peer to the node and returns the number of the
// node's active configuration.
func (s *Server) Heartbeat(ctx context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	c, _ := s.node.Table().Configuration()
	p := DecodeHeartbeat(r, c)
	return &pb.HeartbeatResponse{Revision: s.node.ReceiveHeartbeat(ctx, p)}, nil
}

// Configuration returns the active configuration and the group records to a peer
// whose configuration is older.
func (s *Server) Configuration(ctx context.Context, _ *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
	snapshot := s.node.Snapshot()
	compressLarge(ctx, len(snapshot.Document))
	out := &pb.ConfigurationResponse{Revision: snapshot.ConfigNumber, Document: snapshot.Document}
	for _, r := range snapshot.Records {
		value, err := json.Marshal(r.Record)
		if err != nil {
			return nil, err
		}
		out.Records = append(out.Records, &pb.GroupRecord{Value: value, Modified: int64(r.Modified)})
	}
	return out, nil
}

// Reserve reserves a slot for a peer at a group whose reservations this node keeps
// (its home node).
func (s *Server) Reserve(_ context.Context, r *pb.ReserveRequest) (*pb.ReserveResponse, error) {
	return &pb.ReserveResponse{Answer: resultToProto(s.node.GrantSlot(ring.Group(r.Group), r.Holder))}, nil
}

// Permit gives a peer a permit for a limited backend server of which this node is the home
// node.
func (s *Server) Permit(_ context.Context, r *pb.PermitRequest) (*pb.PermitResponse, error) {
	reply := s.node.GrantPermit(quota.Request{Server: quota.Key(r.Server), PerSecond: r.PerSecond, Age: millis(r.AgeMs), MaxWait: millis(r.WaitMs)})
	// The wait is rounded up, so that no permit is used early.
	return &pb.PermitResponse{Answer: pb.PermitResponse_Answer(reply.Result), WaitMs: (reply.Wait + time.Millisecond - 1).Milliseconds(), AgeMs: reply.Age.Milliseconds()}, nil
}

// Note applies a peer's slot updates (requests sent, first tokens, ends) to the
// groups whose reservations this node keeps.
func (s *Server) Note(_ context.Context, r *pb.NoteRequest) (*pb.NoteResponse, error) {
	s.node.ApplySlotUpdates(r.Holder, node.SlotUpdates{Taken: groupsFromNames(r.Taken), FirstToken: groupsFromNames(r.Started), Released: groupsFromNames(r.Released)})
	return &pb.NoteResponse{}, nil
}
