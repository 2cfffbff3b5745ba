// Package suspect finds out what backend servers end under, a request or a part of the
// prompts of many, so that it is not sent to one server after the other.
//
// Terms:
//
//   - Subject: what may be to blame, a request or a part of a prompt. It is known by its
//     digest, a keyed hash. A caller's repeats of a request have the same digest, whatever
//     their IDs, and all requests with a part in common have that part's digest in common.
//   - Strike: the end of a server's process while a subject was at it. A strike is strong
//     if a request with the subject had no events yet, or only for a short time: a request
//     that has run for a while is more likely a bystander.
//   - Sound: a subject with which a response was complete, or has gone on for a while, since its
//     last strike. Its strikes are dropped, or become weak, because what ends servers does so
//     each time.
//   - Refusal: a decision that requests are not sent to servers any more. It names one
//     subject, or several that the strikes do not tell apart; it holds for requests with
//     all of them. A request with only some of them is a trial, which tells them apart.
//
// Invariants:
//
//   - A process counts once for each subject.
//   - A strike that a refusal accounts for does not count against other subjects.
//   - A refusal of a request is a hypothesis: an end that another request explains along
//     with all that the refusal accounts for lifts it and gives its strikes back.
//   - Nothing of a request is kept but digests, and everything is dropped a bounded time
//     after the last strike or refused request. The number of subjects, and of strikes and
//     refusals, is bounded.
//   - Nodes with the same strikes and sound subjects decide alike.
package suspect

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	ring "eelgrassring.dev"
)

// Digest identifies a subject.
type Digest uint64

// partBit is set in the digest of a part.
const partBit Digest = 1 << 63

// NewDigest returns the digest of a request by the parts of what it asks for, keyed by a
// secret of its caller.
func NewDigest(secret string, parts ...string) Digest { return newDigest(secret, parts) &^ partBit }

// NewPartDigest returns the digest of a part of a prompt, keyed by a secret.
func NewPartDigest(secret string, parts ...string) Digest { return newDigest(secret, parts) | partBit }

// IsPart reports whether the subject is a part of a prompt.
func (d Digest) IsPart() bool { return d&partBit != 0 }

func newDigest(secret string, parts []string) Digest {
	h := hmac.New(sha256.New, []byte(secret))
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return Digest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Process identifies one start of a server.
type Process struct {
	Server      ring.VM
	Incarnation string
}

// Strike is the end of a server's process while a subject was at it. Server and
// Incarnation identify the process.
type Strike struct {
	Subject     Digest
	Server      ring.VM
	Incarnation string
	IsStrong    bool
}

// Process returns the process that has ended.
func (s Strike) Process() Process { return Process{s.Server, s.Incarnation} }

// Record is what is remembered of one subject.
type Record struct {
	Subject Digest
	// Servers are the servers that have ended under the subject, sorted.
	Servers []ring.VM
	// Strong counts the strong strikes.
	Strong int
	// Until is when the subject is forgotten.
	Until time.Time
	// With are the other subjects of a refusal that names this one: requests with all of them
	// are refused.
	With []Digest
	// isNamed is set if a refusal names the subject and no other.
	isNamed bool
}

// IsRefused reports whether requests with the subject must not be sent to another server.
func (r Record) IsRefused() bool {
	return r.isNamed || !r.Subject.IsPart() && (len(r.Servers) >= maxStrikes || r.Strong >= maxStrongStrikes)
}

// Refusal is a decision to refuse the requests that have all of the subjects. The
// subjects are sorted.
type Refusal struct {
	Subjects []Digest
	// Servers are those that ended under the subjects, sorted.
	Servers []ring.VM
	// Since is the time of the first strike that counted, DecidedAt that of the decision.
	Since     time.Time
	DecidedAt time.Time
	// Until is when the refusal ends, unless a request is refused before.
	Until time.Time
	// IsLate is set if servers ended a while after they had begun their responses. Then only a
	// complete response shows that a subject is sound.
	IsLate bool
	// IsAdopted is set if another node has decided it.
	IsAdopted bool
}

// clone returns a copy that shares nothing with the refusal.
func (r *Refusal) clone() *Refusal {
	out := *r
	out.Subjects, out.Servers = slices.Clone(r.Subjects), slices.Clone(r.Servers)
	return &out
}

// Covers reports whether the refusal holds for a request with the subjects.
func (r *Refusal) Covers(subjects []Digest) bool {
	for _, s := range r.Subjects {
		if !slices.Contains(subjects, s) {
			return false
		}
	}
	return len(r.Subjects) > 0
}

// overlap returns the subjects that the refusal names.
func (r *Refusal) overlap(subjects []Digest) []Digest {
	var out []Digest
	for _, s := range r.Subjects {
		if slices.Contains(subjects, s) {
			out = append(out, s)
		}
	}
	return out
}

// Judgement says what may be done with a request.
type Judgement struct {
	// Refusal is the refusal that holds for the request, or nil.
	Refusal *Refusal
	// Trial holds the subjects of the request that a refusal names along with others. It is empty
	// if the request is no trial. Only one request at a time should try the same subjects.
	Trial []Digest
	// IsIsolated is set if a subject of the request is suspected so much that the request
	// should go to the server to which all nodes send such requests.
	IsIsolated bool
	// IsRare is set if an isolated request may be sent only while the node's Window is open.
	IsRare bool
	// IsPending is set if the request has enough strikes to be refused, but those of others that
	// were at the same servers may still arrive. It should wait and be judged again.
	IsPending bool
}

// Window says when a node may send isolated requests that are suspected of many ends, so that
// about one node does so at a time. The windows of nodes are apart by their phases.
type Window struct {
	// Start is the start of one window. It differs from node to node.
	Start time.Time
}

// IsOpen reports whether the window is open. nodes is the number of nodes.
func (w Window) IsOpen(now time.Time, nodes int) bool {
	period := windowInterval * time.Duration(max(nodes, 1))
	return now.Sub(w.Start)%period < windowTime
}
