package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admission"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/quota"
	"eelgrassring.dev/internal/routing"
)

const (
	// pollInterval is how often a waiting request checks the replicas again. It must
	// poll because the replicas' prefill proceeds without an event that would wake the
	// request.
	pollInterval = 10 * time.Millisecond
	// lateWait is how long a request that can no longer meet its latency target waits
	// for a replica; lateReserve is how many slots it leaves free there, and
	// latePrefill the longest pending prefill that it queues behind.
	lateWait    = 600 * time.Millisecond
	lateReserve = 2
	latePrefill = 60 * time.Millisecond
	// latencyTargetFraction is the fraction of the latency target that the mean time to
	// first event may take at the load returned by maxLoad. The rest allows for bursts
	// of prompts.
	latencyTargetFraction = 0.9
	// latencyTargetSlack is how far the expected time to first event on the selected
	// replica may exceed the latency target.
	latencyTargetSlack = 30 * time.Millisecond
	// overloadRetryAfter is the least retry delay sent to refused callers of a service that
	// is not ranked. A random delay of up to the same length is added to spread the retries.
	overloadRetryAfter = 700 * time.Millisecond
	// minAnnouncedPrefill is the least prefill time that is announced to the peers at
	// once. Shorter prefills hardly delay other requests.
	minAnnouncedPrefill = 8 * time.Millisecond
)

// replicaSelector selects replicas for requests that name a model, and makes the
// requests wait while no replica has capacity.
type replicaSelector struct {
	fleet *fleet.Fleet
	node  FrontNode
	// mayTry reports whether a request may be sent now, or a failure if it never may.
	mayTry func(req *frontRequest) (bool, *ring.Failure)
	// permits gets the permits for requests to limited heads.
	permits *quota.Client
	// admission decides which requests to ranked services are sent, wait or are refused.
	admission *admission.Controller
	metrics   *metric.Registry
}

func newReplicaSelector(c FrontConfig, mayTry func(*frontRequest) (bool, *ring.Failure)) *replicaSelector {
	return &replicaSelector{fleet: c.Fleet, node: c.Node, metrics: c.Metrics, mayTry: mayTry, permits: c.Node.Quota(), admission: admission.NewController(admission.Config{Seed: rand.Uint64()})}
}

// prefillTime returns the estimated prefill time of the request's prompt.
func (s *replicaSelector) prefillTime(req *frontRequest) time.Duration {
	for _, m := range req.service.Models {
		if m.Name == req.header.Model {
			return routing.PrefillTime(req.service.Rates, m, req.header.PromptTokens)
		}
	}
	return 0
}

// requestProfile returns how much engine work the request needs. The number of
// passes is an upper bound, because callers state the most output tokens that they
// want.
func (s *replicaSelector) requestProfile(req *frontRequest, prefill time.Duration) routing.RequestProfile {
	stepsPerPass := max(req.service.Rates.StepsPerPass, 1)
	return routing.RequestProfile{Prefill: prefill, ContextTokens: float64(req.header.PromptTokens), Passes: float64(req.header.OutputTokens) / float64(stepsPerPass)}
}

// maxLoad returns how many requests a replica may have so that this request can meet
// its latency target there. With up to admission.DirectNodes nodes, each node knows the
// prompts that every replica has yet to prefill, and maxLoad is the number of slots.
// With more nodes, a node does not know them, and maxLoad is the number of requests, at
// most the slots, up to which the model's average request meets the target.
func (s *replicaSelector) maxLoad(req *frontRequest) int {
	if s.node.NodeCount() <= admission.DirectNodes {
		return req.service.Slots
	}
	profile, known := s.fleet.Profile(req.header.Model)
	if !known {
		return req.service.Slots
	}
	for _, m := range req.service.Models {
		if m.Name == req.header.Model {
			maxTime := time.Duration(latencyTargetFraction * float64(req.route.LatencyTarget))
			return min(routing.MaxConcurrency(req.service.Rates, m, profile, maxTime), req.service.Slots)
		}
	}
	return req.service.Slots
}

