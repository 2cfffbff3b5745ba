package quota

import "time"

// ColdServers knows which servers are cold and take few requests; see package coldstart.
type ColdServers interface {
	// IsUnused reports whether no server is cold now.
	IsUnused(now time.Time) bool
	// Rate returns how many requests a second a server takes from all nodes together because
	// it is cold, or false if it is not.
	Rate(k Key, now time.Time) (perSecond float64, isCold bool)
	// Notice returns what the node knows of a server, or false if it knows nothing.
	Notice(k Key, now time.Time) (ColdNotice, bool)
	// Apply records what another node knows, and reports whether its answer is newer.
	Apply(n ColdNotice, now time.Time) bool
}

// ColdNotice is what a node knows of a server that may be cold.
type ColdNotice struct {
	Server Key
	// PerSecond is its rate while it is cold, and Start how long it is cold after a start.
	PerSecond float64
	Start     time.Duration
	// Sighted is how long ago a node first knew of it.
	Sighted time.Duration
	// EntryRevision is the revision of the entry by which it is cold for EntryLeft, or 0.
	EntryRevision int64
	EntryLeft     time.Duration
	// AnswerAge is how long ago it answered that it is cold, which holds for AnswerLeft, if
	// HasAnswer is set.
	HasAnswer  bool
	AnswerAge  time.Duration
	AnswerLeft time.Duration
}

// noneCold implements ColdServers: no server is ever cold.
type noneCold struct{}

func (noneCold) IsUnused(time.Time) bool                  { return true }
func (noneCold) Rate(Key, time.Time) (float64, bool)      { return 0, false }
func (noneCold) Notice(Key, time.Time) (ColdNotice, bool) { return ColdNotice{}, false }
func (noneCold) Apply(ColdNotice, time.Time) bool         { return false }
