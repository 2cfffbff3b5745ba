package gateway

import (
	"log/slog"
	"maps"
	"math/bits"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/routing"
)

// Stop is the schedule of a node that shuts down. A node that runs on has the zero value.
type Stop struct {
	// SettledAt is when callers have noticed the shutdown and choose other nodes. A request
	// that is received later came on a connection that its caller has kept.
	SettledAt time.Time
	// AnswerAt is when the requests whose response has not begun are answered. Responses
	// that have begun may go on for as long as the process lives.
	AnswerAt time.Time
}

// admits reports whether a request that was read at readAt may be sent to a server at now.
// It may if its own deadline is no later than AnswerAt. Otherwise it may if it usually takes
// no longer than the time left: any request that was read before SettledAt, since a refusal
// may lead its caller here again, and later ones only if a failure at AnswerAt does them no
// harm, because they are idempotent and their response begins when it is complete. usual is
// 0 if it is not known.
func (s Stop) admits(now, readAt, deadline time.Time, usual time.Duration, isHarmless bool) bool {
	switch {
	case s.AnswerAt.IsZero() || !deadline.After(s.AnswerAt):
		return true
	case usual == 0 || (!isHarmless && !readAt.Before(s.SettledAt)):
		return false
	default:
		return !now.Add(usual).After(s.AnswerAt)
	}
}

// BeginStop makes the Front refuse the requests that cannot be expected to end before the
// node does; see Stop. AnswerPending must be called at AnswerAt.
func (f *Front) BeginStop(s Stop) { f.stop.Store(&s) }

// refuseAtStop returns a failure if the node shuts down and the request must not be sent to
// a server any more. The request has not run in this attempt.
func (f *Front) refuseAtStop(req *frontRequest) *ring.Failure {
	now := time.Now()
	if f.admitsAtStop(req, now) {
		return nil
	}
	f.config.Metrics.Count("refused_at_stop", 1)
	return ring.FailRetryAt(ring.CodeOverloaded, now, "the node is stopping")
}

// admitsAtStop reports whether the request may be sent to a server, as far as the shutdown of
// the node is concerned.
func (f *Front) admitsAtStop(req *frontRequest, now time.Time) bool {
	if f.stopping.Err() != nil {
		return false
	}
	stop := f.stop.Load()
	return stop == nil || stop.admits(now, req.readAt, req.deadline, f.timeNeeded(req), req.route.Kind == ring.CallIdempotent)
}

// timeNeeded returns the time in which a request that is sent to a server now is usually
// complete, or 0 if nothing is known of it.
func (f *Front) timeNeeded(req *frontRequest) time.Duration {
	usual, streamed := f.usualDuration(req), time.Duration(req.streamedFor.Load())
	if usual == 0 || streamed == 0 {
		return usual
	}
	return restOf(usual, streamed) + f.config.Fleet.FirstEventTime(req.header.Model) + f.selector.prefillTime(req)
}

// restOf returns how long the rest of a stream usually takes of which the caller got the last
// event when it had gone on for the time streamed. A stream that has nearly reached its usual
// time, or exceeds it, may still need a quarter of it.
func restOf(usual, streamed time.Duration) time.Duration { return max(usual-streamed, usual/4) }

// AnswerPending ends the requests whose response has not begun, and all later ones, with
// a failure. It is called shortly before the process ends, which would close their
// connections without a response. The other requests are logged: if the process is killed
// before LogCutOff, there is no other trace of them.
func (f *Front) AnswerPending() {
	f.endStopping()
	f.logUnderWay(event.ResponseUnfinished, func(req *frontRequest) bool { return req.hasBegun.Load() })
}

// LogCutOff logs the requests that are under way, and returns how many there are. It is
// called right before the process ends, which cuts them off.
func (f *Front) LogCutOff() int {
	return f.logUnderWay(event.RequestCutOff, func(*frontRequest) bool { return true })
}

// logUnderWay logs an event of each request under way that isLogged selects, and returns
// their number.
func (f *Front) logUnderWay(kind event.Kind, isLogged func(*frontRequest) bool) int {
	f.underWayMu.Lock()
	underWay := maps.Clone(f.underWay)
	f.underWayMu.Unlock()
	now, logged := time.Now(), 0
	for req, id := range underWay {
		if !isLogged(req) {
			continue
		}
		logged++
		f.config.Log.Write(kind, slog.String("request", id), slog.Bool("begun", req.hasBegun.Load()),
			slog.Int64("age_ms", now.Sub(req.receivedAt).Milliseconds()), slog.Int64("left_ms", req.deadline.Sub(now).Milliseconds()))
	}
	return logged
}

// markUnderWay records that a request is under way until the returned function is called.
func (f *Front) markUnderWay(req *frontRequest) (end func()) {
	f.underWayMu.Lock()
	defer f.underWayMu.Unlock()
	f.underWay[req] = req.header.ID
	return func() {
		f.underWayMu.Lock()
		defer f.underWayMu.Unlock()
		delete(f.underWay, req)
	}
}

