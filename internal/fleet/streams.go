package fleet

import (
	"sort"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/routing"
)

const (
	// StallTimeout is the time without any event after which a replica counts as
	// stalled. An engine pass with full prefill chunks takes up to 300 ms.
	StallTimeout = 450 * time.Millisecond
	// firstEventTimeout replaces StallTimeout while none of the replica's requests
	// has had an event.
	firstEventTimeout = 900 * time.Millisecond
	// defaultFirstEventTime is the time to first event, without the prefill, that
	// is assumed before any was measured. firstEventWeight is the weight of a new
	// sample. maxFirstEventTime caps a sample, to limit the effect of a replica that
	// had stalled.
	defaultFirstEventTime = 150 * time.Millisecond
	firstEventWeight      = 0.05
	maxFirstEventTime     = 400 * time.Millisecond
	// profileWeight is the weight of a new request in the profile of its model. In
	// a large system a node sees about one request per second.
	profileWeight = 0.1
	// gapWeight is the weight of a new event gap in the mean. To be compared with
	// others, a replica needs minGapSamples gaps, the last no older than maxGapAge,
	// and its model needs minComparedReplicas such replicas. slowRatio is the ratio
	// to the median from which a replica counts as slow; it is above 2 because
	// prefills make gaps up to twice as long.
	gapWeight           = 0.05
	minGapSamples       = 20
	maxGapAge           = 2 * time.Second
	minComparedReplicas = 3
	slowRatio           = 2.5
	// suspicionDuration is how long a replica counts as stalled after an attempt was
	// cancelled there. An event of one of its streams ends this early.
	suspicionDuration = 3 * time.Second
)

// streamState is the state of one replica's streams at this node.
type streamState struct {
	epoch ring.Epoch
	// outstanding counts this node's requests at the replica, and streaming those of
	// them that have had an event.
	outstanding int
	streaming   int
	// pinned counts those of the outstanding requests that may not continue at another
	// replica.
	pinned int
	// suspectedAt is when an attempt was last cancelled because the replica had
	// stalled; the next event resets it.
	suspectedAt time.Time
	// meanGap is the smoothed gap between the events of a stream, from gapSamples
	// samples; lastGapAt is the time of the last one.
	meanGap    time.Duration
	gapSamples int
	lastGapAt  time.Time
	// slowness is the mean ratio of the gaps to the expected ones, from slownessSamples: of all at
	// first, then smoothed. slownessAt is the time of the last one.
	slowness        float64
	slownessSamples int
	slownessAt      time.Time
	// lastEvent is the time of the last event of any stream, or the start of the
	// first request after the replica was idle.
	lastEvent time.Time
}

// stalledFor returns how long the replica has had no event, or 0 while none is
// expected. While no request has had an event, it subtracts the difference between
// firstEventTimeout and StallTimeout, so that callers can compare every result with
// StallTimeout.
func (s *streamState) stalledFor(now time.Time) time.Duration {
	if !s.suspectedAt.IsZero() && now.Sub(s.suspectedAt) < suspicionDuration {
		return now.Sub(s.lastEvent)
	}
	if s.outstanding == 0 {
		return 0
	}
	duration := now.Sub(s.lastEvent)
	if s.streaming == 0 {
		duration -= firstEventTimeout - StallTimeout
	}
	return max(duration, 0)
}

// isActive reports whether a stream has had an event within StallTimeout.
func (s *streamState) isActive(now time.Time) bool {
	return s.streaming > 0 && now.Sub(s.lastEvent) <= StallTimeout
}

// BeginRequest counts a request that is sent to a replica; prefill is how long
// the prefill of its prompt takes.
func (f *Fleet) BeginRequest(r Replica, prefill time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[r.Group]
	if !ok {
		s = &streamState{epoch: r.Epoch}
		f.streams[r.Group] = s
	}
	if s.outstanding == 0 {
		s.lastEvent = now
	}
	s.outstanding++
	f.addPrefill(r.Epoch, prefill, now)
}

// addPrefill adds the prefill time of a prompt to the pending prefill of a replica; mu
// is held.
func (f *Fleet) addPrefill(e ring.Epoch, prefill time.Duration, now time.Time) {
	until := f.prefillUntil[e]
	if until.Before(now) {
		until = now
	}
	f.prefillUntil[e] = until.Add(prefill)
}

