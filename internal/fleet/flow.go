package fleet

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

const (
	// StallTimeout is the time without any event at which a replica counts as
	// standing still. A pass with full prefill chunks takes up to 300 ms.
	StallTimeout = 450 * time.Millisecond
	// firstEventTimeout is how long a replica may take to the first event of a
	// request while none of its other streams has an event.
	firstEventTimeout = 900 * time.Millisecond
	// defaultFirstEventTime is the time to a first event beyond the reading of prompts
	// before any was measured; firstEventWeight is the weight of a new sample, and
	// maxFirstEventTime bounds one, so that a replica that stood still does not count.
	defaultFirstEventTime = 150 * time.Millisecond
	firstEventWeight      = 0.05
	maxFirstEventTime     = 400 * time.Millisecond
	// profileWeight is the weight of a new request in the mix of its model; a node of
	// many sees one a second.
	profileWeight = 0.1
	// gapWeight is the weight of a new sample of a pause, minGapSamples how many
	// a comparison needs, maxGapAge how old the last may be, minComparedReplicas how many
	// replicas a comparison needs, and slowRatio the ratio to the median from
	// which a replica counts as slow: prompts that are read lengthen pauses up to
	// twice.
	gapWeight           = 0.05
	minGapSamples       = 20
	maxGapAge           = 2 * time.Second
	minComparedReplicas = 3
	slowRatio           = 2.5
	// suspicionDuration is how long a replica that stood still gets no requests of
	// this node, unless an event shows that it works.
	suspicionDuration = 3 * time.Second
)

// streamState is the state of one replica's streams at this node.
type streamState struct {
	epoch ring.Epoch
	// outstanding counts requests, streaming those that had an event.
	outstanding int
	streaming   int
	// suspectedAt is when a request was given up because nothing came; it counts
	// until the next event.
	suspectedAt time.Time
	// meanGap is the smoothed pause between the events of a stream, from so many
	// samples; paused is the last of them.
	meanGap    time.Duration
	gapSamples int
	lastGapAt  time.Time
	// lastEvent is the last event of any stream, or the start of the first request
	// after none was there.
	lastEvent time.Time
}

// stalledFor returns how long the replica has had no event beyond what is usual;
// it is 0 while nothing is expected.
func (w *streamState) stalledFor(now time.Time) time.Duration {
	if !w.suspectedAt.IsZero() && now.Sub(w.suspectedAt) < suspicionDuration {
		return now.Sub(w.lastEvent)
	}
	if w.outstanding == 0 {
		return 0
	}
	span := now.Sub(w.lastEvent)
	if w.streaming == 0 {
		span -= firstEventTimeout - StallTimeout
	}
	return max(span, 0)
}

// Begin counts a request that is sent to a replica, whose prompt takes so long
// to read.
func (f *Fleet) Begin(r Replica, read time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.streams[r.Group]
	if !ok {
		w = &streamState{epoch: r.Epoch}
		f.streams[r.Group] = w
	}
	if w.outstanding == 0 {
		w.lastEvent = now
	}
	w.outstanding++
	f.addPrefill(r.Epoch, read, now)
}

// addPrefill lengthens the time until which a replica reads prompts; mu is
// held.
func (f *Fleet) addPrefill(e ring.Epoch, read time.Duration, now time.Time) {
	until := f.prefillUntil[e]
	if until.Before(now) {
		until = now
	}
	f.prefillUntil[e] = until.Add(read)
}

// ObserveFirstEventTime takes how long a first event took beyond the reading of prompts.
func (f *Fleet) ObserveFirstEventTime(m ring.Model, extra time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.firstEventTimes[m]
	if !known {
		old = defaultFirstEventTime
	}
	f.firstEventTimes[m] = old + time.Duration(firstEventWeight*float64(min(extra, maxFirstEventTime)-old))
}

// FirstEventTime returns how long a first event takes beyond the reading of prompts.
func (f *Fleet) FirstEventTime(m ring.Model) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if first, known := f.firstEventTimes[m]; known {
		return first
	}
	return defaultFirstEventTime
}

// ObserveProfile takes what a request of a model is like.
func (f *Fleet) ObserveProfile(m ring.Model, one routing.RequestProfile) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mix, known := f.profiles[m]
	if !known {
		mix = one
	}
	mix.Prefill += time.Duration(profileWeight * float64(one.Prefill-mix.Prefill))
	mix.ContextTokens += profileWeight * (one.ContextTokens - mix.ContextTokens)
	mix.Passes += profileWeight * (one.Passes - mix.Passes)
	f.profiles[m] = mix
}

// Profile returns what the requests of a model are like; false when none was seen.
func (f *Fleet) Profile(m ring.Model) (routing.RequestProfile, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	mix, known := f.profiles[m]
	return mix, known
}

// AddPeerPrefill counts the reading of a prompt that a peer sent to a replica.
func (f *Fleet) AddPeerPrefill(e ring.Epoch, read time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addPrefill(e, read, now)
}

// ObserveEvent notes an event of a replica's stream; first is set for a stream's
// first one.
func (f *Fleet) ObserveEvent(g ring.Group, first bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.streams[g]
	if !ok {
		return
	}
	w.lastEvent = now
	w.suspectedAt = time.Time{}
	delete(f.backoffs, g)
	if first {
		w.streaming++
	}
}

