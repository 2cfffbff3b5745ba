package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Registry holds the subjects that have strikes, and the refusals. It is safe for
// concurrent use. The zero value is empty and usable.
type Registry struct {
	mu sync.Mutex
	evidence
}

// IsEmpty reports whether nothing has a strike or is refused, so that no digest need be
// computed.
func (r *Registry) IsEmpty(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.lastUntil)
}

// Add records a strike. It returns the subject's record, and whether the strike was new
// or has become strong.
func (r *Registry) Add(s Strike, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.add(s, now)
	return r.record(s.Subject, r.entries[s.Subject]), isNew
}

// Judge says what may be done with a request, of which the first subject is the request
// itself and the others are the parts of its prompt.
func (r *Registry) Judge(subjects []Digest, now time.Time) Judgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judge(subjects, now)
}

// Acquit records that the response to a request with the subjects was complete, or has gone on
// for a while. It returns those that were suspected, of which the other nodes should know.
func (r *Registry) Acquit(subjects []Digest, isComplete bool, now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Digest
	for _, d := range subjects {
		if r.acquit(d, isComplete, now) {
			out = append(out, d)
		}
	}
	return out
}

// Decide makes the decisions that are due and returns the refusals, the oldest first, and a
// number that changes with them.
func (r *Registry) Decide(now time.Time) ([]Refusal, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decide(now)
	r.prune(now)
	out := make([]Refusal, 0, len(r.refusals))
	for _, refusal := range r.refusals {
		out = append(out, *refusal.clone())
	}
	return out, r.decisions
}

// Adopt adds a refusal that another node has decided, and reports whether it says more than the
// refusals that are known. Subjects that this node has found sound since are left out and
// returned.
func (r *Registry) Adopt(refusal Refusal, now time.Time) (sound []Digest, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	subjects := slices.DeleteFunc(slices.Clone(refusal.Subjects), func(d Digest) bool {
		e, known := r.entries[d]
		isSound := known && (e.completeAt.After(refusal.Since) || !refusal.IsLate && e.progressAt.After(refusal.Since))
		if isSound {
			sound = append(sound, d)
		}
		return isSound
	})
	if len(subjects) > 0 && len(subjects) <= maxRefusalSubjects && now.Before(refusal.Until) {
		refusal.Subjects, refusal.Servers, refusal.IsAdopted = subjects, nil, true
		isNew = r.refuse(&refusal)
	}
	return sound, isNew
}

// Find returns the record of a subject, which is empty if it has no strike.
func (r *Registry) Find(d Digest, now time.Time) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, known := r.entries[d]; known && now.Before(e.until) {
		return r.record(d, e)
	}
	return r.record(d, nil)
}

// List returns the records of all subjects that have strikes or that a refusal names, sorted by
// the end of their retention.
func (r *Registry) List(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prunedAt = time.Time{}
	r.prune(now)
	out := make([]Record, 0, len(r.entries))
	for d, e := range r.entries {
		if len(e.strikes) > 0 {
			out = append(out, r.record(d, e))
		}
	}
	for _, refusal := range r.refusals {
		for _, d := range refusal.Subjects {
			if e := r.entries[d]; e == nil || len(e.strikes) == 0 {
				out = append(out, r.record(d, e))
			}
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Subject, b.Subject)) })
	return out
}

// Clear forgets all strikes and refusals. It returns the subjects that were refused, which
// other nodes would refuse on unless they are told that these are sound.
func (r *Registry) Clear(now time.Time) []Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Digest
	for _, refusal := range r.refusals {
		out = append(out, refusal.Subjects...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	r.evidence = evidence{decisions: r.decisions + 1}
	for _, d := range out {
		e := r.entryOf(d, now)
		e.progressAt, e.completeAt = now, now
	}
	return out
}

// record returns the record of a subject, whose entry may be nil; mu is held.
func (r *Registry) record(d Digest, e *entry) Record {
	out := Record{Subject: d}
	if e != nil {
		out.Until, out.Servers, out.Strong = e.until, e.servers(), e.strong()
	}
	for _, refusal := range r.refusals {
		if !slices.Contains(refusal.Subjects, d) {
			continue
		}
		if len(refusal.Subjects) > 1 {
			out.With = slices.DeleteFunc(slices.Clone(refusal.Subjects), func(other Digest) bool { return other == d })
		} else {
			out.isNamed = true
			if out.Servers == nil {
				out.Servers = refusal.Servers
			}
			if refusal.Until.After(out.Until) {
				out.Until = refusal.Until
			}
		}
	}
	return out
}
