package suspect

import (
	"slices"
	"time"
)

// revise lifts the refusals of requests that later ends contradict: a server has ended since
// under another request, which was at all servers that the refusal accounts for, too. That one
// explains more.
func (v *evidence) revise(now time.Time) {
	v.refusals = slices.DeleteFunc(v.refusals, func(r *Refusal) bool {
		d := r.Subjects[0]
		e, known := v.entries[d]
		if len(r.Subjects) > 1 || d.IsPart() || !known || len(e.strikes) == 0 || !v.hasBetterExplanation(d, e, r.DecidedAt) {
			return false
		}
		// It counts as sound, so that it is not adopted again from nodes that know less.
		e.strikes, e.progressAt, e.completeAt = nil, now, now
		v.decisions++
		return true
	})
}

// hasBetterExplanation reports whether another request was at all servers that ended under a
// subject, and at one that ended later without the subject.
func (v *evidence) hasBetterExplanation(d Digest, e *entry, after time.Time) bool {
	for other, rival := range v.entries {
		if other == d || other.IsPart() || len(rival.strikes) <= len(e.strikes) {
			continue
		}
		isAtAll := !slices.ContainsFunc(e.strikes, func(s strike) bool { return !rival.has(s.process) })
		endsLater := slices.ContainsFunc(rival.strikes, func(s strike) bool { return s.at.After(after) && s.isStrong && !e.has(s.process) })
		if isAtAll && endsLater {
			return true
		}
	}
	return false
}

// narrow leaves in a refusal of several subjects those under which servers have ended since the
// decision, exclusiveStrikes times, while others of them were not there.
func (v *evidence) narrow(now time.Time) {
	for _, r := range v.refusals {
		if subjects := v.endedUnder(r); len(subjects) > 0 {
			r.Subjects, r.DecidedAt, r.IsAdopted = subjects, now, false
			v.decisions++
		}
	}
}

// endedUnder returns the subjects of a refusal that were at exclusiveStrikes servers which ended
// since the decision and at which not all of them were, or none.
func (v *evidence) endedUnder(r *Refusal) []Digest {
	if len(r.Subjects) == 1 {
		return nil
	}
	var partial [][]Digest
	for _, end := range v.ends {
		if !end.at.After(r.DecidedAt) {
			continue
		}
		present := v.presentAt(r, end.process)
		if len(present) > 0 && len(present) < len(r.Subjects) {
			partial = append(partial, present)
		}
	}
	for i, first := range partial {
		common, count := first, 1
		for _, next := range partial[i+1:] {
			both := slices.DeleteFunc(slices.Clone(common), func(d Digest) bool { return !slices.Contains(next, d) })
			if len(both) == 0 {
				continue
			}
			common = both
			if count++; count == exclusiveStrikes {
				return common
			}
		}
	}
	return nil
}

// presentAt returns the subjects of a refusal that were at a process when it ended.
func (v *evidence) presentAt(r *Refusal, p Process) []Digest {
	var out []Digest
	for _, d := range r.Subjects {
		if e, known := v.entries[d]; known && e.has(p) {
			out = append(out, d)
		}
	}
	return out
}
