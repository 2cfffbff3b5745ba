package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/routing"
)

const (
	// startupPeriod is how long a node that has just started may not know its peers
	// yet. Until then it tries to become the controller only after an extra delay of
	// up to startupJitter, so that nodes that start together do not all try at once.
	startupPeriod = 2 * time.Second
	startupJitter = 500 * time.Millisecond
	// maxProbingPeers bounds the peers that are asked to reach the same backend
	// server.
	maxProbingPeers = 6
	// maxProbeAnswers bounds the inspections at the request of peers that are in
	// progress. Each takes a connection, and InspectTimeout at most.
	maxProbeAnswers = 64
	// campaignStep is the time between the attempts of two successive nodes of the
	// campaign order to become the controller; see campaignDelay.
	campaignStep = 60 * time.Millisecond
	// peerBytesPerSecond bounds the digests to all peers together, and
	// noticeBytesPerSecond the messages that announce a prefill; their sum stays under
	// 4 KB/s.
	peerBytesPerSecond   = 1800
	noticeBytesPerSecond = 2200
	// noticeBytes is the assumed size of a prefill notice's datagram, and noticeBurst
	// the burst of the notices' rate limit, both in bytes.
	noticeBytes = datagramOverhead + 12
	noticeBurst = 2000
	// membershipCheckInterval is how often a node checks whether its membership record
	// must be renewed, or written again after a restore of the store.
	membershipCheckInterval = 250 * time.Millisecond
	// datagramOverhead is the size of a datagram's IP and UDP headers, in bytes.
	datagramOverhead = 28
	// peerTimeout is the time without a digest after which a peer counts as lost and
	// its requests are no longer counted.
	peerTimeout = 1500 * time.Millisecond
)

// campaignDelay returns how long this node waits before it tries to write the free
// key of the controller. Nodes are ordered by a hash of their names, so that all
// agree on the order without communication.
func (a *Agent) campaignDelay() time.Duration {
	own := routing.Hash(catalog.ControllerKey + a.config.Name)
	before := 0
	now := time.Now()
	usesTree := a.usesTree() // In the tree not every peer sends to this node, so heardAt says nothing.
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.peers {
		if (usesTree || now.Sub(p.heardAt) <= peerTimeout) && routing.Hash(catalog.ControllerKey+name) < own {
			before++
		}
	}
	delay := time.Duration(before) * campaignStep
	if a.startedAt.Age() < startupPeriod {
		delay += time.Duration(own % uint64(startupJitter))
	}
	return delay
}

// runMembershipLoop keeps the node's membership record in the store under a lease.
// Peers find the node by this record. The record is written again at once when the
// node learns that the store was restored, which ends all leases. When the context
// ends, it revokes the lease, which deletes the record.
func (a *Agent) runMembershipLoop(ctx context.Context) {
	var lease ring.Lease
	var renewAt time.Time
	var known ring.StoreEra
	clock.Every(ctx, membershipCheckInterval, func(ctx context.Context) {
		current := a.config.Store.Era()
		isRestored := current.Number != known.Number && known.Number != 0
		if isRestored {
			a.log.Write(event.StoreRestored, slog.Int64("era", int64(current.Number)), slog.Int64("before", int64(known.Number)))
		}
		known = current
		if !isRestored && time.Now().Before(renewAt) {
			return
		}
		renewAt = time.Now().Add(a.config.Timing.MembershipTTL / 4)
		next, err := a.keepMembership(ctx, lease)
		if err != nil && ctx.Err() == nil {
			a.log.Write(event.StoreCallFailed, slog.String("doing", "write or renew the membership record"), slog.Any("error", err))
		}
		lease = next
	})
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := a.config.Store.Revoke(ctx, lease); err != nil {
		a.log.Write(event.StoreCallFailed, slog.String("doing", "revoke the membership lease"), slog.Any("error", err))
	}
}

