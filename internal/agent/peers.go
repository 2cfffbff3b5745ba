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
	// startSpan is for how long a started node may not know its peers yet, and
	// startSpread within what time such nodes try for a vacancy.
	startSpan   = 2 * time.Second
	startSpread = 500 * time.Millisecond
	// maxAsked is how many peers are asked to reach a server.
	maxAsked = 6
	// campaignStep is the time between the tries of two nodes for a vacancy.
	campaignStep = 60 * time.Millisecond
	// peerBytesPerSecond is what digests to all peers may cost, and
	// noticeBytesPerSecond what notices may; together they stay under 4 KB/s.
	peerBytesPerSecond   = 1800
	noticeBytesPerSecond = 2200
	// noticeSize is what a notice costs, in bytes, and noticeBurst how many
	// bytes may go at once.
	noticeSize  = datagramOverhead + 12
	noticeBurst = 2000
	// datagramOverhead is what a datagram costs beside its message, in bytes.
	datagramOverhead = 28
	// peerSilence is the time without a digest after which a peer counts as
	// lost.
	peerSilence = 1500 * time.Millisecond
	// confirmSlack is added to the age that a peer tells, for the way of the
	// datagram.
	confirmSlack = 50 * time.Millisecond
)

// turn returns how long this node waits before it tries for the controller's
// key: all nodes order themselves alike by hashing.
func (a *Agent) turn() time.Duration {
	own := routing.Hash(catalog.ControllerKey + a.config.Name)
	before := 0
	now := time.Now()
	isTree := a.isTree() // Peers are not heard one by one there.
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.peers {
		if (isTree || now.Sub(p.heard) <= peerSilence) && routing.Hash(catalog.ControllerKey+name) < own {
			before++
		}
	}
	turn := time.Duration(before) * campaignStep
	if a.started.Age() < startSpan {
		turn += time.Duration(own % uint64(startSpread))
	}
	return turn
}

// runMembership holds the node's key in the store by a lease, and gives it up
// at the end.
func (a *Agent) runMembership(ctx context.Context) {
	var lease ring.Lease
	clock.Every(ctx, a.config.Timing.Membership/4, func(ctx context.Context) {
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
	lease, err := a.config.Store.Grant(ctx, a.config.Timing.Membership)
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

// TellSoon asks for a digest now.
func (a *Agent) TellSoon() {
	select {
	case a.kickDigest <- struct{}{}:
	default:
	}
}

// runDigests tells all peers what this node knows. The interval grows with
// their number, so that control stays within its bytes.
func (a *Agent) runDigests(ctx context.Context) {
	timer := time.NewTimer(a.config.Timing.Digest)
	defer timer.Stop()
	for {
		isNews := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.kickDigest:
			isNews = true
		}
		switch {
		case !a.isTree():
			timer.Reset(max(a.config.Timing.Digest, spanOf(a.tell(), peerBytesPerSecond)))
		case isNews:
			// The next report or summary is due as before.
			if a.newsBytes.Tokens() > 0 {
				a.newsBytes.ReserveN(time.Now(), a.tellTree(time.Now(), a.control.Load()))
			}
			clock.Sleep(ctx, newsInterval)
		default:
			timer.Reset(max(treeInterval, spanOf(a.tellTree(time.Now(), false), treeBytesPerSecond)))
		}
	}
}

// spanOf returns the time in which so many bytes are within a rate.
func spanOf(bytes, perSecond int) time.Duration {
	return time.Duration(float64(bytes) / float64(perSecond) * float64(time.Second))
}

// post sends a message and returns its bytes.
func (a *Agent) post(address string, m digest.Message) int {
	n, err := a.port.Send(address, m)
	if err != nil {
		a.log.Write(event.DigestFailed, slog.String("address", address), slog.Any("error", err))
		return 0
	}
	return n + datagramOverhead
}

// tell sends one digest to every peer and returns the bytes that it took.
func (a *Agent) tell() int {
	message := digest.Message{Digest: a.digest(time.Now())}
	spent := 0
	for _, address := range a.addresses() {
		spent += a.post(address, message)
	}
	return spent
}

// Notice tells the peers that a replica was sent a prompt, as long as the bytes
// for notices last.
func (a *Agent) Notice(e ring.Epoch, read time.Duration) {
	if a.isTree() {
		return // Too many nodes for a message of each to each.
	}
	message := digest.Message{Notice: &digest.Notice{Epoch: uint64(e), Read: uint16(min(read.Milliseconds(), math.MaxUint16))}}
	for _, address := range a.addresses() {
		if !a.noticeBytes.AllowN(time.Now(), noticeSize) {
			return
		}
		a.post(address, message)
	}
}

func (a *Agent) digest(now time.Time) *digest.Digest {
	loads, still := a.fleet.LocalState(now)
	d := &digest.Digest{
		Name: a.config.Name, Incarnation: a.config.Incarnation, Draining: a.draining.Load(),
		Number: a.number(), Loads: map[uint64]int{}, Still: map[uint64]int64{}, Abandoned: a.abandonedNow(),
	}
	for e, n := range loads {
		d.Loads[uint64(e)] = n
	}
	for e, span := range still {
		d.Still[uint64(e)] = span.Milliseconds()
	}
	d.Confirmed = -1
	if age, ok := a.ConfirmedAge(); ok {
		d.Confirmed = age.Milliseconds()
	}
	return d
}

// addresses returns the peers' addresses.
func (a *Agent) addresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.peers))
	for _, p := range a.peers {
		out = append(out, p.address)
	}
	return out
}