// ObserveFirstEventTime adds a sample of the time to first event, without the
// prefill, to the model's smoothed time.
func (f *Fleet) ObserveFirstEventTime(m ring.Model, sample time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.firstEventTimes[m]
	if !known {
		old = defaultFirstEventTime
	}
	f.firstEventTimes[m] = old + time.Duration(firstEventWeight*float64(min(sample, maxFirstEventTime)-old))
}

// FirstEventTime returns the smoothed time to first event of a model, without the
// prefill, or defaultFirstEventTime if none was measured.
func (f *Fleet) FirstEventTime(m ring.Model) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if first, known := f.firstEventTimes[m]; known {
		return first
	}
	return defaultFirstEventTime
}

// ObserveProfile adds a request to the average request profile of its model.
func (f *Fleet) ObserveProfile(m ring.Model, request routing.RequestProfile) {
	f.mu.Lock()
	defer f.mu.Unlock()
	profile, known := f.profiles[m]
	if !known {
		profile = request
	}
	profile.Prefill += time.Duration(profileWeight * float64(request.Prefill-profile.Prefill))
	profile.ContextTokens += profileWeight * (request.ContextTokens - profile.ContextTokens)
	profile.Passes += profileWeight * (request.Passes - profile.Passes)
	f.profiles[m] = profile
}

// Profile returns the profile of a model's average request, or false when no request
// was observed.
func (f *Fleet) Profile(m ring.Model) (routing.RequestProfile, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	profile, known := f.profiles[m]
	return profile, known
}

// AddPeerPrefill adds the prefill time of a prompt that a peer sent to a replica to the
// replica's pending prefill.
func (f *Fleet) AddPeerPrefill(e ring.Epoch, prefill time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addPrefill(e, prefill, now)
}

// ObserveEvent records an event of a replica's stream; first is set for the first
// event of a stream.
func (f *Fleet) ObserveEvent(g ring.Group, first bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[g]
	if !ok {
		return
	}
	s.lastEvent = now
	s.suspectedAt = time.Time{}
	delete(f.backoffs, g)
	if first {
		s.streaming++
	}
}

// EndRequest removes a request that BeginRequest counted at a replica from its counts;
// streaming is set if the request has had an event.
func (f *Fleet) EndRequest(g ring.Group, streaming bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[g]
	if !ok {
		return
	}
	s.outstanding--
	if streaming {
		s.streaming--
	}
	f.notifyWaiters()
}

// ObserveGap adds a sample of the gap between two events of a replica's stream.
func (f *Fleet) ObserveGap(g ring.Group, gap time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[g]
	if !ok {
		return
	}
	if s.gapSamples == 0 {
		s.meanGap = gap
	}
	s.gapSamples++
	s.lastGapAt = now
	s.meanGap += time.Duration(gapWeight * float64(gap-s.meanGap))
}

// SlowReplicas returns the replicas whose mean event gap is at least slowRatio times
// the median of the replicas of their model, each with its ratio to this median.
func (f *Fleet) SlowReplicas(now time.Time) map[ring.Epoch]float64 {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	byModel := map[ring.Model][]*streamState{}
	for _, r := range f.replicas {
		if s, ok := f.streams[r.Group]; ok && s.gapSamples >= minGapSamples && now.Sub(s.lastGapAt) <= maxGapAge {
			byModel[r.Model] = append(byModel[r.Model], s)
		}
	}
	out := map[ring.Epoch]float64{}
	for _, streams := range byModel {
		if len(streams) < minComparedReplicas {
			continue
		}
		sort.Slice(streams, func(i, j int) bool { return streams[i].meanGap < streams[j].meanGap })
		median := streams[len(streams)/2].meanGap
		for _, s := range streams {
			if ratio := float64(s.meanGap) / float64(max(median, time.Millisecond)); ratio >= slowRatio {
				out[s.epoch] = ratio
			}
		}
	}
	return out
}

// MarkSuspected records that an attempt was cancelled because its replica had stalled.
// The replica then counts as stalled for suspicionDuration. MarkSuspected returns true
// if the replica was not suspected before. If the replica is no longer stalled, it does
// nothing and returns false.
func (f *Fleet) MarkSuspected(g ring.Group, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.streams[g]
	if !ok || s.stalledFor(now) <= StallTimeout {
		return false
	}
	isNew := s.suspectedAt.IsZero()
	s.suspectedAt = now
	return isNew
}

