// Package event writes the numbered events of the log. The catalogue in
// docs/EVENTS.md is checked against this table by a test.
//
// Invariant: no event carries a bearer key, an idempotency key or any part of
// a request's or an answer's body.
package event

import (
	"context"
	"log/slog"
)

// Kind is a numbered event.
type Kind struct {
	Number int
	Name   string
	Level  slog.Level
}

// The events. 1xx: process. 2xx: store and configuration. 3xx: membership and
// control. 4xx: groups and VMs. 5xx: requests.
var (
	Started                  = Kind{101, "started", slog.LevelInfo}
	Draining                 = Kind{102, "draining", slog.LevelInfo}
	Stopped                  = Kind{103, "stopped", slog.LevelInfo}
	SettingsChecked          = Kind{104, "settings read again", slog.LevelInfo}
	StoreDisconnected        = Kind{201, "store lost", slog.LevelWarn}
	StoreConnected           = Kind{202, "store back", slog.LevelInfo}
	ConfigurationActivated   = Kind{203, "configuration in force", slog.LevelInfo}
	ConfigurationInvalid     = Kind{204, "stored configuration unreadable", slog.LevelError}
	WatchEnded               = Kind{205, "watch ended", slog.LevelInfo}
	ConfigurationOutdated    = Kind{206, "older configuration ignored", slog.LevelWarn}
	StoreCallFailed          = Kind{207, "store call failed", slog.LevelWarn}
	ServerRemoved            = Kind{208, "registry entry gone", slog.LevelInfo}
	ServerInvalid            = Kind{209, "registry entry unreadable", slog.LevelWarn}
	PeerFound                = Kind{301, "peer found", slog.LevelInfo}
	PeerLost                 = Kind{302, "peer lost", slog.LevelWarn}
	ControllerLeaseAcquired  = Kind{303, "controller's lease won", slog.LevelInfo}
	ControllerLeaseLost      = Kind{304, "controller's lease lost", slog.LevelWarn}
	MembershipLeaseLost      = Kind{305, "membership lease lost", slog.LevelWarn}
	PeerRecordInvalid        = Kind{306, "peer's membership unreadable", slog.LevelWarn}
	DigestNotSent            = Kind{307, "digest not sent", slog.LevelDebug}
	ConfigurationFetchFailed = Kind{308, "configuration not handed over", slog.LevelWarn}
	GroupRecordWritten       = Kind{401, "group record written", slog.LevelInfo}
	GroupRecordRejected      = Kind{402, "group record refused", slog.LevelWarn}
	OrderSent                = Kind{403, "order sent", slog.LevelInfo}
	OrderFailed              = Kind{404, "order failed", slog.LevelWarn}
	OrderFenced              = Kind{405, "order refused as old", slog.LevelWarn}
	VMLeaving                = Kind{406, "VM leaving", slog.LevelInfo}
	CapacityChanged          = Kind{407, "capacity changed", slog.LevelInfo}
	GroupRecovered           = Kind{408, "group recovered", slog.LevelInfo}
	ReplicaChanged           = Kind{409, "replica changed", slog.LevelInfo}
	ServerInspected          = Kind{410, "server asked", slog.LevelInfo}
	DomainSummary            = Kind{411, "domain counted", slog.LevelInfo}
	RequestFailed            = Kind{501, "request failed", slog.LevelWarn}
	AttemptFailed            = Kind{502, "try failed", slog.LevelInfo}
	ClaimOutcomeNotRecorded  = Kind{503, "claim not settled", slog.LevelError}
	StreamReplayed           = Kind{504, "stream replayed", slog.LevelInfo}
	ResponseMismatch         = Kind{505, "answer of another request dropped", slog.LevelError}
	RequestDone              = Kind{506, "request done", slog.LevelInfo}
	StreamResumed            = Kind{507, "stream resumed", slog.LevelInfo}
	LinesDropped             = Kind{508, "log lines dropped", slog.LevelWarn}
)

// Kinds returns all events by number.
func Kinds() []Kind {
	return []Kind{
		Started, Draining, Stopped, SettingsChecked,
		StoreDisconnected, StoreConnected, ConfigurationActivated, ConfigurationInvalid, WatchEnded, ConfigurationOutdated, StoreCallFailed, ServerRemoved, ServerInvalid,
		PeerFound, PeerLost, ControllerLeaseAcquired, ControllerLeaseLost, MembershipLeaseLost, PeerRecordInvalid, DigestNotSent, ConfigurationFetchFailed,
		GroupRecordWritten, GroupRecordRejected, OrderSent, OrderFailed, OrderFenced, VMLeaving, CapacityChanged, GroupRecovered,
		ReplicaChanged, ServerInspected, DomainSummary,
		RequestFailed, AttemptFailed, ClaimOutcomeNotRecorded, StreamReplayed, ResponseMismatch,
		RequestDone, StreamResumed, LinesDropped,
	}
}

// Log writes numbered events.
type Log struct {
	logger *slog.Logger
}

// NewLog returns a log that writes to the logger.
func NewLog(l *slog.Logger) *Log {
	return &Log{logger: l}
}

// Write writes one event with its attributes.
func (l *Log) Write(k Kind, attributes ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", k.Number)}, attributes...)
	l.logger.LogAttrs(context.Background(), k.Level, k.Name, all...)
}
