package suspect

import (
	"slices"
	"time"
)

// isExplained reports whether a refusal accounts for the end of a process: all its subjects
// were there. With byPart, only those of parts do.
func (v *evidence) isExplained(p Process, byPart bool) bool {
	return slices.ContainsFunc(v.refusals, func(r *Refusal) bool {
		return (r.Subjects[0].IsPart() || !byPart) && len(v.presentAt(r, p)) == len(r.Subjects)
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
	v.revise(now)
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

// candidates are the parts that have enough strikes to be refused and that these do not tell apart.
// causes are those of the one with the most, and eligibleAt is since when it has had enough.
// since is the time of the first strike of any.
type candidates struct {
	subjects          []Digest
	causes            int
	eligibleAt, since time.Time
}

// findCandidates returns the part with the most strikes, if it has enough to be refused, and
// those that are not told from it. Only strong strikes count unless isLate is set.
func (v *evidence) findCandidates(isLate bool, now time.Time) candidates {
	var out candidates
	eligible := map[Digest][]strike{}
	var first []strike
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
		eligible[d] = strikes
		if n > out.causes || (n == out.causes && e.eligibleAt.Before(out.eligibleAt)) {
			out.causes, out.eligibleAt, first = n, e.eligibleAt, strikes
		}
	}
	for d, strikes := range eligible {
		if !isAlike(strikes, first) {
			continue
		}
		out.subjects = append(out.subjects, d)
		if out.since.IsZero() || strikes[0].at.Before(out.since) {
			out.since = strikes[0].at
		}
	}
	return out
}

// isAlike reports whether one of two lists of strikes contains the other, but for one strike
// that may have been lost.
func isAlike(a, b []strike) bool {
	both := 0
	for _, s := range a {
		if slices.ContainsFunc(b, func(other strike) bool { return other.process == s.process }) {
			both++
		}
	}
	return both >= min(len(a), len(b))-1
}

// leastCauses returns how often servers must end under a part for it to be refused, while
// others end at which it was not: the more of these, the more likely it was there by chance.
func (v *evidence) leastCauses(e *entry, now time.Time) int {
	others := slices.DeleteFunc(v.otherEnds(e, now), func(s strike) bool { return v.isExplained(s.process, true) })
	return 2 + (causes(others)+2)/3
}

// otherEnds returns the ends of servers, lately, at which a subject was not.
func (v *evidence) otherEnds(e *entry, now time.Time) []strike {
	var out []strike
	for _, s := range v.ends {
		if now.Sub(s.at) < otherEndsTime && !e.has(s.process) {
			out = append(out, s)
		}
	}
	return out
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
		if now.Before(v.entries[subjects[0]].lastStrikeAt().Add(SettleTime)) {
			return Judgement{IsPending: true, IsIsolated: true}
		}
		refusal := &Refusal{Subjects: []Digest{subjects[0]}, Since: v.entries[subjects[0]].strikes[0].at, DecidedAt: now, Until: now.Add(retention)}
		v.refuse(refusal)
		return Judgement{Refusal: refusal.clone()}
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

// lastStrikeAt returns the time of the last strike.
func (e *entry) lastStrikeAt() time.Time {
	last := time.Time{}
	for _, s := range e.strikes {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
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
	return own.strong() >= maxStrongStrikes && len(v.otherEnds(e, now)) == 0 && !v.hasRival(subjects, &own)
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
