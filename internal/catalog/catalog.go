package catalog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// maxHistory is how many applied configurations the history keeps.
const maxHistory = 64

// readBackAttempts and readBackPause limit the reads by which resolveOutcome finds
// out whether a configuration was applied when the response to its write was lost.
const (
	readBackAttempts = 5
	readBackPause    = 300 * time.Millisecond
)

// Accepted is the stored form of the accepted configuration, which all nodes use.
type Accepted struct {
	// Number increases by one with each applied configuration.
	Number int64 `json:"number"`
	// Nonce identifies the request that applied the configuration.
	Nonce string `json:"nonce"`
	// Operator is the name of the operator who applied the configuration.
	Operator  string    `json:"operator"`
	AppliedAt time.Time `json:"at"`
	Document  string    `json:"document"`
}

// HistoryEntry records one applied configuration. Changes has one line for each
// change, as deployment.Difference formats it.
type HistoryEntry struct {
	Number    int64     `json:"number"`
	Nonce     string    `json:"nonce"`
	Operator  string    `json:"operator"`
	AppliedAt time.Time `json:"at"`
	Changes   []string  `json:"changes"`
}

// Outcome is the result of a request to apply a configuration.
type Outcome string

// The outcomes of a request to apply. OutcomeConflict means that another
// configuration was accepted since the base. OutcomeUnknown means that the response
// to the write was lost and the history does not show whether the configuration was
// applied.
const (
	OutcomeAccepted  Outcome = "accepted"
	OutcomeConflict  Outcome = "conflict"
	OutcomeUnchanged Outcome = "unchanged"
	OutcomeUnknown   Outcome = "unknown"
)

// Request is a request to apply a document. Base is the number of the
// configuration that the document was derived from, Nonce is unique to the request,
// and Operator and At are recorded with the configuration.
type Request struct {
	Document []byte
	Base     int64
	Nonce    string
	Operator string
	At       time.Time
}

// Result is the result of Apply. For a conflict, Number is that of the accepted
// configuration, and Changes lists what other operators changed since the request's
// base, as far as the history still has it. Otherwise Changes lists what the request
// changed.
type Result struct {
	Outcome Outcome
	Number  int64
	Changes []string
}

// DecodeAccepted decodes the value of ConfigurationKey.
func DecodeAccepted(value []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(value, &a); err != nil {
		return a, fmt.Errorf("decode stored configuration: %w", err)
	}
	return a, nil
}

// ReadAccepted reads the accepted configuration and the revision of its key from the
// store. If none has been accepted, the configuration's number is 0.
func ReadAccepted(ctx context.Context, s ring.Store) (Accepted, ring.Revision, error) {
	e, ok, err := s.Get(ctx, ConfigurationKey)
	if err != nil || !ok {
		return Accepted{}, 0, err
	}
	a, err := DecodeAccepted(e.Value)
	return a, e.Modified, err
}

// Apply makes a valid document the accepted configuration, provided that the
// request's base is still the accepted one. It never writes twice: if the response to
// the write is lost, it only reads the store to find the outcome.
func Apply(ctx context.Context, s ring.Store, r Request) (Result, error) {
	next, err := deployment.Parse(r.Document)
	if err != nil {
		return Result{}, err
	}
	current, revision, err := ReadAccepted(ctx, s)
	if err != nil {
		return Result{}, err
	}
	if current.Number != r.Base {
		return conflictResult(ctx, s, r.Base, current.Number)
	}
	changes, err := changesFrom(current, next)
	if err != nil {
		return Result{}, err
	}
	if current.Number > 0 && len(changes) == 0 {
		return Result{Outcome: OutcomeUnchanged, Number: current.Number}, nil
	}
	txn, err := newApplyTxn(r, next, changes, revision)
	if err != nil {
		return Result{}, err
	}
	committed, err := s.Commit(ctx, txn)
	if errors.Is(err, ring.ErrOutcomeUnknown) {
		return resolveOutcome(ctx, s, r, changes)
	}
	if err != nil {
		return Result{}, err
	}
	if !committed.Succeeded {
		current, _, err = ReadAccepted(ctx, s)
		if err != nil {
			return Result{}, err
		}
		return conflictResult(ctx, s, r.Base, current.Number)
	}
	return Result{Outcome: OutcomeAccepted, Number: r.Base + 1, Changes: changes}, nil
}

