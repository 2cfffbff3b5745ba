// Package etcd implements ring.Store on key-value services with the etcd v3 gRPC
// API.
//
// Terms: a nested transaction is one operation of an outer transaction; it lets
// independent transactions share one call.
//
// Invariants: a write whose response is lost or late returns
// ring.ErrOutcomeUnknown; a call that times out is never retried on the same
// connection, because that connection may never deliver a response again.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	ring "eelgrassring.dev"
	pb "eelgrassring.dev/internal/etcd/etcdpb"
)

const (
	// callTimeout limits one call unless the caller's context has an earlier
	// deadline.
	callTimeout = 2 * time.Second
	// keepaliveInterval is the time after which an idle connection is probed.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout is how long a probe may wait for its acknowledgement
	// before the connection is closed.
	keepaliveTimeout = 2 * time.Second
	// maxMessage limits a message of the service, in bytes. A listing, the largest, is one
	// message; a value has up to 1 MB.
	maxMessage = 4 << 20
	// maxHeader limits the header of a response, in bytes.
	maxHeader = 16 << 10
)

// dial returns a connection to the service, which it opens at the first call.
func (c *Client) dial(k keepalive.ClientParameters) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+c.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithKeepaliveParams(k),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)), grpc.WithMaxHeaderListSize(maxHeader))
}

// Config configures a Client. Address is the service's IP and port.
type Config struct {
	Address string
}

// Client implements ring.Store on one connection that all calls but watches share.
// It is safe for concurrent use.
type Client struct {
	address string

	mu sync.Mutex
	// conn is the shared connection, or nil if the next call has to open it.
	conn *grpc.ClientConn
}

// New returns a Client, which connects at its first call.
func New(c Config) (*Client, error) {
	client := &Client{address: c.Address}
	if _, err := client.sharedConn(); err != nil {
		return nil, err
	}
	return client, nil
}

// Close closes the shared connection; it does not end watches.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return err
}

// sharedConn returns the connection that calls share, and opens it if there is
// none.
func (c *Client) sharedConn() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := c.dial(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true})
	if err != nil {
		return nil, fmt.Errorf("create client for store %s: %w", c.address, err)
	}
	c.conn = conn
	return conn, nil
}

// discardConn closes a shared connection on which a call timed out or got a malformed
// response, so that the next call opens a new one.
func (c *Client) discardConn(conn *grpc.ClientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}

// callWithTimeout runs fn with the shared connection and a context that ends after
// callTimeout. It discards the connection if fn times out, or if the response is too long
// or violates the protocol: the service may go on sending on the connection.
func callWithTimeout[T any](ctx context.Context, c *Client, fn func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var zero T
	conn, err := c.sharedConn()
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := fn(ctx, conn)
	switch code := status.Code(err); {
	case code == codes.DeadlineExceeded, errors.Is(err, context.DeadlineExceeded), code == codes.ResourceExhausted, code == codes.Internal:
		c.discardConn(conn)
	}
	return out, err
}

// Get implements ring.Store.
func (c *Client) Get(ctx context.Context, key string) (ring.Entry, bool, error) {
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.RangeResponse, error) {
		return pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	})
	if err != nil {
		return ring.Entry{}, false, fmt.Errorf("get %s: %w", key, err)
	}
	if len(r.Kvs) == 0 {
		return ring.Entry{}, false, nil
	}
	return entryFromProto(r.Kvs[0]), true, nil
}

// List implements ring.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]ring.Entry, ring.Revision, error) {
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.RangeResponse, error) {
		return pb.NewKVClient(conn).Range(ctx, &pb.RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)})
	})
	if err != nil {
		return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
	}
	out := make([]ring.Entry, len(r.Kvs))
	for i, kv := range r.Kvs {
		out[i] = entryFromProto(kv)
	}
	return out, ring.Revision(r.Header.GetRevision()), nil
}

// Commit implements ring.Store.
func (c *Client) Commit(ctx context.Context, txn ring.Txn) (ring.TxnResult, error) {
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.TxnResponse, error) {
		return pb.NewKVClient(conn).Txn(ctx, txnRequest(txn))
	})
	if err != nil {
		return ring.TxnResult{}, writeError("commit", err)
	}
	return ring.TxnResult{Succeeded: r.Succeeded, Revision: ring.Revision(r.Header.GetRevision())}, nil
}

// CommitEach implements ring.Store with one call of nested transactions.
func (c *Client) CommitEach(ctx context.Context, txns []ring.Txn) ([]ring.TxnResult, error) {
	outer := &pb.TxnRequest{}
	for _, t := range txns {
		op := &pb.RequestOp{Request: &pb.RequestOp_RequestTxn{RequestTxn: txnRequest(t)}}
		outer.Success = append(outer.Success, op)
	}
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.TxnResponse, error) {
		return pb.NewKVClient(conn).Txn(ctx, outer)
	})
	if err != nil {
		return nil, writeError("commit batch", err)
	}
	if len(r.Responses) != len(txns) {
		return nil, fmt.Errorf("commit batch: %d responses to %d transactions: %w", len(r.Responses), len(txns), ring.ErrOutcomeUnknown)
	}
	out := make([]ring.TxnResult, len(txns))
	for i, response := range r.Responses {
		out[i] = ring.TxnResult{Succeeded: response.GetResponseTxn().GetSucceeded(), Revision: ring.Revision(r.Header.GetRevision())}
	}
	return out, nil
}