// End takes a request off its replica; streaming tells whether it had an event.
func (f *Fleet) End(g ring.Group, streaming bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.streams[g]
	if !ok {
		return
	}
	w.outstanding--
	if streaming {
		w.streaming--
	}
	f.notifyWaiters()
}

// ObserveGap takes the pause between two events of a replica's stream.
func (f *Fleet) ObserveGap(g ring.Group, pause time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.streams[g]
	if !ok {
		return
	}
	if w.gapSamples == 0 {
		w.meanGap = pause
	}
	w.gapSamples++
	w.lastGapAt = now
	w.meanGap += time.Duration(gapWeight * float64(pause-w.meanGap))
}

// Slow returns the replicas whose pauses are much longer than those of the other
// replicas of their model, by how many times.
func (f *Fleet) Slow(now time.Time) map[ring.Epoch]float64 {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	byModel := map[ring.Model][]*streamState{}
	for _, r := range f.replicas {
		if w, ok := f.streams[r.Group]; ok && w.gapSamples >= minGapSamples && now.Sub(w.lastGapAt) <= maxGapAge {
			byModel[r.Model] = append(byModel[r.Model], w)
		}
	}
	out := map[ring.Epoch]float64{}
	for _, flows := range byModel {
		if len(flows) < minComparedReplicas {
			continue
		}
		sort.Slice(flows, func(i, j int) bool { return flows[i].meanGap < flows[j].meanGap })
		median := flows[len(flows)/2].meanGap
		for _, w := range flows {
			if ratio := float64(w.meanGap) / float64(max(median, time.Millisecond)); ratio >= slowRatio {
				out[w.epoch] = ratio
			}
		}
	}
	return out
}

// MarkSuspected notes that a request was given up because its replica stood still. It
// reports whether that is news.
func (f *Fleet) MarkSuspected(g ring.Group, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.streams[g]
	if !ok || w.stalledFor(now) <= StallTimeout {
		return false
	}
	isNews := w.suspectedAt.IsZero()
	w.suspectedAt = now
	return isNews
}

// StalledFor returns how long the replica's streams at this node have stood
// still. Requests that wait for their first event say nothing while streams of
// other nodes go on: the replica may only have many prompts to read.
func (f *Fleet) StalledFor(g ring.Group, now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	w, ok := f.streams[g]
	if !ok || (w.streaming == 0 && f.isActiveAtPeers(w.epoch, now)) {
		return 0
	}
	return w.stalledFor(now)
}

// isActiveAtPeers reports whether streams of the replica at other nodes have had
// events lately; mu is held.
func (f *Fleet) isActiveAtPeers(e ring.Epoch, now time.Time) bool {
	for _, p := range f.peers {
		if _, still := p.stalled[e]; now.Before(p.validUntil) && p.loads[e] > 0 && !still {
			return true
		}
	}
	return false
}

// LocalState returns this node's loads, and the replicas whose streams stand still,
// for its peers. A span of 0 says that this node has requests but no event yet,
// which speaks neither for the replica nor against it.
func (f *Fleet) LocalState(now time.Time) (map[ring.Epoch]int, map[ring.Epoch]time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	loads, still := map[ring.Epoch]int{}, map[ring.Epoch]time.Duration{}
	for _, w := range f.streams {
		if w.outstanding > 0 {
			loads[w.epoch] = w.outstanding
		}
		switch span := w.stalledFor(now); {
		case span > StallTimeout:
			still[w.epoch] = span
		case w.outstanding > 0 && w.streaming == 0:
			still[w.epoch] = 0
		}
	}
	return loads, still
}

// Stalled returns the replicas that stand still at every node that has streams
// there, and for how long.
func (f *Fleet) Stalled(now time.Time) map[ring.Epoch]time.Duration {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	out := map[ring.Epoch]time.Duration{}
	for _, r := range f.replicas {
		if span, ok := f.stalledEverywhere(r, now); ok {
			out[r.Epoch] = span
		}
	}
	return out
}

// Active returns the replicas whose streams have had events lately, at this
// node or a peer.
func (f *Fleet) Active(now time.Time) map[ring.Epoch]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[ring.Epoch]bool{}
	for _, w := range f.streams {
		if w.streaming > 0 && now.Sub(w.lastEvent) <= StallTimeout {
			out[w.epoch] = true
		}
	}
	for _, p := range f.peers {
		if !now.Before(p.validUntil) {
			continue
		}
		for e := range p.loads {
			if _, still := p.stalled[e]; !still {
				out[e] = true
			}
		}
	}
	return out
}

// stalledEverywhere is called with mu held.
func (f *Fleet) stalledEverywhere(r Replica, now time.Time) (time.Duration, bool) {
	var longest time.Duration
	if w, ok := f.streams[r.Group]; ok {
		span := w.stalledFor(now)
		if span <= StallTimeout && w.streaming > 0 {
			return 0, false
		}
		longest = span
	}
	for _, p := range f.peers {
		if !now.Before(p.validUntil) {
			continue
		}
		span, still := p.stalled[r.Epoch]
		if !still && p.loads[r.Epoch] > 0 {
			return 0, false
		}
		longest = max(longest, span)
	}
	return longest, longest > StallTimeout
}

// HasTraffic reports whether any node has requests at a replica.
func (f *Fleet) HasTraffic(now time.Time) bool {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	for _, r := range f.replicas {
		if w, ok := f.streams[r.Group]; (ok && w.outstanding > 0) || f.peerLoad(r.Epoch, now) > 0 {
			return true
		}
	}
	return false
}