const (
	// durationRise and durationFall are the weights of a sample above and below the
	// estimate, so that most requests take no longer than the estimate.
	durationRise = 0.5
	durationFall = 0.02
	// maxDurationClasses bounds the memory of the estimates.
	maxDurationClasses = 1000
)

// durationClass is a class of requests that take about the same time: those of a route whose
// expected lengths have the same size, or those of all routes to a service without models.
type durationClass struct {
	route   string
	service ring.Service
	// size is the number of binary digits of the expected length of the response in tokens,
	// or 0 if that is not known.
	size int
}

// durationClass returns the class of a request that has a route.
func (req *frontRequest) durationClass() durationClass {
	return durationClass{route: req.route.Name, size: bits.Len(uint(max(req.header.OutputTokens, 0)))}
}

// durations estimates how long requests take from the end of their body until their response
// is complete.
type durations struct {
	mu      sync.Mutex
	byClass map[durationClass]time.Duration
}

func newDurations() *durations { return &durations{byClass: map[durationClass]time.Duration{}} }

// observe adds the duration of a request whose response was complete.
func (d *durations) observe(c durationClass, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate, known := d.byClass[c]
	switch {
	case !known && len(d.byClass) >= maxDurationClasses:
		clear(d.byClass) // The routes may have changed.
		estimate = took
	case !known:
		estimate = took
	case took > estimate:
		estimate += time.Duration(durationRise * float64(took-estimate))
	default:
		estimate -= time.Duration(durationFall * float64(estimate-took))
	}
	d.byClass[c] = max(estimate, 1)
}

// usual returns the time in which most requests of a class are complete, or 0 if there was
// none.
func (d *durations) usual(c durationClass) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byClass[c]
}

// nearest sets the durations of the nearest classes of the same route whose responses are
// shorter and longer than those of a class.
func (d *durations) nearest(c durationClass, out *knownDurations) {
	if c.size == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for out.doublings = 1; out.doublings < c.size && out.shorter == 0; out.doublings++ {
		out.shorter = d.byClass[durationClass{route: c.route, size: c.size - out.doublings}]
	}
	out.doublings--
	for size := c.size + 1; size <= bits.UintSize && out.longer == 0; size++ {
		out.longer = d.byClass[durationClass{route: c.route, size: size}]
	}
}

// knownDurations is what is known of the time that a request takes whose class has had none.
// A duration that is not known is 0.
type knownDurations struct {
	// shorter and longer are the usual durations of the nearest classes of the same route;
	// the request's response is 2^doublings times as long as one of the shorter class.
	shorter   time.Duration
	longer    time.Duration
	doublings int
	// engine follows from the engine's rates at a replica without a free slot.
	engine time.Duration
	// service is the usual duration of the requests of all routes to the same service.
	service time.Duration
}

// maxDoublings bounds how much longer than a known response one may be whose duration is
// estimated from it.
const maxDoublings = 16

// estimate returns the time in which the request is likely to be complete, or 0 if nothing is
// known. A longer response, the rates at full load and a shorter response whose whole time is
// scaled are upper bounds, and a shorter response is a lower one.
func (k knownDurations) estimate() time.Duration {
	estimate := k.longer
	if k.engine > 0 && (estimate == 0 || k.engine < estimate) {
		estimate = k.engine
	}
	if k.shorter > 0 && k.doublings <= maxDoublings {
		if scaled := k.shorter << k.doublings; estimate == 0 || scaled < estimate {
			estimate = scaled
		}
	}
	if estimate == 0 {
		return k.service
	}
	return max(estimate, k.shorter)
}

// usualDuration returns the time in which requests like this one are usually complete, or 0 if
// nothing is known of it.
func (f *Front) usualDuration(req *frontRequest) time.Duration {
	c := req.durationClass()
	if usual := f.durations.usual(c); usual > 0 {
		return usual
	}
	var known knownDurations
	if !req.service.HasReplicas() {
		known.service = f.durations.usual(durationClass{service: req.service.Name})
		return known.estimate()
	}
	f.durations.nearest(c, &known)
	known.engine = f.engineTime(req)
	return known.estimate()
}

// engineTime returns how long the request takes at a replica without a free slot by the
// engine's rates, or 0 if they or the length of the response are not known.
func (f *Front) engineTime(req *frontRequest) time.Duration {
	for _, m := range req.service.Models {
		if m.Name != req.header.Model {
			continue
		}
		own := f.selector.requestProfile(req, f.selector.prefillTime(req))
		average, known := f.config.Fleet.Profile(m.Name)
		if !known {
			average = own
		}
		if took := routing.ResponseTime(req.service.Rates, m, own, average, req.service.Slots); took > 0 {
			return f.config.Fleet.FirstEventTime(m.Name) + took
		}
	}
	return 0
}

// observeDuration adds the duration of a request whose response was complete to the estimates,
// unless the response is the rest of a stream that the caller resumes.
func (f *Front) observeDuration(req *frontRequest, took time.Duration) {
	if req.header.LastEvent != "" {
		return
	}
	f.durations.observe(req.durationClass(), took)
	if !req.service.HasReplicas() {
		f.durations.observe(durationClass{service: req.service.Name}, took)
	}
}
