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
	// yet. Until then it campaigns after an extra delay of up to startupJitter, so
	// that nodes that start together do not all campaign at once.
	startupPeriod = 2 * time.Second
	startupJitter = 500 * time.Millisecond
	// maxProbingPeers bounds the peers that are asked to probe a server.
	maxProbingPeers = 6
	// campaignStep is the time between the campaigns of two nodes that are adjacent
	// in the campaign order.
	campaignStep = 60 * time.Millisecond
	// peerBytesPerSecond bounds the digests to all peers together, and
	// noticeBytesPerSecond the prefill notices; their sum stays under 4 KB/s.
	peerBytesPerSecond   = 1800
	noticeBytesPerSecond = 2200
	// noticeBytes is the assumed size of a prefill notice's datagram, and noticeBurst
	// the burst of the notices' rate limit, both in bytes.
	noticeBytes = datagramOverhead + 12
	noticeBurst = 2000
	// datagramOverhead is the size of a datagram's IP and UDP headers, in bytes.
	datagramOverhead = 28
	// peerTimeout is the time without a digest after which a peer counts as lost
	// and its loads expire.
	peerTimeout = 1500 * time.Millisecond
	// confirmSlack is added to the age of a confirmation in a message, for the time
	// that the datagram took.
	confirmSlack = 50 * time.Millisecond
)

// campaignDelay returns how long this node waits before it campaigns for the
// controller's key. Nodes are ordered by a hash of their names, so that all agree
// on the order without communication.
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

// runMembershipLoop keeps the node's membership record in the store under a lease,
// and revokes the lease when the context ends.
func (a *Agent) runMembershipLoop(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, a.config.Timing.MembershipTTL/4, func(ctx context.Context) {
		next, err := a.keepMembership(ctx, lease)
		if err != nil && ctx.Err() == nil {
			a.log.Write(event.StoreCallFailed, slog.String("doing", "write or renew the membership record"), slog.Any("error", err))
		}
		lease = next
	})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := a.config.Store.Revoke(ctx, lease); err != nil {
		a.log.Write(event.StoreCallFailed, slog.String("doing", "revoke the membership lease"), slog.Any("error", err))
	}
}

// keepMembership renews the lease. If there is none or it was lost, it writes the
// membership record under a new lease and returns that.
func (a *Agent) keepMembership(ctx context.Context, lease ring.Lease) (ring.Lease, error) {
	if lease != 0 {
		err := a.config.Store.Renew(ctx, lease)
		if !isLeaseLost(err) {
			return lease, err
		}
		a.log.Write(event.MembershipLeaseLost)
	}
	lease, err := a.config.Store.Grant(ctx, a.config.Timing.MembershipTTL)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(memberRecord{Address: a.config.PeerAddress, Zone: string(a.config.Zone), Incarnation: a.config.Incarnation})
	if err != nil {
		return 0, err
	}
	write := ring.Write{Key: catalog.NodeKey(a.config.Name), Value: value, Lease: lease}
	if _, err := a.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// SendDigestSoon wakes the digest loop to send an update without waiting for its
// interval, as far as the rate limits allow.
func (a *Agent) SendDigestSoon() {
	select {
	case a.digestRequested <- struct{}{}:
	default:
	}
}

// runDigestLoop sends digests to all peers, or reports and summaries in the tree. The
// interval grows with the bytes sent, so that the rate limits hold.
func (a *Agent) runDigestLoop(ctx context.Context) {
	timer := time.NewTimer(a.config.Timing.DigestInterval)
	defer timer.Stop()
	for {
		isUrgent := false
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
			timer.Reset(max(treeInterval, durationAtRate(a.sendTreeUpdate(time.Now(), false), treeBytesPerSecond)))
		}
	}
}

