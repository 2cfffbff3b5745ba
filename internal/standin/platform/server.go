package platform

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/etcd"
	pb "eelgrassring.dev/internal/etcd/etcdpb"
)

// expireInterval is the time between two checks for expired leases.
const expireInterval = 100 * time.Millisecond

// Server serves the etcd v3 API over a keyspace and fails calls as the active
// fault says.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	keys   *Keyspace
	faults *Faults
}

// Register adds the key-value, watch and lease services to a gRPC server.
func Register(s *grpc.Server, keys *Keyspace, faults *Faults) {
	server := &Server{keys: keys, faults: faults}
	pb.RegisterKVServer(s, server)
	pb.RegisterWatchServer(s, server)
	pb.RegisterLeaseServer(s, server)
}

// RunLeaseExpiry ends expired leases at intervals until the context ends.
func RunLeaseExpiry(ctx context.Context, keys *Keyspace) {
	clock.Every(ctx, expireInterval, func(context.Context) { keys.ExpireLeases() })
}

// injectFaultBefore returns the error of a fault that fails a call before it
// takes effect, or nil.
func (s *Server) injectFaultBefore(ctx context.Context, write bool) error {
	switch s.faults.activeFault() {
	case FaultDown:
		return status.Error(codes.Unavailable, "service is down")
	case FaultSilent:
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	case FaultWriteLost:
		if write {
			return status.Error(codes.Unavailable, "connection lost")
		}
	}
	return nil
}