// acquire selects a replica that was not tried yet and counts the request there. If it
// finds none in time, it returns a failure. A request that can still meet its latency
// target waits for a replica on which it will meet the target. A late request (see
// isLate) gets only capacity that the requests in time do not need.
func (s *replicaSelector) acquire(ctx context.Context, req *frontRequest, tried map[ring.Group]bool) (fleet.Replica, *ring.Failure) {
	start := time.Now()
	prefill := s.prefillTime(req)
	if req.attempts == 0 {
		s.fleet.ObserveProfile(req.header.Model, s.requestProfile(req, prefill))
	}
	deadline := s.waitDeadline(req, prefill, start)
	req.shedRank = rand.Float64()
	ticket := s.arrive(req, prefill, start)
	wasSent := false
	defer func() { s.leave(req, ticket, wasSent) }()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		changed := s.fleet.Changed()
		now := time.Now()
		mayTry, failure := s.mayTry(req)
		if failure != nil {
			req.queuedFor += now.Sub(start)
			return fleet.Replica{}, failure
		}
		var c fleet.Candidate
		var candidates []fleet.Candidate
		decision := admission.Decision{Verdict: admission.Wait}
		if mayTry {
			c, candidates, decision = s.tryAcquire(ctx, req, ticket, tried, prefill, s.maxPermitWait(req, prefill, deadline, now), now)
		}
		ok := decision.Verdict == admission.Send
		if ok && s.awaitPermit(ctx, req, c) {
			req.queuedFor += time.Since(start)
			s.assign(req, c, prefill)
			wasSent = true
			if ticket != nil {
				s.metrics.Count("admission_sent", 1, "route", req.route.Name, "workspace", string(req.holder.Workspace))
			}
			return c.Replica, nil
		}
		if ok && ctx.Err() == nil {
			continue // The replica has closed, or the request is refused, since it got its permit.
		}
		if len(candidates) == 0 && s.fleet.IsWhollyEvacuated(req.service.Name) {
			req.queuedFor += now.Sub(start)
			return fleet.Replica{}, evacuatedFailure(req.service.Name, now)
		}
		if decision.Verdict == admission.Refuse {
			req.queuedFor += now.Sub(start)
			return fleet.Replica{}, s.capacityFailure(req, decision.Reason)
		}
		if until, areLimited := s.permitsUntil(candidates, now); areLimited && until.After(deadline) {
			req.queuedFor += now.Sub(start)
			return fleet.Replica{}, ring.FailRetryAt(ring.CodeOverloaded, spreadRetry(until), "all replicas of model %q get as many requests as they take", req.header.Model)
		}
		if until, arePaused := s.fleet.ReplicasPausedUntil(req.service.Name, req.header.Model, now); arePaused && until.After(deadline) {
			req.queuedFor += now.Sub(start)
			return fleet.Replica{}, ring.FailRetryAt(ring.CodeOverloaded, until, "all replicas of model %q asked for a pause", req.header.Model)
		}
		select {
		case <-ctx.Done():
			return fleet.Replica{}, ring.Fail(ring.CodeDeadline, "the caller disconnected, or the node is stopping")
		case <-timer.C:
			req.queuedFor += time.Since(start)
			if mayTry && len(candidates) == 0 {
				return fleet.Replica{}, ring.FailRetryAt(ring.CodeNoGroup, retryTime(req), "no replica currently serves model %q", req.header.Model)
			}
			return fleet.Replica{}, s.capacityFailure(req, decision.Reason)
		case <-changed:
		case <-poll.C:
		}
	}
}

