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

// expireInterval is how often a server looks for leases that have expired.
const expireInterval = 100 * time.Millisecond

// Server answers the etcd v3 API from a keyspace.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	keys   *Keyspace
	faults *Faults
}

// Register adds the services of the key-value store to a gRPC server.
func Register(s *grpc.Server, keys *Keyspace, faults *Faults) {
	server := &Server{keys: keys, faults: faults}
	pb.RegisterKVServer(s, server)
	pb.RegisterWatchServer(s, server)
	pb.RegisterLeaseServer(s, server)
}

// RunLeaseExpiry expires leases until the context ends.
func RunLeaseExpiry(ctx context.Context, keys *Keyspace) {
	clock.Every(ctx, expireInterval, func(context.Context) { keys.ExpireLeases() })
}

// faultBefore applies the faults that strike a call before its effect.
func (s *Server) faultBefore(ctx context.Context, write bool) error {
	switch s.faults.current() {
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

// faultAfter applies the faults that strike a write after its effect.
func (s *Server) faultAfter() error {
	if fault := s.faults.current(); fault == FaultResponseLost {
		return status.Error(codes.Unavailable, "connection lost")
	}
	return nil
}

func (s *Server) header() *pb.ResponseHeader {
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	return &pb.ResponseHeader{Revision: int64(s.keys.revision)}
}

// Range answers single keys and prefixes.
func (s *Server) Range(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.faults.calls.Reads.Add(1)
	if err := s.faultBefore(ctx, false); err != nil {
		return nil, err
	}
	if len(r.RangeEnd) == 0 {
		e, ok, _ := s.keys.Get(ctx, string(r.Key))
		out := &pb.RangeResponse{Header: s.header()}
		if ok {
			out.Kvs = append(out.Kvs, keyValue(e))
			out.Count = 1
		}
		return out, nil
	}
	if string(r.RangeEnd) != string(etcd.PrefixEnd(string(r.Key))) {
		return nil, status.Error(codes.Unimplemented, "only single keys and prefixes")
	}
	entries, revision, _ := s.keys.List(ctx, string(r.Key))
	out := &pb.RangeResponse{Header: &pb.ResponseHeader{Revision: int64(revision)}, Count: int64(len(entries))}
	for _, e := range entries {
		out.Kvs = append(out.Kvs, keyValue(e))
	}
	return out, nil
}

// Put writes one key.
func (s *Server) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.faultBefore(ctx, true); err != nil {
		return nil, err
	}
	write := ring.Write{Key: string(r.Key), Value: r.Value, Lease: ring.Lease(r.Lease)}
	result, err := s.keys.Commit(ctx, ring.Txn{Writes: []ring.Write{write}})
	if err != nil {
		return nil, statusError(err)
	}
	return &pb.PutResponse{Header: &pb.ResponseHeader{Revision: int64(result.Revision)}}, s.faultAfter()
}

// Txn runs one transaction, or independent nested ones.
func (s *Server) Txn(ctx context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.faultBefore(ctx, true); err != nil {
		return nil, err
	}
	nested, err := nestedTxns(r)
	if err != nil {
		return nil, err
	}
	if nested != nil {
		return s.commitNested(ctx, nested)
	}
	txn, err := parseTxn(r)
	if err != nil {
		return nil, err
	}
	result, err := s.keys.Commit(ctx, txn)
	if err != nil {
		return nil, statusError(err)
	}
	header := &pb.ResponseHeader{Revision: int64(result.Revision)}
	return &pb.TxnResponse{Header: header, Succeeded: result.Succeeded}, s.faultAfter()
}

// statusError maps an error of the keyspace to the code that the published API
// gives it.
func statusError(err error) error {
	if errors.Is(err, ring.ErrLeaseLost) {
		return status.Error(codes.NotFound, "requested lease not found")
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

func (s *Server) commitNested(ctx context.Context, txns []ring.Txn) (*pb.TxnResponse, error) {
	results, err := s.keys.CommitEach(ctx, txns)
	if err != nil {
		return nil, statusError(err)
	}
	header := &pb.ResponseHeader{Revision: int64(results[0].Revision)}
	out := &pb.TxnResponse{Header: header, Succeeded: true}
	for _, r := range results {
		one := &pb.TxnResponse{Succeeded: r.Succeeded}
		out.Responses = append(out.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseTxn{ResponseTxn: one}})
	}
	return out, s.faultAfter()
}

// nestedTxns returns the nested transactions when the request holds only those.
func nestedTxns(r *pb.TxnRequest) ([]ring.Txn, error) {
	if len(r.Compare) > 0 || len(r.Success) == 0 || r.Success[0].GetRequestTxn() == nil {
		return nil, nil
	}
	var out []ring.Txn
	for _, op := range r.Success {
		inner := op.GetRequestTxn()
		if inner == nil {
			return nil, status.Error(codes.Unimplemented, "nested transactions stand alone")
		}
		txn, err := parseTxn(inner)
		if err != nil {
			return nil, err
		}
		out = append(out, txn)
	}
	return out, nil
}

func parseTxn(r *pb.TxnRequest) (ring.Txn, error) {
	var out ring.Txn
	for _, c := range r.Compare {
		key := string(c.Key)
		switch {
		case c.Result != pb.Compare_EQUAL:
			return out, status.Error(codes.Unimplemented, "only equality is compared")
		case c.Target == pb.Compare_CREATE:
			out.Guards = append(out.Guards, ring.CreatedAt(key, ring.Revision(c.GetCreateRevision())))
		case c.Target == pb.Compare_MOD:
			out.Guards = append(out.Guards, ring.Unchanged(key, ring.Revision(c.GetModRevision())))
		default:
			return out, status.Error(codes.Unimplemented, "only revisions are compared")
		}
	}
	for _, op := range r.Success {
		switch {
		case op.GetRequestPut() != nil:
			p := op.GetRequestPut()
			out.Writes = append(out.Writes, ring.Write{Key: string(p.Key), Value: p.Value, Lease: ring.Lease(p.Lease)})
		case op.GetRequestDeleteRange() != nil:
			out.Writes = append(out.Writes, ring.Write{Key: string(op.GetRequestDeleteRange().Key), Delete: true})
		default:
			return out, status.Error(codes.Unimplemented, "only puts and deletes")
		}
	}
	return out, nil
}

// LeaseGrant grants a lease.
func (s *Server) LeaseGrant(ctx context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.faultBefore(ctx, true); err != nil {
		return nil, err
	}
	id, _ := s.keys.Grant(ctx, time.Duration(r.TTL)*time.Second)
	return &pb.LeaseGrantResponse{Header: s.header(), ID: int64(id), TTL: r.TTL}, s.faultAfter()
}

// LeaseRevoke ends a lease.
func (s *Server) LeaseRevoke(ctx context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.faults.calls.Writes.Add(1)
	if err := s.faultBefore(ctx, true); err != nil {
		return nil, err
	}
	_ = s.keys.Revoke(ctx, ring.Lease(r.ID))
	return &pb.LeaseRevokeResponse{Header: s.header()}, s.faultAfter()
}

// LeaseKeepAlive renews leases.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		s.faults.calls.Renewals.Add(1)
		if err := s.faultBefore(stream.Context(), false); err != nil {
			return err
		}
		out := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID, TTL: 1}
		if s.keys.Renew(stream.Context(), ring.Lease(r.ID)) != nil {
			out.TTL = 0
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// Watch serves one watch a stream.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	s.faults.calls.Watches.Add(1)
	r, err := stream.Recv()
	if err != nil {
		return nil
	}
	create := r.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "first message must create a watch")
	}
	if err := s.faultBefore(stream.Context(), false); err != nil {
		return err
	}
	if err := stream.Send(&pb.WatchResponse{Header: s.header(), Created: true}); err != nil {
		return err
	}
	from := ring.Revision(create.StartRevision)
	if from == 0 {
		from = ring.Revision(s.header().Revision) + 1
	}
	err = s.keys.Watch(stream.Context(), string(create.Key), from, func(c ring.Changes) {
		if fault := s.faults.current(); fault == FaultSilentWatch || fault == FaultSilent {
			return
		}
		_ = stream.Send(watchResponse(c))
	})
	if err == errCompacted {
		return stream.Send(&pb.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: 1, CancelReason: err.Error()})
	}
	return err
}

func watchResponse(c ring.Changes) *pb.WatchResponse {
	out := &pb.WatchResponse{Header: &pb.ResponseHeader{Revision: int64(c.Revision)}}
	for _, one := range c.Changes {
		e := &pb.Event{Type: pb.Event_PUT, Kv: keyValue(one.Entry)}
		if one.Deleted {
			e.Type = pb.Event_DELETE
		}
		out.Events = append(out.Events, e)
	}
	return out
}

func keyValue(e ring.Entry) *pb.KeyValue {
	return &pb.KeyValue{Key: []byte(e.Key), Value: e.Value, CreateRevision: int64(e.Created), ModRevision: int64(e.Modified), Lease: int64(e.Lease), Version: 1}
}