// keepMembership renews the lease of the membership record. If there is none or it was
// lost, it writes the record under a new lease. It returns the current lease, if any.
func (a *Agent) keepMembership(ctx context.Context, lease ring.Lease) (ring.Lease, error) {
	if !lease.IsZero() {
		err := a.config.Store.Renew(ctx, lease)
		if !isLeaseLost(err) {
			return lease, err
		}
		a.log.Write(event.MembershipLeaseLost)
	}
	lease, err := a.config.Store.Grant(ctx, a.config.Timing.MembershipTTL)
	if err != nil {
		return ring.Lease{}, err
	}
	value, err := json.Marshal(memberRecord{Address: a.config.PeerAddress, Zone: string(a.config.Zone), Incarnation: a.config.Incarnation})
	if err != nil {
		return ring.Lease{}, err
	}
	write := ring.Write{Key: catalog.NodeKey(a.config.Name), Value: value, Lease: lease}
	if _, err := a.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}}); err != nil {
		return ring.Lease{}, err
	}
	return lease, nil
}

// SendDigestSoon makes the digest loop send this node's state to the peers, or to its
// parent or children in the tree of nodes, before the regular interval has passed, as
// far as the rate limits allow.
func (a *Agent) SendDigestSoon() {
	select {
	case a.digestRequested <- struct{}{}:
	default:
	}
}

// runDigestLoop sends this node's state to other nodes at intervals until the context
// ends. With few nodes it sends digests to all of them, with many it sends reports or
// summaries along the tree of nodes. The interval grows with the bytes sent, so that
// the rate limits hold.
func (a *Agent) runDigestLoop(ctx context.Context) {
	timer := time.NewTimer(a.config.Timing.DigestInterval)
	defer timer.Stop()
	var pace treePace
	for {
		isUrgent := false
		a.markInformed(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.digestRequested:
			isUrgent = true
		}
		switch {
		case !a.usesTree():
			timer.Reset(max(a.config.Timing.DigestInterval, durationAtRate(a.sendDigests(), peerBytesPerSecond)))
		case isUrgent:
			// The timer keeps running, so the next regular report or summary is not
			// delayed.
			if a.urgentLimiter.Tokens() > 0 {
				a.urgentLimiter.ReserveN(time.Now(), a.sendTreeUpdate(time.Now(), a.isController.Load()))
			}
			clock.Sleep(ctx, urgentInterval)
		default:
			now := time.Now()
			isPartial := a.isController.Load() && now.Before(pace.nextFullAt)
			pace.add(a.sendTreeUpdate(now, isPartial), isPartial, now)
			timer.Reset(pace.delay(a.isController.Load(), now))
		}
	}
}

// durationAtRate returns the time in which a rate limit of perSecond bytes admits
// the given number of bytes.
func durationAtRate(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// send sends a message to a node's address. It returns the size of the datagram, or
// 0 if sending failed, which is logged. It completes a digest or report with the exchange
// for the receiver; summaries are sent by sendSummary.
func (a *Agent) send(address string, m digest.Message) int {
	if m.Digest != nil || m.Report != nil {
		m.SettledEra = int64(a.settledEra())
		m.Exchange, m.Evacuations = a.exchangeAndZonesFor(address, clock.Instant{})
	}
	return a.sendComplete(address, m)
}

// sendSummary is send for a summary whose checksums cover the registry up to registryAt.
func (a *Agent) sendSummary(address string, s *digest.Summary, registryAt clock.Instant) int {
	m := digest.Message{Summary: s, SettledEra: int64(a.settledEra())}
	m.Exchange, m.Evacuations = a.exchangeAndZonesFor(address, registryAt)
	if len(s.Replicas) > maxReplicasBesideZones {
		m.Evacuations = nil
	}
	return a.sendComplete(address, m)
}

// sendComplete sends a message that has its exchange, if any.
func (a *Agent) sendComplete(address string, m digest.Message) int {
	n, err := a.transport.Send(address, m)
	if err != nil {
		a.log.Write(event.DigestNotSent, slog.String("address", address), slog.Any("error", err))
		return 0
	}
	return n + datagramOverhead
}

// sendDigests sends this node's digest to every peer and returns the number of bytes
// sent.
func (a *Agent) sendDigests() int {
	now := time.Now()
	message := digest.Message{Digest: a.buildDigest(now), Pinned: newPinned(a.fleet.LocalPinned(now))}
	addresses := a.peerAddresses()
	sent := 0
	for _, address := range addresses {
		sent += a.send(address, message)
	}
	return sent + a.repeatRefusals(addresses, now) + a.repeatLimits(addresses, now)
}

// AnnouncePrefill tells the peers that this node sent a replica a prompt with the given
// estimated prefill time. If the rate limit is reached, it leaves out some peers. With
// minTreeNodes or more nodes it tells none.
func (a *Agent) AnnouncePrefill(e ring.Epoch, prefill time.Duration) {
	if a.usesTree() {
		return // Too many nodes for messages from each node to every other.
	}
	message := digest.Message{PrefillNotice: &digest.PrefillNotice{Epoch: uint64(e), PrefillMillis: uint16(min(prefill.Milliseconds(), math.MaxUint16))}}
	for _, address := range a.peerAddresses() {
		if !a.noticeLimiter.AllowN(time.Now(), noticeBytes) {
			return
		}
		a.send(address, message)
	}
}

// buildDigest returns this node's own state as sent to peers: its requests at each
// replica, its stalled replicas and its configuration's number.
func (a *Agent) buildDigest(now time.Time) *digest.Digest {
	loads, stalled := a.fleet.LocalState(now)
	d := &digest.Digest{
		Name: a.config.Name, Incarnation: a.config.Incarnation, Draining: a.draining.Load(),
		Era: int64(a.config.Store.Era().Number), ConfigNumber: a.configNumber(), OldConfirmedAge: digest.NoConfirmedAge, Loads: map[uint64]int{}, StalledMillis: map[uint64]int64{}, Abandoned: a.abandonedForMessage(),
	}
	for e, n := range loads {
		d.Loads[uint64(e)] = n
	}
	for e, duration := range stalled {
		d.StalledMillis[uint64(e)] = duration.Milliseconds()
	}
	return d
}

// peerAddresses returns the addresses of all known peers, also of silent ones.
func (a *Agent) peerAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.peers))
	for _, p := range a.peers {
		out = append(out, p.address)
	}
	return out
}