// arrive returns the admission ticket of a request, or nil if its service is not ranked.
func (s *replicaSelector) arrive(req *frontRequest, prefill time.Duration, now time.Time) *admission.Ticket {
	if !req.service.IsRanked {
		return nil
	}
	isContinued := req.attempts > 0 || req.header.LastEvent != ""
	return s.admission.Arrive(admission.Request{
		Model: req.header.Model, Workspace: req.holder.Workspace, Priority: req.priority(),
		StartBy: s.waitDeadline(req, prefill, now), IsLate: !isContinued && s.isLate(req, prefill, now), IsContinued: isContinued,
	}, now)
}

// leave closes the ticket of a request that was sent or given up.
func (s *replicaSelector) leave(req *frontRequest, ticket *admission.Ticket, wasSent bool) {
	if ticket == nil {
		return
	}
	s.admission.Close(ticket, wasSent, time.Now())
	s.metrics.SetGauge("admission_waiting", float64(s.admission.Waiting(req.header.Model)), "model", string(req.header.Model))
}

// tryAcquire is acquire without waiting for capacity. It also returns the replicas of the
// model that take requests, and the decision on the request. If it returns a replica with a
// limited head, it has a permit that may be used within maxWait.
func (s *replicaSelector) tryAcquire(ctx context.Context, req *frontRequest, ticket *admission.Ticket, tried map[ring.Group]bool, prefill time.Duration, maxWait time.Duration, now time.Time) (fleet.Candidate, []fleet.Candidate, admission.Decision) {
	candidates := s.fleet.Candidates(req.service.Name, req.header.Model, tried, now)
	limit := s.limitFor(req, prefill, now)
	view := s.viewFor(req, candidates, limit, now)
	c, decision := s.choose(ctx, req, ticket, view, limit, maxWait, now)
	if decision.Verdict == admission.Send {
		s.fleet.BeginRequest(c.Replica, prefill, now)
	}
	return c, candidates, decision
}

// viewFor returns what the admission decides by.
func (s *replicaSelector) viewFor(req *frontRequest, candidates []fleet.Candidate, limit replicaLimit, now time.Time) admission.View {
	return admission.View{
		Candidates: candidates, Limit: admission.Limit{MaxLoad: limit.maxLoad, MaxPrefill: limit.maxPrefill, FixedPart: s.fixedPart(req, limit.maxLoad), RequestTime: s.requestTime(req, limit.maxLoad)},
		Nodes: s.node.NodeCount(), Index: s.node.NodeIndex(), KnowsLoads: s.fleet.KnowsPeerLoads(now),
	}
}

// modelOf returns the model of the service that the request names.
func modelOf(req *frontRequest) (ring.ReplicaModel, bool) {
	for _, m := range req.service.Models {
		if m.Name == req.header.Model {
			return m, true
		}
	}
	return ring.ReplicaModel{}, false
}

// passTime returns the expected time of an engine pass with load requests, or 0.
func (s *replicaSelector) passTime(req *frontRequest, load int) time.Duration {
	m, ok := modelOf(req)
	if !ok {
		return 0
	}
	profile, _ := s.fleet.Profile(req.header.Model)
	return routing.PassTime(req.service.Rates, m, profile, load)
}

// fixedPart returns which part of an engine pass with load requests is the same with fewer.
func (s *replicaSelector) fixedPart(req *frontRequest, load int) float64 {
	return float64(s.passTime(req, 0)) / float64(max(s.passTime(req, load), 1))
}

// requestTime returns how long the average request takes from its prefill at a replica with load
// requests, or 0.
func (s *replicaSelector) requestTime(req *frontRequest, load int) time.Duration {
	m, ok := modelOf(req)
	if !ok {
		return 0
	}
	profile, _ := s.fleet.Profile(req.header.Model)
	return routing.ResponseTime(req.service.Rates, m, profile, profile, load)
}