// take handles a message of a peer.
func (a *Agent) take(from string, m digest.Message) {
	switch {
	case m.Digest != nil:
		a.hear(from, m.Digest)
	case m.Question != nil:
		go a.answer(from, *m.Question)
	case m.Report != nil:
		a.hearReport(from, m.Report)
	case m.Summary != nil:
		a.hearSummary(from, m.Summary)
	case len(m.Entries) > 0:
		a.hearEntries(m.Entries)
	case m.Want != nil:
		a.give(from, m.Want)
	case m.Roll != nil:
		a.hearRoll(m.Roll)
	case m.Notice != nil:
		a.fleet.AddPeerPrefill(ring.Epoch(m.Notice.Epoch), time.Duration(m.Notice.Read)*time.Millisecond, time.Now())
	case m.Reply != nil:
		a.mu.Lock()
		waiting := a.questions[m.Reply.ID]
		a.mu.Unlock()
		if waiting != nil {
			select {
			case waiting <- *m.Reply:
			default:
			}
		}
	}
}

func (a *Agent) hear(from string, d *digest.Digest) {
	if d.Name == a.config.Name {
		return
	}
	now := time.Now()
	a.note(from, d, now)
	loads := make(map[ring.Epoch]int, len(d.Loads))
	for e, n := range d.Loads {
		loads[ring.Epoch(e)] = n
	}
	still := make(map[ring.Epoch]time.Duration, len(d.Still))
	for e, ms := range d.Still {
		still[ring.Epoch(e)] = time.Duration(ms) * time.Millisecond
	}
	a.fleet.UpdatePeer(d.Name, loads, still, now.Add(peerSilence))
	a.hearAbandoned(d.Abandoned, now)
	a.hearNumber(from, d.Number, d.Confirmed)
}

// note keeps a peer's state.
func (a *Agent) note(from string, d *digest.Digest, now time.Time) {
	a.mu.Lock()
	p, known := a.peers[d.Name]
	if !known {
		p = &peer{address: from}
		a.peers[d.Name] = p
	}
	wasLost := now.Sub(p.heard) > peerSilence
	p.heard, p.address = now, from
	a.mu.Unlock()
	if wasLost {
		a.log.Write(event.PeerFound, slog.String("peer", d.Name), slog.String("incarnation", d.Incarnation))
	}
}

// answer tries to reach a backend server for a peer.
func (a *Agent) answer(from string, q digest.Question) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Timing.InspectTimeout)
	defer cancel()
	s, err := a.config.Control.Inspect(ctx, q.Address)
	reply := digest.Reply{ID: q.ID, Answered: err == nil, Incarnation: s.Incarnation}
	a.post(from, digest.Message{Reply: &reply})
}

// askPeers asks all live peers to reach a backend server and returns the first
// answer of the server; false when none got one in time.
func (a *Agent) askPeers(ctx context.Context, address string) (digest.Reply, bool) {
	replies := make(chan digest.Reply, 16)
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	a.questions[id] = replies
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.questions, id)
		a.mu.Unlock()
	}()
	asked := 0
	live := a.liveAddresses()
	for _, peer := range live[:min(len(live), maxAsked)] {
		if _, err := a.port.Send(peer, digest.Message{Question: &digest.Question{ID: id, Address: address}}); err == nil {
			asked++
		}
	}
	for range asked {
		select {
		case <-ctx.Done():
			return digest.Reply{}, false
		case r := <-replies:
			if r.Answered {
				return r, true
			}
		}
	}
	return digest.Reply{}, false
}

func (a *Agent) liveAddresses() []string {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, p := range a.peers {
		if now.Sub(p.heard) <= peerSilence {
			out = append(out, p.address)
		}
	}
	return out
}

// inspectWide reaches a server by itself and by its peers at once.
func (a *Agent) inspectWide(ctx context.Context, address string) (ring.Server, error) {
	var own ring.Server
	var err error
	var reply digest.Reply
	var reached bool
	var wait sync.WaitGroup
	wait.Go(func() { own, err = a.config.Control.Inspect(ctx, address) })
	wait.Go(func() { reply, reached = a.askPeers(ctx, address) })
	wait.Wait()
	if err != nil && reached {
		return ring.Server{Incarnation: reply.Incarnation}, nil
	}
	return own, err
}
