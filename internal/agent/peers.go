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
	// startupPeriod is for how long a started node may not know its peers yet, and
	// startupJitter within what time such nodes try for a vacancy.
	startupPeriod = 2 * time.Second
	startupJitter = 500 * time.Millisecond
	// maxProbingPeers is how many peers are asked to reach a server.
	maxProbingPeers = 6
	// campaignStep is the time between the tries of two nodes for a vacancy.
	campaignStep = 60 * time.Millisecond
	// peerBytesPerSecond is what digests to all peers may cost, and
	// noticeBytesPerSecond what notices may; together they stay under 4 KB/s.
	peerBytesPerSecond   = 1800
	noticeBytesPerSecond = 2200
	// noticeBytes is what a notice costs, in bytes, and noticeBurst how many
	// bytes may go at once.
	noticeBytes = datagramOverhead + 12
	noticeBurst = 2000
	// datagramOverhead is what a datagram costs beside its message, in bytes.
	datagramOverhead = 28
	// peerTimeout is the time without a digest after which a peer counts as
	// lost.
	peerTimeout = 1500 * time.Millisecond
	// confirmSlack is added to the age that a peer tells, for the way of the
	// datagram.
	confirmSlack = 50 * time.Millisecond
)

// campaignDelay returns how long this node waits before it tries for the controller's
// key: all nodes order themselves alike by hashing.
func (a *Agent) campaignDelay() time.Duration {
	own := routing.Hash(catalog.ControllerKey + a.config.Name)
	before := 0
	now := time.Now()
	isTree := a.usesTree() // Peers are not heard one by one there.
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.peers {
		if (isTree || now.Sub(p.heardAt) <= peerTimeout) && routing.Hash(catalog.ControllerKey+name) < own {
			before++
		}
	}
	turn := time.Duration(before) * campaignStep
	if a.started.Age() < startupPeriod {
		turn += time.Duration(own % uint64(startupJitter))
	}
	return turn
}

// runMembership holds the node's key in the store by a lease, and gives it up
// at the end.
func (a *Agent) runMembership(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, a.config.Timing.MembershipTTL/4, func(ctx context.Context) {
		next, err := a.keepMembership(ctx, lease)
		if err != nil && ctx.Err() == nil {
			a.log.Write(event.StoreCallFailed, slog.String("doing", "keep the membership"), slog.Any("error", err))
		}
		lease = next
	})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := a.config.Store.Revoke(ctx, lease); err != nil {
		a.log.Write(event.StoreCallFailed, slog.String("doing", "end the membership"), slog.Any("error", err))
	}
}

