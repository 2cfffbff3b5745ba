package suspect

import (
	"cmp"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

const (
	// maxStrikes and maxStrongStrikes are the numbers of strikes from which a request is
	// refused.
	maxStrikes       = 3
	maxStrongStrikes = 2
	// maxPartStrikes and maxStrongPartStrikes are those of a part. Many requests have it,
	// so that it is at more servers that end for another reason.
	maxPartStrikes = 5
	// maxBlindStrikes is that of a part while no response to any request is complete or goes on,
	// so that nothing shows which parts are sound.
	maxBlindStrikes      = 5
	maxStrongPartStrikes = 3
	// isolatedStrikes is the number of strong strikes from which requests are isolated.
	isolatedStrikes = 2
	// sameCauseTime is the time within which ends of servers count as one against a part: a
	// rack that goes dark ends many at once.
	sameCauseTime = 50 * time.Millisecond
	// SettleTime is how long a part has enough strikes before it is refused. In this time complete
	// responses at any node show which parts are sound.
	SettleTime = 150 * time.Millisecond
	// otherEndsTime is how long the end of a server shows that servers end for other reasons than
	// a request that was not there, and maxEnds bounds the ends that are remembered.
	otherEndsTime = 10 * time.Second
	maxEnds       = 64
	// windowTime is how long a node may try a subject that is suspected of many ends, and
	// windowInterval the mean time between two such windows over all nodes.
	windowTime     = 30 * time.Millisecond
	windowInterval = 200 * time.Millisecond
	// retention is how long a subject is remembered after its last strike, and a refusal
	// after the last request that was refused.
	retention = 10 * time.Minute
	// maxRefusalTime bounds a refusal while such requests still come.
	maxRefusalTime = time.Hour
	// maxSubjects bounds the subjects that are remembered; those whose retention ends
	// first are dropped first.
	maxSubjects = 8192
	// maxServers bounds the strikes that are remembered for a subject.
	maxServers = 32
	// maxRefusals bounds the refusals, and maxRefusalSubjects the subjects of one.
	maxRefusals        = 32
	maxRefusalSubjects = 8
	// evictionSample is the number of subjects among which the one to forget is chosen.
	evictionSample = 64
	// pruneInterval is the least time between two searches for what is to be forgotten.
	pruneInterval = time.Second
)

// strike is a strike of one subject.
type strike struct {
	process  Process
	at       time.Time
	isStrong bool
}

// entry holds the strikes of a subject since it was last found sound.
type entry struct {
	strikes []strike
	until   time.Time
	// progressAt is when a response to a request with the subject had last gone on for a while, and
	// completeAt when one was last complete; they may be zero.
	progressAt, completeAt time.Time
	// eligibleAt is since when a part has had enough strikes to be refused, or zero.
	eligibleAt time.Time
}

// has reports whether the entry has a strike of the process.
func (e *entry) has(p Process) bool {
	return slices.ContainsFunc(e.strikes, func(s strike) bool { return s.process == p })
}

// strong counts the strong strikes.
func (e *entry) strong() int {
	n := 0
	for _, s := range e.strikes {
		if s.isStrong {
			n++
		}
	}
	return n
}

// servers returns the servers of the strikes, sorted.
func (e *entry) servers() []ring.VM {
	var out []ring.VM
	for _, s := range e.strikes {
		out = append(out, s.process.Server)
	}
	slices.Sort(out)
	return out
}

// evidence is the state of a Registry. Its methods are the decisions, without a lock or
// a clock.
type evidence struct {
	entries map[Digest]*entry
	// parts are the entries of parts with at least isolatedStrikes strikes.
	parts    map[Digest]*entry
	refusals []*Refusal
	// ends are the last processes that have ended, each with the time of its first strike.
	ends []strike
	// soundAt is when the last response to any request was complete or had gone on for a while.
	soundAt  time.Time
	prunedAt time.Time
	// lastUntil is when the last of the entries and refusals is forgotten.
	lastUntil time.Time
	// isChanged is set if there are strikes that decide has not seen, and decideAt is when it
	// must be called in any case, or zero.
	isChanged bool
	decideAt  time.Time
	// awaitsSound is set if parts have enough strikes, and are refused if a response to any request
	// is complete or goes on.
	awaitsSound bool
	// decisions counts the changes of refusals.
	decisions int
}

// entryOf returns the entry of a subject, which it adds if there is none.
func (v *evidence) entryOf(d Digest, now time.Time) *entry {
	e, known := v.entries[d]
	if known {
		return e
	}
	if v.entries == nil {
		v.entries, v.parts = map[Digest]*entry{}, map[Digest]*entry{}
	}
	v.makeRoom()
	e = &entry{until: now.Add(retention)}
	v.entries[d] = e
	v.extend(e.until)
	return e
}

// extend moves the time at which everything is forgotten.
func (v *evidence) extend(until time.Time) {
	if until.After(v.lastUntil) {
		v.lastUntil = until
	}
}

// add records a strike and reports whether it was new or has become strong.
func (v *evidence) add(s Strike, now time.Time) bool {
	v.prune(now)
	e, p := v.entryOf(s.Subject, now), s.Process()
	v.addEnd(p, now)
	if i := slices.IndexFunc(e.strikes, func(s strike) bool { return s.process == p }); i >= 0 {
		if e.strikes[i].isStrong || !s.IsStrong {
			return false
		}
		e.strikes[i].isStrong = true
	} else {
		if len(e.strikes) >= maxServers {
			return false
		}
		e.strikes = append(e.strikes, strike{process: p, at: now, isStrong: s.IsStrong})
	}
	e.until = now.Add(retention)
	v.extend(e.until)
	if s.Subject.IsPart() && len(e.strikes) >= isolatedStrikes {
		v.parts[s.Subject] = e
		v.isChanged = true
	}
	return true
}

// addEnd remembers the end of a process.
func (v *evidence) addEnd(p Process, now time.Time) {
	if slices.ContainsFunc(v.ends, func(s strike) bool { return s.process == p }) {
		return
	}
	if len(v.ends) == maxEnds {
		v.ends = slices.Delete(v.ends, 0, 1)
	}
	v.ends = append(v.ends, strike{process: p, at: now})
}

// acquit records that a response to a request with the subject was complete, which drops its
// strikes, or has gone on for a while, after which they are weak. The refusals that this contradicts
// do not name the subject any more. acquit returns false if the subject was hardly suspected,
// so that the other nodes need not know.
func (v *evidence) acquit(d Digest, isComplete bool, now time.Time) bool {
	v.soundAt = now
	v.isChanged = v.isChanged || v.awaitsSound
	isNamed := slices.ContainsFunc(v.refusals, func(r *Refusal) bool { return slices.Contains(r.Subjects, d) && (isComplete || !r.IsLate) })
	e, known := v.entries[d]
	isSuspected := isNamed || known && (e.strong() >= isolatedStrikes || isComplete && len(e.strikes) >= isolatedStrikes)
	if !isSuspected && (!isComplete || !known || len(e.strikes) == 0) {
		return false
	}
	e = v.entryOf(d, now)
	e.progressAt, e.eligibleAt, e.until = now, time.Time{}, now.Add(retention)
	v.extend(e.until)
	for i := range e.strikes {
		e.strikes[i].isStrong = false
	}
	if isComplete {
		e.strikes, e.completeAt = nil, now
		delete(v.parts, d)
	}
	v.isChanged = true
	if isNamed {
		v.dropSubject(d, isComplete)
	}
	return isSuspected
}

// dropSubject takes a subject out of the refusals that acquit contradicts.
func (v *evidence) dropSubject(d Digest, isComplete bool) {
	for _, r := range v.refusals {
		if r.IsLate && !isComplete {
			continue
		}
		r.Subjects = slices.DeleteFunc(r.Subjects, func(s Digest) bool { return s == d })
	}
	v.refusals = slices.DeleteFunc(v.refusals, func(r *Refusal) bool { return len(r.Subjects) == 0 })
	v.decisions++
}

// isExplained reports whether a refusal accounts for the end of a process. With byPart, only
// those of parts do.
func (v *evidence) isExplained(p Process, byPart bool) bool {
	return slices.ContainsFunc(v.refusals, func(r *Refusal) bool {
		return slices.ContainsFunc(r.Subjects, func(d Digest) bool {
			e, known := v.entries[d]
			return known && (d.IsPart() || !byPart) && e.has(p)
		})
	})
}

// unexplained returns the strikes of a subject for which no refusal accounts. The refusal of
// a request does not account for those of a part, because it may have been wrong.
func (v *evidence) unexplained(d Digest, e *entry) []strike {
	if len(v.refusals) == 0 {
		return e.strikes
	}
	var out []strike
	for _, s := range e.strikes {
		if !v.isExplained(s.process, d.IsPart()) {
			out = append(out, s)
		}
	}
	return out
}

// causes counts strikes, in the order of their times, where those within sameCauseTime count as
// one.
func causes(strikes []strike) int {
	n := 0
	var last time.Time
	for _, s := range strikes {
		if last.IsZero() || s.at.Sub(last) >= sameCauseTime {
			n++
			last = s.at
		}
	}
	return n
}

// decide refuses parts that have had enough strikes for SettleTime. It must be called
// again at decideAt.
func (v *evidence) decide(now time.Time) {
	if !v.isChanged && (v.decideAt.IsZero() || now.Before(v.decideAt)) {
		return
	}
	v.isChanged, v.awaitsSound, v.decideAt = false, false, time.Time{}
	v.narrow(now)
	for _, isLate := range []bool{false, true} {
		c := v.findCandidates(isLate, now)
		if len(c.subjects) == 0 {
			continue
		}
		settledAt := c.eligibleAt.Add(SettleTime)
		if now.Before(settledAt) {
			v.decideAt = settledAt
			return
		}
		if len(c.subjects) > maxRefusalSubjects {
			return // Further strikes and responses tell them apart.
		}
		if !v.soundAt.After(c.eligibleAt) && c.causes < maxBlindStrikes {
			v.awaitsSound = true
			return
		}
		v.refuse(&Refusal{Subjects: c.subjects, Since: c.since, DecidedAt: now, Until: now.Add(retention), IsLate: isLate})
		v.isChanged = true // The strikes that are left may suffice for another refusal.
		return
	}
}

// candidates are the parts that have enough strikes to be refused. causes are those of the one
// with the most, and eligibleAt is since when it has had enough. since is the time of the
// first strike of any.
type candidates struct {
	subjects          []Digest
	causes            int
	eligibleAt, since time.Time
}

// findCandidates returns the parts that have enough strikes to be refused. Only strong strikes
// count unless isLate is set.
func (v *evidence) findCandidates(isLate bool, now time.Time) candidates {
	var out candidates
	for d, e := range v.parts {
		strikes := v.unexplained(d, e)
		if !isLate {
			strikes = slices.DeleteFunc(slices.Clone(strikes), func(s strike) bool { return !s.isStrong })
		}
		n := causes(strikes)
		isEnough := n >= maxPartStrikes || !isLate && n >= maxStrongPartStrikes
		if !isEnough || n < v.leastCauses(e, now) {
			if isLate {
				e.eligibleAt = time.Time{} // It is not eligible by strong strikes either.
			}
			continue
		}
		if e.eligibleAt.IsZero() {
			e.eligibleAt = now
		}
		out.subjects = append(out.subjects, d)
		if n > out.causes || (n == out.causes && e.eligibleAt.Before(out.eligibleAt)) {
			out.causes, out.eligibleAt = n, e.eligibleAt
		}
		if out.since.IsZero() || strikes[0].at.Before(out.since) {
			out.since = strikes[0].at
		}
	}
	return out
}

// leastCauses returns how often servers must end under a part for it to be refused, while
// others end at which it was not: the more of these, the more likely it was there by chance.
func (v *evidence) leastCauses(e *entry, now time.Time) int {
	var others []strike
	for _, s := range v.ends {
		if now.Sub(s.at) < otherEndsTime && !e.has(s.process) && !v.isExplained(s.process, true) {
			others = append(others, s)
		}
	}
	return 2 + (causes(others)+2)/3
}

// narrow takes those subjects out of refusals that have had fewer strikes than others since the
// decision, by more than one, which may have been lost or have had another cause.
func (v *evidence) narrow(now time.Time) {
	for _, r := range v.refusals {
		strikes := map[Digest]int{}
		most := 0
		for _, d := range r.Subjects {
			e, known := v.entries[d]
			if !known {
				continue
			}
			for _, s := range e.strikes {
				if s.at.After(r.DecidedAt) {
					strikes[d]++
				}
			}
			most = max(most, strikes[d])
		}
		left := slices.DeleteFunc(slices.Clone(r.Subjects), func(d Digest) bool { return strikes[d] < most-1 })
		if len(left) < len(r.Subjects) {
			r.Subjects, r.DecidedAt, r.IsAdopted = left, now, false
			v.decisions++
		}
	}
}

// refuse adds a refusal. It replaces those that name others besides the same subjects, and is
// left out, and refuse returns false, if there is one that names no others.
func (v *evidence) refuse(r *Refusal) bool {
	slices.Sort(r.Subjects)
	for _, d := range r.Subjects {
		if e, known := v.entries[d]; known {
			r.Servers = append(r.Servers, e.servers()...)
		}
	}
	slices.Sort(r.Servers)
	r.Servers = slices.Compact(r.Servers)
	for _, other := range v.refusals {
		if slices.Equal(other.Subjects, r.Subjects) && r.Until.After(other.Until) {
			other.Until = r.Until
			v.extend(r.Until)
		}
		if other.Covers(r.Subjects) {
			return false
		}
	}
	v.refusals = slices.DeleteFunc(v.refusals, func(other *Refusal) bool { return r.Covers(other.Subjects) })
	if len(v.refusals) >= maxRefusals {
		v.refusals = slices.Delete(v.refusals, 0, 1)
	}
	v.refusals = append(v.refusals, r)
	v.extend(r.Until)
	v.decisions++
	v.liftExplained()
	return true
}

// liftExplained ends the refusals of requests that were only at servers which ended under
// refused parts.
func (v *evidence) liftExplained() {
	v.refusals = slices.DeleteFunc(v.refusals, func(r *Refusal) bool {
		d := r.Subjects[0]
		e, known := v.entries[d]
		if d.IsPart() || !known || len(e.strikes) == 0 {
			return false
		}
		return !slices.ContainsFunc(e.strikes, func(s strike) bool { return !v.isExplained(s.process, true) })
	})
}

// judge says what may be done with a request, of which the first subject is the request
// itself.
func (v *evidence) judge(subjects []Digest, now time.Time) Judgement {
	v.decide(now)
	var out Judgement
	for _, r := range v.refusals {
		if !now.Before(r.Until) {
			continue
		}
		if r.Covers(subjects) {
			r.Until = v.extendRefusal(r, now)
			return Judgement{Refusal: r.clone()}
		}
		if some := r.overlap(subjects); len(some) > 0 && len(out.Trial) == 0 {
			out.Trial, out.IsIsolated, out.IsRare = some, true, true
		}
	}
	if len(subjects) > 0 && v.mustRefuse(subjects, now) {
		refusal := Refusal{Subjects: subjects[:1:1], Since: v.entries[subjects[0]].strikes[0].at, DecidedAt: now, Until: now.Add(retention)}
		stored := refusal
		v.refuse(&stored)
		refusal.Servers = stored.Servers
		return Judgement{Refusal: &refusal}
	}
	for _, d := range subjects {
		e, known := v.entries[d]
		if !known {
			continue
		}
		own := entry{strikes: v.unexplained(d, e)}
		strong := own.strong()
		out.IsIsolated = out.IsIsolated || strong >= isolatedStrikes
		out.IsRare = out.IsRare || strong >= maxStrongPartStrikes
	}
	return out
}

// extendRefusal returns until when a refusal holds that has just met a request.
func (v *evidence) extendRefusal(r *Refusal, now time.Time) time.Time {
	until, last := now.Add(retention), r.DecidedAt.Add(maxRefusalTime)
	if until.After(last) {
		until = last
	}
	v.extend(until)
	return until
}

// mustRefuse reports whether a request has had enough strikes of its own: those that no
// refusal of another subject accounts for. Few suffice only if nothing else was at all of these
// servers, and the fewest only if no other server has ended lately.
func (v *evidence) mustRefuse(subjects []Digest, now time.Time) bool {
	e, known := v.entries[subjects[0]]
	if !known || !now.Before(e.until) {
		return false
	}
	own := entry{strikes: v.unexplained(subjects[0], e)}
	switch {
	case len(own.strikes) > maxStrikes:
		return true
	case len(own.strikes) == maxStrikes:
		return !v.hasRival(subjects, &own)
	}
	return own.strong() >= maxStrongStrikes && !v.hasOtherEnds(e, now) && !v.hasRival(subjects, &own)
}

// hasOtherEnds reports whether a server has ended lately at which the subject was not.
func (v *evidence) hasOtherEnds(e *entry, now time.Time) bool {
	return slices.ContainsFunc(v.ends, func(s strike) bool { return now.Sub(s.at) < otherEndsTime && !e.has(s.process) })
}

// hasRival reports whether something besides the subjects was at all servers that the strikes name.
func (v *evidence) hasRival(subjects []Digest, own *entry) bool {
	for d, rival := range v.entries {
		isAtAll := !slices.ContainsFunc(own.strikes, func(s strike) bool { return !rival.has(s.process) })
		if isAtAll && !slices.Contains(subjects, d) {
			return true
		}
	}
	return false
}

// prune forgets what is past its retention.
func (v *evidence) prune(now time.Time) {
	if now.Before(v.prunedAt.Add(pruneInterval)) {
		return
	}
	v.prunedAt = now
	for d, e := range v.entries {
		if !now.Before(e.until) {
			v.drop(d)
		}
	}
	before := len(v.refusals)
	v.refusals = slices.DeleteFunc(v.refusals, func(r *Refusal) bool { return !now.Before(r.Until) })
	v.decisions += before - len(v.refusals)
}

// drop forgets the strikes of a subject.
func (v *evidence) drop(d Digest) {
	delete(v.entries, d)
	delete(v.parts, d)
}

// makeRoom forgets a subject if maxSubjects are remembered: of some, the one with the fewest
// strikes, or the one whose retention ends first.
func (v *evidence) makeRoom() {
	if len(v.entries) < maxSubjects {
		return
	}
	var worst Digest
	var least *entry
	seen := 0
	for d, e := range v.entries {
		if least == nil || cmp.Or(cmp.Compare(len(e.strikes), len(least.strikes)), e.until.Compare(least.until)) < 0 {
			worst, least = d, e
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	v.drop(worst)
}
