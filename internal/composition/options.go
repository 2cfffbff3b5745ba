package composition

import "time"

// Options are the timeouts and thresholds of a Composer's decisions.
type Options struct {
	// OrderRetry is the time after which an order without effect is sent again.
	OrderRetry time.Duration
	// JoinSlack is the time that joining may take, in addition to the time to load
	// the model, before a forming replica is dropped.
	JoinSlack time.Duration
	// CloseTimeout is how long a head may take to finish its requests when its replica
	// is released because a member leaves.
	CloseTimeout time.Duration
	// EvacuationCloseTimeout is the same when a member's zone is evacuated. It is longer than
	// requests take.
	EvacuationCloseTimeout time.Duration
	// StallTimeout is how long a replica whose members all answer may be stalled before
	// it is released.
	StallTimeout time.Duration
	// StallInspectTime is how long the members of a stalled replica are inspected
	// before the replica is released, because nodes may report the stall late. It is
	// long enough for two inspections.
	StallInspectTime time.Duration
	// InspectInterval is the minimum time between two inspections of the same
	// server.
	InspectInterval time.Duration
	// ReinspectInterval is the time between two inspections of a listed server that
	// is considered dead or slow.
	ReinspectInterval time.Duration
	// MinSlowdown is the reported ring.Server.Slowdown from which a server counts as
	// slow.
	MinSlowdown float64
	// MaxMisses is the number of consecutive unanswered inspections after which a
	// server counts as dead.
	MaxMisses int
	// SilenceTimeout is how long a member of a replica at which requests are pinned must also
	// be silent before it counts as dead. A sound server may be silent for a second or so.
	SilenceTimeout time.Duration
	// LeaveTimeout is how long the planning of a domain waits for servers that leave a
	// replica or were not seen yet.
	LeaveTimeout time.Duration
	// SettleTime is how long the set of listed servers must be unchanged before the
	// first replicas are formed.
	SettleTime time.Duration
	// EntryGrace is how long the expired registry entry of a live server may be
	// missing.
	EntryGrace time.Duration
	// BreakTimeout is the longest time for which a head stays open after it lost a
	// member.
	BreakTimeout time.Duration
	// ReserveTime is how long free servers of a domain are kept for a model that has no
	// replica in the service before they may form a second replica of a model that is
	// needed less. In that time the missing servers may appear.
	ReserveTime time.Duration
	// LoadWait is how long the free servers of a domain wait for another one that loads
	// the model of a missing replica.
	LoadWait time.Duration
	// MinSpares is how many spares must be left in a domain when a second replica of a
	// model is formed there.
	MinSpares int
	// LimitTime is how long the limit of a head must hold before its replica is formed again
	// with another head, and LimitCloseTimeout how long the former head may then take to
	// finish its requests.
	LimitTime         time.Duration
	LimitCloseTimeout time.Duration
	// LimitRetry is how long another replica of the model waits for the one that was released
	// before to be formed again.
	LimitRetry time.Duration
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		OrderRetry:             500 * time.Millisecond,
		JoinSlack:              3 * time.Second,
		CloseTimeout:           1500 * time.Millisecond,
		EvacuationCloseTimeout: 30 * time.Second,
		StallTimeout:           2 * time.Second,
		StallInspectTime:       700 * time.Millisecond,
		InspectInterval:        250 * time.Millisecond,
		ReinspectInterval:      time.Second,
		MinSlowdown:            2,
		MaxMisses:              2,
		SilenceTimeout:         2 * time.Second,
		LeaveTimeout:           time.Second,
		SettleTime:             400 * time.Millisecond,
		EntryGrace:             2500 * time.Millisecond,
		BreakTimeout:           6500 * time.Millisecond,
		ReserveTime:            15 * time.Second,
		LoadWait:               2 * time.Second,
		MinSpares:              1,
		LimitTime:              1500 * time.Millisecond,
		LimitCloseTimeout:      2500 * time.Millisecond,
		LimitRetry:             15 * time.Second,
	}
}