// injectFaultAfter returns the error of a fault that fails a write after it
// took effect, or nil.
func (s *Server) injectFaultAfter() error {
	if fault := s.faults.activeFault(); fault == FaultResponseLost {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

// currentHeader returns a response header with the current revision of the
// keyspace.
func (s *Server) currentHeader() *pb.ResponseHeader {
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	return &pb.ResponseHeader{Revision: int64(s.keys.revision)}
}

// lease returns the lease with the given ID of the etcd API, which names no eras. The
// ID 0 is no lease.
func (s *Server) lease(id int64) ring.Lease {
	if id == 0 {
		return ring.Lease{}
	}
	return ring.Lease{Number: id, Era: s.keys.Era().Number}
}

// Range reads a single key or all keys with a prefix.
func (s *Server) Range(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.faults.calls.Reads.Add(1)
	if err := s.injectFaultBefore(ctx, false); err != nil {
		return nil, err
	}
	if len(r.RangeEnd) == 0 {
		e, ok, _ := s.keys.Get(ctx, string(r.Key))
		out := &pb.RangeResponse{Header: s.currentHeader()}
		if ok {
			out.Kvs = append(out.Kvs, toKeyValue(e))
			out.Count = 1
		}
		return out, nil
	}
	if string(r.RangeEnd) != string(etcd.PrefixEnd(string(r.Key))) {
		return nil, status.Error(codes.Unimplemented, "only ranges over a single key or a prefix are supported")
	}
	entries, revision, _ := s.keys.List(ctx, string(r.Key))
	out := &pb.RangeResponse{Header: &pb.ResponseHeader{Revision: int64(revision)}, Count: int64(len(entries))}
	for _, e := range entries {
		out.Kvs = append(out.Kvs, toKeyValue(e))
	}
	return out, nil
}

// Put writes one key.
func (s *Server) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.injectFaultBefore(ctx, true); err != nil {
		return nil, err
	}
	write := ring.Write{Key: string(r.Key), Value: r.Value, Lease: s.lease(r.Lease)}
	result, err := s.keys.Commit(ctx, ring.Txn{Writes: []ring.Write{write}})
	if err != nil {
		return nil, statusError(err)
	}
	return &pb.PutResponse{Header: &pb.ResponseHeader{Revision: int64(result.Revision)}}, s.injectFaultAfter()
}

// Txn runs one transaction, or several independent ones that are nested in it.
func (s *Server) Txn(ctx context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.injectFaultBefore(ctx, true); err != nil {
		return nil, err
	}
	nested, err := s.nestedTxns(r)
	if err != nil {
		return nil, err
	}
	if nested != nil {
		return s.commitNested(ctx, nested)
	}
	txn, err := s.parseTxn(r)
	if err != nil {
		return nil, err
	}
	result, err := s.keys.Commit(ctx, txn)
	if err != nil {
		return nil, statusError(err)
	}
	header := &pb.ResponseHeader{Revision: int64(result.Revision)}
	return &pb.TxnResponse{Header: header, Succeeded: result.Succeeded}, s.injectFaultAfter()
}

// statusError returns the gRPC status that the etcd API has for an error of the
// keyspace.
func statusError(err error) error {
	if errors.Is(err, ring.ErrLeaseLost) {
		return status.Error(codes.NotFound, "requested lease not found")
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// commitNested runs independent transactions at one revision and returns the
// result of each as a nested response.
func (s *Server) commitNested(ctx context.Context, txns []ring.Txn) (*pb.TxnResponse, error) {
	results, err := s.keys.CommitEach(ctx, txns)
	if err != nil {
		return nil, statusError(err)
	}
	header := &pb.ResponseHeader{Revision: int64(results[0].Revision)}
	out := &pb.TxnResponse{Header: header, Succeeded: true}
	for _, r := range results {
		nested := &pb.TxnResponse{Succeeded: r.Succeeded}
		out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseTxn{ResponseTxn: nested}})
	}
	return out, s.injectFaultAfter()
}

// nestedTxns returns the transactions that are nested in a request, or nil if
// the request is a plain transaction. It returns an error for a mix of both.
func (s *Server) nestedTxns(r *pb.TxnRequest) ([]ring.Txn, error) {
	if len(r.Compare) > 0 || len(r.Success) == 0 || r.Success[0].GetRequestTxn() == nil {
		return nil, nil
	}
	var out []ring.Txn
	for _, op := range r.Success {
		inner := op.GetRequestTxn()
		if inner == nil {
			return nil, status.Error(codes.Unimplemented, "nested transactions cannot be mixed with other operations")
		}
		txn, err := s.parseTxn(inner)
		if err != nil {
			return nil, err
		}
		out = append(out, txn)
	}
	return out, nil
}

// parseTxn converts a request to a transaction of the keyspace. It returns an
// error for parts of the etcd API that are not simulated.
func (s *Server) parseTxn(r *pb.TxnRequest) (ring.Txn, error) {
	var out ring.Txn
	for _, c := range r.Compare {
		key := string(c.Key)
		switch {
		case c.Result != pb.Compare_EQUAL:
			return out, status.Error(codes.Unimplemented, "only equality comparisons are supported")
		case c.Target == pb.Compare_CREATE:
			out.Guards = append(out.Guards, ring.CreatedAt(key, ring.Revision(c.GetCreateRevision())))
		case c.Target == pb.Compare_MOD:
			out.Guards = append(out.Guards, ring.Unchanged(key, ring.Revision(c.GetModRevision())))
		default:
			return out, status.Error(codes.Unimplemented, "only create and mod revisions can be compared")
		}
	}
	for _, op := range r.Success {
		switch {
		case op.GetRequestPut() != nil:
			p := op.GetRequestPut()
			out.Writes = append(out.Writes, ring.Write{Key: string(p.Key), Value: p.Value, Lease: s.lease(p.Lease)})
		case op.GetRequestDeleteRange() != nil:
			out.Writes = append(out.Writes, ring.Write{Key: string(op.GetRequestDeleteRange().Key), Delete: true})
		default:
			return out, status.Error(codes.Unimplemented, "only puts and deletes are supported")
		}
	}
	return out, nil
}

// LeaseGrant grants a lease.
func (s *Server) LeaseGrant(ctx context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.injectFaultBefore(ctx, true); err != nil {
		return nil, err
	}
	id, _ := s.keys.Grant(ctx, time.Duration(r.TTL)*time.Second)
	return &pb.LeaseGrantResponse{Header: s.currentHeader(), ID: id.Number, TTL: r.TTL}, s.injectFaultAfter()
}

// LeaseRevoke ends a lease.
func (s *Server) LeaseRevoke(ctx context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.injectFaultBefore(ctx, true); err != nil {
		return nil, err
	}
	_ = s.keys.Revoke(ctx, s.lease(r.ID))
	return &pb.LeaseRevokeResponse{Header: s.currentHeader()}, s.injectFaultAfter()
}

// LeaseKeepAlive renews a lease for each message of the stream; TTL 0 in a
// response means that the lease has expired.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		s.faults.calls.Renewals.Add(1)
		if err := s.injectFaultBefore(stream.Context(), false); err != nil {
			return err
		}
		out := &pb.LeaseKeepAliveResponse{Header: s.currentHeader(), ID: r.ID, TTL: 1}
		if s.keys.Renew(stream.Context(), s.lease(r.ID)) != nil {
			out.TTL = 0
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// Watch serves one watch per stream: it sends the changes of the keys with the
// requested prefix.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	s.faults.calls.Watches.Add(1)
	r, err := stream.Recv()
	if err != nil {
		return nil
	}
	create := r.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "first message of the stream must create a watch")
	}
	if err := s.injectFaultBefore(stream.Context(), false); err != nil {
		return err
	}
	if err := stream.Send(&pb.WatchResponse{Header: s.currentHeader(), Created: true}); err != nil {
		return err
	}
	from := ring.Revision(create.StartRevision)
	if from == 0 {
		from = ring.Revision(s.currentHeader().Revision) + 1
	}
	err = s.keys.Watch(stream.Context(), string(create.Key), from, func(c ring.Changes) {
		if fault := s.faults.activeFault(); fault == FaultSilentWatch || fault == FaultSilent {
			return
		}
		_ = stream.Send(toWatchResponse(c))
	})
	if err == errCompacted {
		return stream.Send(&pb.WatchResponse{Header: s.currentHeader(), Canceled: true, CompactRevision: 1, CancelReason: err.Error()})
	}
	return err
}

// toWatchResponse converts changes of the keyspace to an etcd response.
func toWatchResponse(c ring.Changes) *pb.WatchResponse {
	out := &pb.WatchResponse{Header: &pb.ResponseHeader{Revision: int64(c.Revision)}}
	for _, change := range c.Changes {
		e := &pb.Event{Type: pb.Event_PUT, Kv: toKeyValue(change.Entry)}
		if change.Deleted {
			e.Type = pb.Event_DELETE
		}
		out.Events = append(out.Events, e)
	}
	return out
}

// toKeyValue converts an entry of the keyspace to an etcd key-value pair.
func toKeyValue(e ring.Entry) *pb.KeyValue {
	return &pb.KeyValue{Key: []byte(e.Key), Value: e.Value, CreateRevision: int64(e.Created), ModRevision: int64(e.Modified), Lease: e.Lease.Number, Version: 1}
}