// preview returns what would be decided on a request that arrives now.
func (s *replicaSelector) preview(req *frontRequest, now time.Time) admission.Decision {
	if !req.service.IsRanked {
		return admission.Found(true)
	}
	candidates := s.fleet.Candidates(req.service.Name, req.header.Model, nil, now)
	view := s.viewFor(req, candidates, s.limitFor(req, 0, now), now)
	return s.admission.Preview(admission.Request{Model: req.header.Model, Priority: req.priority(), StartBy: s.waitDeadline(req, 0, now)}, view, now)
}

// choose selects one of the candidates within the limit, with a permit if its head is
// limited, unless the request must wait or is refused.
func (s *replicaSelector) choose(ctx context.Context, req *frontRequest, ticket *admission.Ticket, view admission.View, limit replicaLimit, maxWait time.Duration, now time.Time) (fleet.Candidate, admission.Decision) {
	if req.isIsolated {
		c, ok := chooseIsolated(view.Candidates, limit)
		if ok {
			c.SendAt, ok = s.permits.Acquire(ctx, keyOf(c.Replica.Head), maxWait)
		}
		return c, admission.Found(ok)
	}
	if s.permits.IsUnused() && ticket != nil {
		return s.admission.Decide(ticket, view, now)
	}
	if s.permits.IsUnused() {
		c, ok := s.admission.ChooseByLoad(view, req.shedRank)
		return c, admission.Found(ok)
	}
	if ticket != nil {
		if decision := s.admission.Admit(ticket, view, now); decision.Verdict != admission.Send {
			return fleet.Candidate{}, decision
		}
	}
	open, limited := s.splitLimited(view.Candidates, maxWait, now)
	c, ok := s.chooseOwn(ctx, open, limited, limit, now)
	view.Candidates = open
	switch {
	case !ok && ticket == nil:
		c, ok = s.admission.ChooseByLoad(view, req.shedRank)
	case !ok:
		c, ok = s.admission.Choose(ticket, view)
	}
	if !ok {
		c, ok = s.chooseLimited(ctx, limited, limit, maxWait)
	}
	return c, admission.Found(ok)
}

// awaitPermit waits until the permit for a candidate may be used. It returns false and gives
// up the candidate if it takes no requests then, if the request may not be sent any more, or if
// the context ends first.
func (s *replicaSelector) awaitPermit(ctx context.Context, req *frontRequest, c fleet.Candidate) bool {
	wait := time.Until(c.SendAt)
	if wait <= 0 {
		return true
	}
	if clock.Sleep(ctx, wait) && s.fleet.MayGetRequests(c.Replica, time.Now()) {
		if mayTry, failure := s.mayTry(req); mayTry && failure == nil {
			return true
		}
	}
	s.fleet.EndRequest(c.Replica.Group, false)
	return false
}

// assign records in the request that it goes to the replica, and tells the peers of a
// long prefill there.
func (s *replicaSelector) assign(req *frontRequest, c fleet.Candidate, prefill time.Duration) {
	if prefill >= minAnnouncedPrefill {
		s.node.AnnouncePrefill(c.Replica.Epoch, prefill)
	}
	req.replicaLoad, req.expectedPrefill = c.Load, c.Prefill+prefill
}

// observeFirstEvent tells the admission whether a request that was sent in time, to the
// first replica, got its first event in time.
func (s *replicaSelector) observeFirstEvent(req *frontRequest) {
	if !req.service.IsRanked || req.sentAt.After(req.receivedAt.Add(req.route.LatencyTarget/2)) {
		return
	}
	s.admission.ObserveFirstEvent(req.header.Model, req.timeToFirstEvent <= req.route.LatencyTarget)
}

// isLate reports whether the request can no longer meet its latency target, because it
// has waited too long or is the caller's retry of a refused request. Such a retry is
// recognized by its MaxWait; see isReturn.
func (s *replicaSelector) isLate(req *frontRequest, prefill time.Duration, now time.Time) bool {
	if isReturn(req) {
		return true
	}
	return now.Add(s.fleet.FirstEventTime(req.header.Model) + prefill).After(req.receivedAt.Add(req.route.LatencyTarget))
}

