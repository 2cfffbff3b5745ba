// Package claim makes non-idempotent requests run at most once. Evaluate decides
// from a stored claim whether a request may run; Ledger reads and writes claims.
//
// Terms:
//
//   - Claim: the record of an idempotency key, written before the request is
//     dispatched.
//   - Writer: identifies who may dispatch the request: the node, its incarnation
//     and a number that is unique to the claim.
//   - Fingerprint: the hash of the request's method, path and body.
//   - Settled: a claim for which a response or an unknown outcome is recorded. The
//     write that does so is a settlement.
//
// Invariants: only the writer of a claim dispatches the request, and only once;
// no other writer takes a claim over; only its writer deletes a claim, and only if
// the request was not dispatched; a settled claim never changes; a recorded response
// that no server can have sent is not replayed, its outcome is unknown.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
)

// State says whether the outcome of a claimed request, a non-idempotent request with
// a stored record, is known.
type State string

// The states of a claim. A new claim is claimed. It becomes done when the response is
// recorded, or unknown when it is recorded that the request may have run.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateUnknown State = "unknown"
)

// Record is the value of a claim in the store. It says who may run the request with
// one idempotency key and, if known, the request's outcome.
type Record struct {
	Writer      string `json:"writer"`
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// RunUntil is the time by which the request has certainly ended. After it, the
	// outcome of a claim without a response is unknown.
	RunUntil time.Time `json:"until"`
	Response *Response `json:"answer,omitempty"`
}

// Response is the recorded response to a request that ran. Status is its HTTP status.
// A body larger than MaxBody is not stored, and BodyStored is false.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body,omitempty"`
	BodyStored  bool   `json:"kept"`
}

// isValid reports whether a server can have sent the response: it has a final status and a
// content type that a header may hold. Another writer may have recorded something else.
func (r *Response) isValid() bool {
	return r != nil && r.Status >= http.StatusOK && r.Status <= maxStatus && httpguts.ValidHeaderFieldValue(r.ContentType)
}

// maxStatus is the largest HTTP status.
const maxStatus = 999

// MaxBody is the largest response body that is stored, in bytes. The store accepts
// values of up to a megabyte, and the body is encoded in base64.
const MaxBody = 640 << 10

// Identity identifies a request by its workspace and the caller's idempotency key.
type Identity struct {
	Workspace ring.Workspace
	Key       string
}

// StoreKey returns the key under which the request's claim is stored. The caller's
// idempotency key is hashed, because it may have any length and must not appear in
// listings of the store.
func (i Identity) StoreKey() string {
	sum := sha256.Sum256([]byte(i.Key))
	return catalog.ClaimPrefix + string(i.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a hash of the request. It is compared to detect that an
// idempotency key is reused for a different request.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verdict says how to answer a request whose idempotency key has a claim in the
// store.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the claim is this writer's; dispatch the request.
	VerdictRun Verdict = iota
	// VerdictReplay: the request ran; return the stored response.
	VerdictReplay
	// VerdictNotStored: the request ran; its response was too large to store.
	VerdictNotStored
	// VerdictInProgress: another writer may be running the request.
	VerdictInProgress
	// VerdictOutcomeUnknown: the request may have run.
	VerdictOutcomeUnknown
	// VerdictKeyReused: the key was used for a different request.
	VerdictKeyReused
)

// Evaluate returns the verdict on a request that the writer wants to dispatch. stored
// is the claim of the request's idempotency key, and fingerprint is the hash of the
// new request.
func Evaluate(stored Record, writer, fingerprint string, now time.Time) Verdict {
	if stored.Fingerprint != fingerprint {
		return VerdictKeyReused
	}
	switch stored.State {
	case StateDone:
		switch {
		case !stored.Response.isValid():
			return VerdictOutcomeUnknown
		case !stored.Response.BodyStored:
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
