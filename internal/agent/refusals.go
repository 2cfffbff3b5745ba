package agent

import (
	"slices"
	"time"

	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/suspect"
)

const (
	// soundPerDatagram is the number of subjects that fit into a datagram, and
	// refusedPerDatagram that of refused ones.
	soundPerDatagram   = 100
	refusedPerDatagram = 60
	// refusalInterval is the least time between two times at which a node repeats its refusals.
	refusalInterval = 500 * time.Millisecond
)

// AnnounceSound tells the other nodes that responses to requests with suspected subjects
// were complete, or have gone on for a while.
func (a *Agent) AnnounceSound(subjects []suspect.Digest, isComplete bool) {
	for _, m := range soundMessages(subjects, isComplete) {
		a.spread(m, true)
	}
}

// soundMessages returns subjects that are sound as messages.
func soundMessages(subjects []suspect.Digest, isComplete bool) []digest.Message {
	var out []digest.Message
	for part := range slices.Chunk(subjects, soundPerDatagram) {
		m := digest.Sound{Complete: isComplete}
		for _, d := range part {
			m.Subjects = append(m.Subjects, uint64(d))
		}
		out = append(out, digest.Message{Sound: &m})
	}
	return out
}

// applySound acquits the subjects that a peer has found sound. In the tree of nodes it forwards
// those that were suspected here too.
func (a *Agent) applySound(m digest.Sound) {
	subjects := make([]suspect.Digest, 0, len(m.Subjects))
	for _, d := range m.Subjects {
		subjects = append(subjects, suspect.Digest(d))
	}
	acquitted := a.config.Suspects.Acquit(subjects, m.Complete, time.Now())
	for _, m := range soundMessages(acquitted, m.Complete) {
		a.spread(m, false)
	}
}

// AnnounceRefusals tells the other nodes the refusals in the registry of suspects.
func (a *Agent) AnnounceRefusals() {
	for _, m := range a.refusalMessages(time.Now()) {
		a.spread(m, true)
	}
}

// refusalMessages returns the refusals as messages, none if nothing is refused.
func (a *Agent) refusalMessages(now time.Time) []digest.Message {
	if a.config.Suspects.IsEmpty(now) {
		return nil
	}
	refusals, _ := a.config.Suspects.Decide(now)
	var out []digest.Message
	var current digest.Message
	size := 0
	for _, r := range refusals {
		if size += len(r.Subjects); size > refusedPerDatagram {
			out = append(out, current)
			current, size = digest.Message{}, len(r.Subjects)
		}
		current.Refusals = append(current.Refusals, refusalMessage(r, now))
	}
	if len(current.Refusals) > 0 {
		out = append(out, current)
	}
	return out
}

// refusalMessage returns a refusal in the form of a message.
func refusalMessage(r suspect.Refusal, now time.Time) digest.Refusal {
	m := digest.Refusal{SinceMillis: now.Sub(r.Since).Milliseconds(), DecidedMillis: now.Sub(r.DecidedAt).Milliseconds(), ForMillis: r.Until.Sub(now).Milliseconds(), Late: r.IsLate}
	for _, d := range r.Subjects {
		m.Subjects = append(m.Subjects, uint64(d))
	}
	return m
}

// applyRefusals adopts the refusals of a peer. In the tree of nodes it forwards those that are
// new. It tells the peer of subjects that were found sound here since.
func (a *Agent) applyRefusals(from string, refusals []digest.Refusal) {
	now := time.Now()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, m := range refusals {
		r := suspect.Refusal{Since: ago(m.SinceMillis), DecidedAt: ago(m.DecidedMillis), Until: ago(-m.ForMillis), IsLate: m.Late}
		for _, d := range m.Subjects {
			r.Subjects = append(r.Subjects, suspect.Digest(d))
		}
		sound, isNew := a.config.Suspects.Adopt(r, now)
		if isNew {
			a.spread(digest.Message{Refusals: []digest.Refusal{m}}, false)
		}
		for _, answer := range soundMessages(sound, r.IsLate) {
			a.sendLimited([]string{from}, answer)
		}
	}
}

// repeatRefusals sends the refusals to nodes, at most once every refusalInterval, and returns the
// number of bytes sent. A node that has just started, or missed a message, learns of them so.
// Only the digest loop calls it.
func (a *Agent) repeatRefusals(addresses []string, now time.Time) int {
	if now.Before(a.refusalsAt) {
		return 0
	}
	sent := 0
	for _, m := range a.refusalMessages(now) {
		a.refusalsAt = now.Add(refusalInterval)
		for _, address := range addresses {
			sent += a.send(address, m)
		}
	}
	return sent
}