// dispatchMessage applies or answers a message from a peer according to its type.
func (a *Agent) dispatchMessage(from string, m digest.Message) {
	var registryAt clock.Instant
	if m.SettledEra != 0 {
		a.settleEra(ring.Era(m.SettledEra))
	}
	if m.Exchange != nil && m.Evacuations != nil {
		a.applyEvacuations(from, m.Evacuations, m.Exchange.Echo, a.isForwarded(m))
	}
	if m.Exchange != nil {
		registryAt = a.applyExchange(from, m.Exchange)
	}
	switch {
	case m.Digest != nil:
		a.applyDigest(from, m.Digest, m.Pinned)
	case m.ProbeRequest != nil:
		a.startProbeAnswer(from, *m.ProbeRequest)
	case m.Report != nil:
		a.applyReport(from, m.Report, m.Pinned)
	case m.Summary != nil:
		a.applySummary(from, m.Summary, registryAt)
	case len(m.Entries) > 0:
		a.applyEntries(m.Entries)
	case m.EntriesRequest != nil:
		a.answerEntriesRequest(from, m.EntriesRequest)
	case m.Strikes != nil:
		a.applyStrikes(*m.Strikes)
	case m.Sound != nil:
		a.applySound(*m.Sound)
	case len(m.Refusals) > 0:
		a.applyRefusals(from, m.Refusals)
	case len(m.Limits) > 0:
		a.applyLimits(m.Limits)
	case m.PermitRequest != nil:
		a.answerPermitRequest(from, m.PermitRequest)
	case m.PermitReply != nil:
		a.applyPermitReply(m.PermitReply)
	case m.ColdStart != nil:
		a.applyCold(from, m.ColdStart)
	case m.BucketListing != nil:
		a.applyBucketListing(m.BucketListing)
	case m.PrefillNotice != nil:
		a.fleet.AddPeerPrefill(ring.Epoch(m.PrefillNotice.Epoch), time.Duration(m.PrefillNotice.PrefillMillis)*time.Millisecond, time.Now())
	case m.ProbeReply != nil:
		a.mu.Lock()
		replies := a.probes[m.ProbeReply.ID]
		a.mu.Unlock()
		if replies != nil {
			select {
			case replies <- *m.ProbeReply:
			default:
			}
		}
	}
}