// StalledFor returns how long the replica has been stalled at this node, to be
// compared with StallTimeout. It returns 0 if the requests of this node only wait
// for their first event while the replica is active at peers: the replica may
// just have many prompts to prefill.
func (f *Fleet) StalledFor(g ring.Group, now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s, ok := f.streams[g]
	if !ok || (s.streaming == 0 && f.isActiveAtPeers(s.epoch, now)) {
		return 0
	}
	return s.stalledFor(now)
}

// isActiveAtPeers reports whether a live peer has requests at the replica and their
// streams have not stalled; mu is held.
func (f *Fleet) isActiveAtPeers(e ring.Epoch, now time.Time) bool {
	for _, p := range f.peers {
		if _, stalled := p.stalled[e]; now.Before(p.validUntil) && p.loads[e] > 0 && !stalled {
			return true
		}
	}
	return false
}

// LocalState returns this node's state to be sent to the peers: the number of its
// requests at each replica, and for how long replicas have been stalled at this node. A
// duration of 0 means that all requests of this node there still wait for their first
// event. Peers take such a replica neither for active nor for stalled.
func (f *Fleet) LocalState(now time.Time) (map[ring.Epoch]int, map[ring.Epoch]time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	loads, stalled := map[ring.Epoch]int{}, map[ring.Epoch]time.Duration{}
	for _, s := range f.streams {
		if s.outstanding > 0 {
			loads[s.epoch] = s.outstanding
		}
		switch duration := s.stalledFor(now); {
		case duration > StallTimeout:
			stalled[s.epoch] = duration
		case s.outstanding > 0 && s.streaming == 0:
			stalled[s.epoch] = 0
		}
	}
	return loads, stalled
}

// StalledReplicas returns the replicas that are stalled at every node that has streams
// of them. The value is the longest time that a node reports.
func (f *Fleet) StalledReplicas(now time.Time) map[ring.Epoch]time.Duration {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	out := map[ring.Epoch]time.Duration{}
	for _, r := range f.replicas {
		if duration, ok := f.stalledEverywhere(r, now); ok {
			out[r.Epoch] = duration
		}
	}
	return out
}

// ActiveReplicas returns the active replicas: this node or a live peer has streams of
// them that have not stalled.
func (f *Fleet) ActiveReplicas(now time.Time) map[ring.Epoch]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := map[ring.Epoch]bool{}
	for _, s := range f.streams {
		if s.isActive(now) {
			out[s.epoch] = true
		}
	}
	for _, p := range f.peers {
		if !now.Before(p.validUntil) {
			continue
		}
		for e := range p.loads {
			if _, stalled := p.stalled[e]; !stalled {
				out[e] = true
			}
		}
	}
	return out
}

// stalledEverywhere reports whether the replica is stalled at every node that has
// streams of it, and the longest time that a node reports for it; mu is held.
func (f *Fleet) stalledEverywhere(r Replica, now time.Time) (time.Duration, bool) {
	var longest time.Duration
	if s, ok := f.streams[r.Group]; ok {
		duration := s.stalledFor(now)
		if duration <= StallTimeout && s.streaming > 0 {
			return 0, false
		}
		longest = duration
	}
	for _, p := range f.peers {
		if !now.Before(p.validUntil) {
			continue
		}
		duration, stalled := p.stalled[r.Epoch]
		if !stalled && p.loads[r.Epoch] > 0 {
			return 0, false
		}
		longest = max(longest, duration)
	}
	return longest, longest > StallTimeout
}

// HasTraffic reports whether this node has received a request for a model, or a live
// peer has requests at any replica. Requests that were refused for lack of a replica
// count too.
func (f *Fleet) HasTraffic(now time.Time) bool {
	f.rLockReplicas()
	defer f.mu.RUnlock()
	if len(f.profiles) > 0 {
		return true
	}
	for _, r := range f.replicas {
		if s, ok := f.streams[r.Group]; (ok && s.outstanding > 0) || f.peerLoad(r.Epoch, now) > 0 {
			return true
		}
	}
	return false
}
