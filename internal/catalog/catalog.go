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

// maxHistory is how many applies the history keeps.
const maxHistory = 64

// readBackAttempts and readBackPause bound the reads by which resolveOutcome
// determines the outcome of an apply whose response was lost.
const (
	readBackAttempts = 5
	readBackPause    = 300 * time.Millisecond
)

// Accepted is the stored form of the accepted configuration.
type Accepted struct {
	// Number increases by one with each apply.
	Number int64 `json:"number"`
	// Nonce identifies the apply that wrote the configuration.
	Nonce string `json:"nonce"`
	// Operator is the name of the operator who applied it.
	Operator  string    `json:"operator"`
	AppliedAt time.Time `json:"at"`
	Document  string    `json:"document"`
}

// HistoryEntry is one apply in the history.
type HistoryEntry struct {
	Number    int64     `json:"number"`
	Nonce     string    `json:"nonce"`
	Operator  string    `json:"operator"`
	AppliedAt time.Time `json:"at"`
	Changes   []string  `json:"changes"`
}

// Outcome is how an apply ended.
type Outcome string

// The outcomes of an apply.
const (
	OutcomeAccepted  Outcome = "accepted"
	OutcomeConflict  Outcome = "conflict"
	OutcomeUnchanged Outcome = "unchanged"
	OutcomeUnknown   Outcome = "unknown"
)

// Request is a request to apply a document. Base is the number of the
// configuration that the document was derived from.
type Request struct {
	Document []byte
	Base     int64
	Nonce    string
	Operator string
	At       time.Time
}

// Result tells how an apply ended. For a conflict, Number is that of the
// accepted configuration, and Changes lists the other operators' changes since the base
// that the history still has; otherwise Changes lists what the apply changed.
type Result struct {
	Outcome Outcome
	Number  int64
	Changes []string
}

// DecodeAccepted decodes the stored form of a configuration.
func DecodeAccepted(value []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(value, &a); err != nil {
		return a, fmt.Errorf("stored configuration: %w", err)
	}
	return a, nil
}

// ReadAccepted returns the accepted configuration and the revision of its key. The
// number is 0 if there is no accepted configuration.
func ReadAccepted(ctx context.Context, s ring.Store) (Accepted, ring.Revision, error) {
	e, ok, err := s.Get(ctx, ConfigurationKey)
	if err != nil || !ok {
		return Accepted{}, 0, err
	}
	a, err := DecodeAccepted(e.Value)
	return a, e.Modified, err
}

// Apply accepts a valid document if the base is still the accepted configuration.
// It never applies twice: if the response to the write is lost, it only reads.
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
			return nil, fmt.Errorf("accepted configuration %d: %w", current.Number, err)
		}
		before = c.Document()
	}
	var out []string
	for _, d := range deployment.Diff(before, next.Document()) {
		out = append(out, d.String())
	}
	return out, nil
}

func newApplyTxn(r Request, next *deployment.Configuration, changes []string, revision ring.Revision) (ring.Txn, error) {
	var text bytes.Buffer
	if err := next.Document().Print(&text); err != nil {
		return ring.Txn{}, err
	}
	number := r.Base + 1
	accepted, err := json.Marshal(Accepted{number, r.Nonce, r.Operator, r.At, text.String()})
	if err != nil {
		return ring.Txn{}, fmt.Errorf("apply: %w", err)
	}
	entry, err := json.Marshal(HistoryEntry{number, r.Nonce, r.Operator, r.At, changes})
	if err != nil {
		return ring.Txn{}, fmt.Errorf("apply: %w", err)
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

// resolveOutcome reads the history to determine whether an apply whose response
// was lost took effect. Only a history entry with its nonce proves that it did;
// another nonce under its number proves that it did not and never will.
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
			return Result{}, fmt.Errorf("history entry %d: %w", r.Base+1, err)
		}
		if entry.Nonce == r.Nonce {
			return Result{Outcome: OutcomeAccepted, Number: r.Base + 1, Changes: changes}, nil
		}
		return conflictResult(ctx, s, r.Base, entry.Number)
	}
	return Result{Outcome: OutcomeUnknown, Number: r.Base}, nil
}

// conflictResult returns the result of an apply whose base is not the accepted
// configuration.
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

// History returns the applies that the store keeps, oldest first.
func History(ctx context.Context, s ring.Store) ([]HistoryEntry, error) {
	entries, _, err := s.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]HistoryEntry, 0, len(entries))
	for _, e := range entries {
		var entry HistoryEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			return nil, fmt.Errorf("history entry %s: %w", e.Key, err)
		}
		out = append(out, entry)
	}
	return out, nil
}

func historyKey(number int64) string {
	return fmt.Sprintf("%s%012d", HistoryPrefix, max(number, 0))
}