// isReturn reports whether the request appears to be the caller's retry of a refused one: the
// caller has less time left than the route's timeout less its latency target.
func isReturn(req *frontRequest) bool {
	if req.service.IsRanked {
		return admission.IsReturn(req.route.Timeout, req.route.LatencyTarget, req.header.MaxWait)
	}
	left := req.header.MaxWait
	return left > 0 && left < req.route.Timeout-req.route.LatencyTarget
}

// waitDeadline returns the time until which the request may wait for a replica. acquire
// then returns a failure.
func (s *replicaSelector) waitDeadline(req *frontRequest, prefill time.Duration, now time.Time) time.Time {
	deadline := req.receivedAt.Add(req.route.LatencyTarget - s.fleet.FirstEventTime(req.header.Model) - prefill)
	switch {
	case req.attempts > 0:
		deadline = req.deadline.Add(-resumeMargin)
	case req.service.IsRanked && s.isLate(req, prefill, now):
		deadline = req.receivedAt.Add(admission.LateWait(req.deadline.Sub(req.receivedAt)))
	case s.isLate(req, prefill, now):
		deadline = now.Add(lateWait)
	}
	if deadline.After(req.deadline) {
		return req.deadline
	}
	return deadline
}

// replicaLimit limits the replicas that may be selected for a request: those with fewer
// than maxLoad requests and at most maxPrefill of pending prefill.
type replicaLimit struct {
	maxLoad    int
	maxPrefill time.Duration
}

// limitFor returns the replica limit for a request. On the first attempt, the limit
// admits replicas on which the request can meet its latency target. If the request is
// late (see isLate), it admits only capacity that requests in time do not need. A later
// attempt may go to any replica with a free slot and a pending prefill of at most the
// latency target.
func (s *replicaSelector) limitFor(req *frontRequest, prefill time.Duration, now time.Time) replicaLimit {
	if req.attempts > 0 || (req.service.IsRanked && req.header.LastEvent != "") {
		return replicaLimit{maxLoad: req.service.Slots, maxPrefill: req.route.LatencyTarget}
	}
	if s.isLate(req, prefill, now) {
		reserve := lateReserve
		if req.service.IsRanked {
			reserve = 0 // The admission keeps room for the requests in time.
		}
		return replicaLimit{maxLoad: s.maxLoad(req) - reserve, maxPrefill: latePrefill}
	}
	remaining := req.receivedAt.Add(req.route.LatencyTarget).Sub(now) - s.fleet.FirstEventTime(req.header.Model) - prefill
	return replicaLimit{maxLoad: s.maxLoad(req), maxPrefill: remaining + latencyTargetSlack}
}

// capacityFailure returns the failure of a request that is not sent, for a reason.
func (s *replicaSelector) capacityFailure(req *frontRequest, reason admission.Reason) *ring.Failure {
	if !req.service.IsRanked {
		return ring.FailRetryAt(ring.CodeOverloaded, retryTime(req), "all replicas of model %q are at capacity", req.header.Model)
	}
	reason = cmp.Or(reason, admission.ReasonReplicas)
	req.note = reason.Text()
	s.metrics.Count("admission_refused", 1, "route", req.route.Name, "workspace", string(req.holder.Workspace), "reason", string(reason))
	return ring.FailRetryAt(ring.CodeOverloaded, retryTime(req), "all replicas of model %q are at capacity: %s", req.header.Model, req.note)
}

// retryTime returns when the caller of a request that found no room should return.
func retryTime(req *frontRequest) time.Time {
	now := time.Now()
	if !req.service.IsRanked {
		return now.Add(overloadRetryAfter + rand.N(overloadRetryAfter))
	}
	return now.Add(admission.RetryDelay(req.deadline.Sub(now), rand.Float64()))
}