// applyDigest stores the state from a peer's digest: its requests at the replicas, the
// replicas that have stalled there, those that the controller no longer uses, and the
// number of its configuration. pinned is that of the message.
func (a *Agent) applyDigest(from string, d *digest.Digest, pinned *digest.Pinned) {
	if d.Name == a.config.Name {
		return
	}
	now := time.Now()
	a.config.Store.ObserveEra(ring.Era(d.Era))
	a.recordPeer(from, d, now)
	loads := make(map[ring.Epoch]int, len(d.Loads))
	for e, n := range d.Loads {
		loads[ring.Epoch(e)] = n
	}
	stalled := make(map[ring.Epoch]time.Duration, len(d.StalledMillis))
	for e, ms := range d.StalledMillis {
		stalled[ring.Epoch(e)] = time.Duration(ms) * time.Millisecond
	}
	a.fleet.UpdatePeer(d.Name, loads, stalled, now.Add(peerTimeout))
	if pinned != nil {
		a.fleet.UpdatePeerPinned(d.Name, epochsOf(pinned.Replicas))
	}
	a.applyAbandoned(d.Abandoned, now)
	a.applyConfigNumber(from, d.ConfigNumber)
}

// recordPeer stores the address of a digest's sender and the time of the digest. It
// logs the sender if it is new or had been lost.
func (a *Agent) recordPeer(from string, d *digest.Digest, now time.Time) {
	a.mu.Lock()
	p, known := a.peers[d.Name]
	if !known {
		p = &peer{address: from}
		a.peers[d.Name] = p
	}
	wasLost := now.Sub(p.heardAt) > peerTimeout
	p.heardAt, p.address, p.isDraining = now, from, d.Draining
	a.mu.Unlock()
	if wasLost {
		a.log.Write(event.PeerFound, slog.String("peer", d.Name), slog.String("incarnation", d.Incarnation))
	}
}

// startProbeAnswer answers a probe request in the background. If maxProbeAnswers are in
// progress, it drops the request, as the network may.
func (a *Agent) startProbeAnswer(from string, r digest.ProbeRequest) {
	select {
	case a.probeAnswers <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.probeAnswers }()
		a.answerProbe(from, r)
	}()
}

// answerProbe inspects a backend server at the request of a peer and tells the peer
// whether the server answered.
func (a *Agent) answerProbe(from string, r digest.ProbeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Timing.InspectTimeout)
	defer cancel()
	s, err := a.config.Control.Inspect(ctx, r.Address)
	reply := digest.ProbeReply{ID: r.ID, Answered: err == nil, Incarnation: s.Incarnation}
	a.send(from, digest.Message{ProbeReply: &reply})
}

// probeViaPeers asks up to maxProbingPeers live peers to inspect a backend server
// and returns the first reply that says that the server answered. The bool is false
// if there was no such reply before the context ended.
func (a *Agent) probeViaPeers(ctx context.Context, address string) (digest.ProbeReply, bool) {
	replies := make(chan digest.ProbeReply, 16)
	a.mu.Lock()
	a.lastProbeID++
	id := a.lastProbeID
	a.probes[id] = replies
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.probes, id)
		a.mu.Unlock()
	}()
	sent := 0
	live := a.livePeerAddresses()
	for _, peer := range live[:min(len(live), maxProbingPeers)] {
		if _, err := a.transport.Send(peer, digest.Message{ProbeRequest: &digest.ProbeRequest{ID: id, Address: address}}); err == nil {
			sent++
		}
	}
	for range sent {
		select {
		case <-ctx.Done():
			return digest.ProbeReply{}, false
		case r := <-replies:
			if r.Answered {
				return r, true
			}
		}
	}
	return digest.ProbeReply{}, false
}

// livePeerAddresses returns the addresses of the peers whose last digest is not
// older than peerTimeout.
func (a *Agent) livePeerAddresses() []string {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, p := range a.peers {
		if now.Sub(p.heardAt) <= peerTimeout {
			out = append(out, p.address)
		}
	}
	return out
}

// inspectWithPeers requests a backend server's state and asks peers to do the same. If
// only a peer reached the server, the result holds just the server's incarnation. If no
// one reached it, the error is that of this node's own request.
func (a *Agent) inspectWithPeers(ctx context.Context, address string) (ring.Server, error) {
	var own ring.Server
	var err error
	var reply digest.ProbeReply
	var reached bool
	var wait sync.WaitGroup
	wait.Go(func() { own, err = a.config.Control.Inspect(ctx, address) })
	wait.Go(func() { reply, reached = a.probeViaPeers(ctx, address) })
	wait.Wait()
	if err != nil && reached {
		return ring.Server{Incarnation: reply.Incarnation}, nil
	}
	return own, err
}