// durationAtRate returns the time that so many bytes take at a rate.
func durationAtRate(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// send sends a message and returns the size of its datagram, or 0 if it failed.
func (a *Agent) send(address string, m digest.Message) int {
	n, err := a.transport.Send(address, m)
	if err != nil {
		a.log.Write(event.DigestNotSent, slog.String("address", address), slog.Any("error", err))
		return 0
	}
	return n + datagramOverhead
}

// sendDigests sends a digest to every peer and returns the number of bytes sent.
func (a *Agent) sendDigests() int {
	message := digest.Message{Digest: a.buildDigest(time.Now())}
	sent := 0
	for _, address := range a.peerAddresses() {
		sent += a.send(address, message)
	}
	return sent
}

// AnnouncePrefill tells the peers that a prompt with an estimated prefill time was
// sent to a replica. Peers beyond the rate limit of notices get none.
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

func (a *Agent) buildDigest(now time.Time) *digest.Digest {
	loads, stalled := a.fleet.LocalState(now)
	d := &digest.Digest{
		Name: a.config.Name, Incarnation: a.config.Incarnation, Draining: a.draining.Load(),
		ConfigNumber: a.configNumber(), Loads: map[uint64]int{}, StalledMillis: map[uint64]int64{}, Abandoned: a.abandonedForMessage(),
	}
	for e, n := range loads {
		d.Loads[uint64(e)] = n
	}
	for e, duration := range stalled {
		d.StalledMillis[uint64(e)] = duration.Milliseconds()
	}
	d.ConfirmedAgeMillis = -1
	if age, ok := a.ConfirmedAge(); ok {
		d.ConfirmedAgeMillis = age.Milliseconds()
	}
	return d
}

// peerAddresses returns the peers' addresses.
func (a *Agent) peerAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.peers))
	for _, p := range a.peers {
		out = append(out, p.address)
	}
	return out
}

// dispatchMessage passes a message from a peer to the method for its type.
func (a *Agent) dispatchMessage(from string, m digest.Message) {
	switch {
	case m.Digest != nil:
		a.applyDigest(from, m.Digest)
	case m.ProbeRequest != nil:
		go a.answerProbe(from, *m.ProbeRequest)
	case m.Report != nil:
		a.applyReport(from, m.Report)
	case m.Summary != nil:
		a.applySummary(from, m.Summary)
	case len(m.Entries) > 0:
		a.applyEntries(m.Entries)
	case m.EntriesRequest != nil:
		a.answerEntriesRequest(from, m.EntriesRequest)
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

func (a *Agent) applyDigest(from string, d *digest.Digest) {
	if d.Name == a.config.Name {
		return
	}
	now := time.Now()
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
	a.applyAbandoned(d.Abandoned, now)
	a.applyConfigNumber(from, d.ConfigNumber, d.ConfirmedAgeMillis)
}

// recordPeer stores the address of a digest's sender and the time of the digest.
func (a *Agent) recordPeer(from string, d *digest.Digest, now time.Time) {
	a.mu.Lock()
	p, known := a.peers[d.Name]
	if !known {
		p = &peer{address: from}
		a.peers[d.Name] = p
	}
	wasLost := now.Sub(p.heardAt) > peerTimeout
	p.heardAt, p.address = now, from
	a.mu.Unlock()
	if wasLost {
		a.log.Write(event.PeerFound, slog.String("peer", d.Name), slog.String("incarnation", d.Incarnation))
	}
}

// answerProbe contacts a backend server for a peer and sends the result.
func (a *Agent) answerProbe(from string, r digest.ProbeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Timing.InspectTimeout)
	defer cancel()
	s, err := a.config.Control.Inspect(ctx, r.Address)
	reply := digest.ProbeReply{ID: r.ID, Answered: err == nil, Incarnation: s.Incarnation}
	a.send(from, digest.Message{ProbeReply: &reply})
}

// probeViaPeers asks up to maxProbingPeers live peers to contact a backend server
// and returns the first reply that says that the server answered; false if there
// was none before the context ended.
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

// inspectWithPeers inspects a server and asks peers to probe it at the same time.
// If only a peer reached it, the result holds just the server's incarnation.
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
