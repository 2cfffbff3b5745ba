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
	maxPartStrikes       = 5
	maxStrongPartStrikes = 3
	// maxBlindStrikes is that of a part while no response to any request is complete or goes on,
	// so that nothing shows which parts are sound.
	maxBlindStrikes = 5
	// isolatedStrikes is the number of strong strikes from which requests are isolated.
	isolatedStrikes = 2
	// sameCauseTime is the time within which ends of servers count as one against a part: a
	// rack that goes dark ends many at once.
	sameCauseTime = 50 * time.Millisecond
	// SettleTime is how long a part has enough strikes before it is refused, and a request after
	// its last one. In this time complete responses at any node show which parts are sound, and
	// the strikes of others that were at the same servers arrive.
	SettleTime = 150 * time.Millisecond
	// exclusiveStrikes is how often servers must end under one of several subjects of a refusal
	// for the others to be left out. The first time may have another cause.
	exclusiveStrikes = 2
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
	}
	v.isChanged = v.isChanged || len(e.strikes) >= isolatedStrikes
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

// acquit records that a response to a request with the subject was complete, which drops
// its strikes, or has gone on for a while, after which they are weak. The refusals that this
// contradicts do not name the subject any more. acquit returns false if the subject was
// hardly suspected, so that the other nodes need not know.
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

// dropSubject ends the refusals that acquit contradicts. Those of several other subjects are decided
// again, since these may not be alike.
func (v *evidence) dropSubject(d Digest, isComplete bool) {
	v.refusals = slices.DeleteFunc(v.refusals, func(r *Refusal) bool {
		if !slices.Contains(r.Subjects, d) || r.IsLate && !isComplete {
			return false
		}
		r.Subjects = slices.DeleteFunc(r.Subjects, func(s Digest) bool { return s == d })
		return len(r.Subjects) != 1
	})
	v.decisions++
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