// keepMembership renews the lease, or takes a new one when there is none.
func (a *Agent) keepMembership(ctx context.Context, lease ring.Lease) (ring.Lease, error) {
	if lease != 0 {
		err := a.config.Store.Renew(ctx, lease)
		if !isLeaseLost(err) {
			return lease, err
		}
		a.log.Write(event.LeaseLost)
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

// SendDigestSoon asks for a digest now.
func (a *Agent) SendDigestSoon() {
	select {
	case a.digestRequested <- struct{}{}:
	default:
	}
}

// runDigests tells all peers what this node knows. The interval grows with
// their number, so that control stays within its bytes.
func (a *Agent) runDigests(ctx context.Context) {
	timer := time.NewTimer(a.config.Timing.DigestInterval)
	defer timer.Stop()
	for {
		isNews := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.digestRequested:
			isNews = true
		}
		switch {
		case !a.usesTree():
			timer.Reset(max(a.config.Timing.DigestInterval, durationAtRate(a.sendDigests(), peerBytesPerSecond)))
		case isNews:
			// The next report or summary is due as before.
			if a.urgentLimiter.Tokens() > 0 {
				a.urgentLimiter.ReserveN(time.Now(), a.sendTreeUpdate(time.Now(), a.isController.Load()))
			}
			clock.Sleep(ctx, urgentInterval)
		default:
			timer.Reset(max(treeInterval, durationAtRate(a.sendTreeUpdate(time.Now(), false), treeBytesPerSecond)))
		}
	}
}

// durationAtRate returns the time in which so many bytes are within a rate.
func durationAtRate(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// send sends a message and returns its bytes.
func (a *Agent) send(address string, m digest.Message) int {
	n, err := a.transport.Send(address, m)
	if err != nil {
		a.log.Write(event.DigestFailed, slog.String("address", address), slog.Any("error", err))
		return 0
	}
	return n + datagramOverhead
}

// sendDigests sends one digest to every peer and returns the bytes that it took.
func (a *Agent) sendDigests() int {
	message := digest.Message{Digest: a.buildDigest(time.Now())}
	spent := 0
	for _, address := range a.peerAddresses() {
		spent += a.send(address, message)
	}
	return spent
}

// AnnouncePrefill tells the peers that a replica was sent a prompt, as long as the bytes
// for notices last.
func (a *Agent) AnnouncePrefill(e ring.Epoch, read time.Duration) {
	if a.usesTree() {
		return // Too many nodes for a message of each to each.
	}
	message := digest.Message{PrefillNotice: &digest.PrefillNotice{Epoch: uint64(e), PrefillMillis: uint16(min(read.Milliseconds(), math.MaxUint16))}}
	for _, address := range a.peerAddresses() {
		if !a.noticeLimiter.AllowN(time.Now(), noticeBytes) {
			return
		}
		a.send(address, message)
	}
}

func (a *Agent) buildDigest(now time.Time) *digest.Digest {
	loads, still := a.fleet.LocalState(now)
	d := &digest.Digest{
		Name: a.config.Name, Incarnation: a.config.Incarnation, Draining: a.draining.Load(),
		ConfigNumber: a.configNumber(), Loads: map[uint64]int{}, StalledMillis: map[uint64]int64{}, Abandoned: a.abandonedEpochs(),
	}
	for e, n := range loads {
		d.Loads[uint64(e)] = n
	}
	for e, span := range still {
		d.StalledMillis[uint64(e)] = span.Milliseconds()
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

// dispatch handles a message of a peer.
func (a *Agent) dispatch(from string, m digest.Message) {
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
		a.sendBuckets(from, m.EntriesRequest)
	case m.BucketListing != nil:
		a.applyBucketListing(m.BucketListing)
	case m.PrefillNotice != nil:
		a.fleet.AddPeerPrefill(ring.Epoch(m.PrefillNotice.Epoch), time.Duration(m.PrefillNotice.PrefillMillis)*time.Millisecond, time.Now())
	case m.ProbeReply != nil:
		a.mu.Lock()
		waiting := a.probes[m.ProbeReply.ID]
		a.mu.Unlock()
		if waiting != nil {
			select {
			case waiting <- *m.ProbeReply:
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
	still := make(map[ring.Epoch]time.Duration, len(d.StalledMillis))
	for e, ms := range d.StalledMillis {
		still[ring.Epoch(e)] = time.Duration(ms) * time.Millisecond
	}
	a.fleet.UpdatePeer(d.Name, loads, still, now.Add(peerTimeout))
	a.applyAbandoned(d.Abandoned, now)
	a.applyConfigNumber(from, d.ConfigNumber, d.ConfirmedAgeMillis)
}

// recordPeer keeps a peer's state.
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

// answerProbe tries to reach a backend server for a peer.
func (a *Agent) answerProbe(from string, q digest.ProbeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Timing.InspectTimeout)
	defer cancel()
	s, err := a.config.Control.Inspect(ctx, q.Address)
	reply := digest.ProbeReply{ID: q.ID, Answered: err == nil, Incarnation: s.Incarnation}
	a.send(from, digest.Message{ProbeReply: &reply})
}

// probeViaPeers asks all live peers to reach a backend server and returns the first
// answer of the server; false when none got one in time.
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
	asked := 0
	live := a.livePeerAddresses()
	for _, peer := range live[:min(len(live), maxProbingPeers)] {
		if _, err := a.transport.Send(peer, digest.Message{ProbeRequest: &digest.ProbeRequest{ID: id, Address: address}}); err == nil {
			asked++
		}
	}
	for range asked {
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

// inspectWithPeers reaches a server by itself and by its peers at once.
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