// changesFrom lists the changes from the accepted configuration to next.
func changesFrom(current Accepted, next *deployment.Configuration) ([]string, error) {
	var before deployment.Document
	if current.Number > 0 {
		c, err := deployment.Parse([]byte(current.Document))
		if err != nil {
			return nil, fmt.Errorf("parse accepted configuration %d: %w", current.Number, err)
		}
		before = c.Document()
	}
	var out []string
	for _, d := range deployment.Diff(before, next.Document()) {
		out = append(out, d.String())
	}
	return out, nil
}

// newApplyTxn returns the transaction that stores the document and its history entry
// and deletes the history entry that exceeds maxHistory. Its guard requires that the
// configuration key is still at revision.
func newApplyTxn(r Request, next *deployment.Configuration, changes []string, revision ring.Revision) (ring.Txn, error) {
	var text bytes.Buffer
	if err := next.Document().Print(&text); err != nil {
		return ring.Txn{}, err
	}
	number := r.Base + 1
	accepted, err := json.Marshal(Accepted{number, r.Nonce, r.Operator, r.At, text.String()})
	if err != nil {
		return ring.Txn{}, fmt.Errorf("encode accepted configuration: %w", err)
	}
	entry, err := json.Marshal(HistoryEntry{number, r.Nonce, r.Operator, r.At, changes})
	if err != nil {
		return ring.Txn{}, fmt.Errorf("encode history entry: %w", err)
	}
	return ring.Txn{
		Guards: []ring.Guard{ring.Unchanged(ConfigurationKey, revision)},
		Writes: []ring.Write{
			{Key: ConfigurationKey, Value: accepted},
			{Key: historyKey(number), Value: entry},
			{Key: historyKey(number - maxHistory), Delete: true},
		},
	}, nil
}

// resolveOutcome reads the history to determine whether a configuration took effect
// when the response to its write was lost. Only a history entry with the request's
// nonce proves that it did. Another nonce under the same number proves that it did
// not and never will.
func resolveOutcome(ctx context.Context, s ring.Store, r Request, changes []string) (Result, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 {
			time.Sleep(readBackPause)
		}
		e, ok, err := s.Get(ctx, historyKey(r.Base+1))
		if err != nil || !ok {
			continue
		}
		var entry HistoryEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			return Result{}, fmt.Errorf("decode history entry %d: %w", r.Base+1, err)
		}
		if entry.Nonce == r.Nonce {
			return Result{Outcome: OutcomeAccepted, Number: r.Base + 1, Changes: changes}, nil
		}
		return conflictResult(ctx, s, r.Base, entry.Number)
	}
	return Result{Outcome: OutcomeUnknown, Number: r.Base}, nil
}

// conflictResult returns the result of a request whose base is not the accepted
// configuration. It reads the changes since the base from the history.
func conflictResult(ctx context.Context, s ring.Store, base, accepted int64) (Result, error) {
	out := Result{Outcome: OutcomeConflict, Number: accepted}
	entries, err := History(ctx, s)
	if err != nil {
		return out, err
	}
	for _, e := range entries {
		if e.Number <= base {
			continue
		}
		out.Changes = append(out.Changes, fmt.Sprintf("# %d by %s", e.Number, e.Operator))
		out.Changes = append(out.Changes, e.Changes...)
	}
	return out, nil
}

// History returns the entries of the applied configurations that the store still
// keeps, oldest first.
func History(ctx context.Context, s ring.Store) ([]HistoryEntry, error) {
	entries, _, err := s.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]HistoryEntry, 0, len(entries))
	for _, e := range entries {
		var entry HistoryEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			return nil, fmt.Errorf("decode history entry %s: %w", e.Key, err)
		}
		out = append(out, entry)
	}
	return out, nil
}

// historyKey returns the key of a history entry. The number is padded with zeros,
// so that keys sort by number.
func historyKey(number int64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, max(number, 0))
}