// Grant implements ring.Store. It rounds ttl up to whole seconds, the unit of the
// API.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (ring.Lease, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseGrantResponse, error) {
		return pb.NewLeaseClient(conn).LeaseGrant(ctx, &pb.LeaseGrantRequest{TTL: seconds})
	})
	if err != nil {
		return ring.Lease{}, writeError("grant lease", err)
	}
	return ring.Lease{Number: r.ID}, nil
}

// Renew implements ring.Store.
func (c *Client) Renew(ctx context.Context, lease ring.Lease) error {
	r, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseKeepAliveResponse, error) {
		return keepAliveOnce(ctx, conn, lease)
	})
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	if r.TTL <= 0 {
		return ring.ErrLeaseLost
	}
	return nil
}

// keepAliveOnce sends one renewal of a lease and returns the response.
func keepAliveOnce(ctx context.Context, conn *grpc.ClientConn, lease ring.Lease) (*pb.LeaseKeepAliveResponse, error) {
	stream, err := pb.NewLeaseClient(conn).LeaseKeepAlive(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CloseSend()
	if err := stream.Send(&pb.LeaseKeepAliveRequest{ID: lease.Number}); err != nil {
		return nil, err
	}
	return stream.Recv()
}

// Revoke implements ring.Store.
func (c *Client) Revoke(ctx context.Context, lease ring.Lease) error {
	_, err := callWithTimeout(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*pb.LeaseRevokeResponse, error) {
		return pb.NewLeaseClient(conn).LeaseRevoke(ctx, &pb.LeaseRevokeRequest{ID: lease.Number})
	})
	if err != nil {
		return writeError("revoke lease", err)
	}
	return nil
}

// Era implements ring.Store. The etcd API names no eras: a cluster that is restored
// from a copy must not be used with the running nodes.
func (c *Client) Era() ring.StoreEra { return ring.StoreEra{} }

// ObserveEra implements ring.Store. It does nothing.
func (c *Client) ObserveEra(ring.Era) {}

// SettleEra implements ring.Store. It does nothing.
func (c *Client) SettleEra(ring.Era) bool { return false }

// Watch implements ring.Store. It opens its own connection, so that discarding
// the shared one after a timeout does not end the watch.
func (c *Client) Watch(ctx context.Context, prefix string, from ring.Revision, sink func(ring.Changes)) error {
	conn, err := c.dial(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout})
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	defer conn.Close()
	stream, err := pb.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	create := &pb.WatchCreateRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: int64(from)}
	if err := stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: create}}); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("watch %s: %w", prefix, err)
		}
		if r.Canceled {
			return fmt.Errorf("watch %s: cancelled by the service: %s", prefix, r.CancelReason)
		}
		sink(changesFromProto(r))
	}
}

// changesFromProto converts the events of a watch response.
func changesFromProto(r *pb.WatchResponse) ring.Changes {
	out := ring.Changes{Revision: ring.Revision(r.Header.GetRevision())}
	for _, e := range r.Events {
		out.Changes = append(out.Changes, ring.Change{Entry: entryFromProto(e.Kv), Deleted: e.Type == pb.Event_DELETE})
	}
	return out
}

// writeError wraps the error of a write in ring.ErrOutcomeUnknown unless its code
// shows that the write had no effect. ResourceExhausted does not: it is also the code of
// a response that is too long for this client.
func writeError(operation string, err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return fmt.Errorf("%s: %w: %w", operation, ring.ErrLeaseLost, err)
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.FailedPrecondition:
		return fmt.Errorf("%s: %w", operation, err)
	}
	return fmt.Errorf("%s: %w: %w", operation, ring.ErrOutcomeUnknown, err)
}

// entryFromProto converts a key with its value and revisions.
func entryFromProto(kv *pb.KeyValue) ring.Entry {
	return ring.Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Created:  ring.Revision(kv.CreateRevision),
		Modified: ring.Revision(kv.ModRevision),
		Lease:    ring.Lease{Number: kv.Lease},
	}
}

// txnRequest converts a transaction: guards become comparisons, and writes the
// operations that run if all comparisons hold.
func txnRequest(t ring.Txn) *pb.TxnRequest {
	out := &pb.TxnRequest{}
	for _, g := range t.Guards {
		key := []byte(g.Key)
		if g.CheckCreated {
			out.Compare = append(out.Compare, &pb.Compare{Key: key, Target: pb.Compare_CREATE,
				TargetUnion: &pb.Compare_CreateRevision{CreateRevision: int64(g.Created)}})
		}
		if g.CheckModified {
			out.Compare = append(out.Compare, &pb.Compare{Key: key, Target: pb.Compare_MOD,
				TargetUnion: &pb.Compare_ModRevision{ModRevision: int64(g.Modified)}})
		}
	}
	for _, w := range t.Writes {
		out.Success = append(out.Success, writeRequestOp(w))
	}
	return out
}

// writeRequestOp converts a write to a delete or put operation.
func writeRequestOp(w ring.Write) *pb.RequestOp {
	if w.Delete {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(w.Key)}}}
	}
	return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{
		RequestPut: &pb.PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease.Number}}}
}

// PrefixEnd returns the exclusive end of the key range that holds all keys with
// the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
