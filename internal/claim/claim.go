// Package claim makes non-idempotent requests run at most once. The judgement
// is a pure function of the stored record; Ledger does the I/O around it.
//
// Terms:
//
//   - Claim: the record of a key, written before the request is dispatched.
//   - Writer: the node, its incarnation and a number of the attempt; it names
//     who may dispatch.
//   - Fingerprint: the hash of what the request asks for.
//   - Settled: a claim with an answer, or with an outcome that is unknown.
//
// Invariants: only the writer of a claim dispatches, and only once; a claim is
// never taken over; a claim is deleted only by its writer and only while
// nothing was dispatched under it; a settled claim never changes.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
)

// State is how far a claim has come.
type State string

// The states of a claim.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateUnknown State = "unknown"
)

// Record is the stored claim.
type Record struct {
	Writer      string `json:"writer"`
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// RunUntil is when the request has ended in any case; a claim without an
	// answer after it has an unknown outcome.
	RunUntil time.Time `json:"until"`
	Response *Response `json:"answer,omitempty"`
}

// Response is the recorded answer of a request that ran. A body over MaxBody is
// not kept, and Kept is false.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body,omitempty"`
	BodyStored  bool   `json:"kept"`
}

// MaxBody is the largest answer body that is recorded, in bytes. The store
// holds values up to a megabyte, and the body is encoded in base64.
const MaxBody = 640 << 10

// Identity names a request.
type Identity struct {
	Workspace ring.Workspace
	Key       string
}

// StoreKey returns the key of the claim. The caller's key is hashed, because
// it may be of any length and must not appear in the store's listings.
func (i Identity) StoreKey() string {
	sum := sha256.Sum256([]byte(i.Key))
	return catalog.ClaimPrefix + string(i.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint hashes what a request asks for.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verdict says what to do with a request after its claim was looked at.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the claim is this writer's; dispatch.
	VerdictRun Verdict = iota
	// VerdictReplay: the request ran; give the recorded answer.
	VerdictReplay
	// VerdictNotStored: the request ran; its answer was too large to record.
	VerdictNotStored
	// VerdictInProgress: another writer may be running the request.
	VerdictInProgress
	// VerdictOutcomeUnknown: the request may have run; nobody can tell.
	VerdictOutcomeUnknown
	// VerdictKeyReused: the key belongs to a different request.
	VerdictKeyReused
)

// Evaluate decides by the stored claim of a key.
func Evaluate(stored Record, writer, fingerprint string, now time.Time) Verdict {
	if stored.Fingerprint != fingerprint {
		return VerdictKeyReused
	}
	switch stored.State {
	case StateDone:
		if stored.Response == nil || !stored.Response.BodyStored {
			return VerdictNotStored
		}
		return VerdictReplay
	case StateUnknown:
		return VerdictOutcomeUnknown
	}
	if stored.Writer == writer {
		return VerdictRun
	}
	if now.Before(stored.RunUntil) {
		return VerdictInProgress
	}
	return VerdictOutcomeUnknown
}
