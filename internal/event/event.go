// Package event defines the numbered log events and writes them. A test checks
// that docs/EVENTS.md lists the same events.
//
// Invariant: no event contains a bearer key, an idempotency key or any part of
// a request or response body.
package event

import (
	"context"
	"log/slog"
)

// Kind is the number, message (Name) and level of an event.
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
	SettingsChecked          = Kind{104, "settings checked", slog.LevelInfo}
	StateStalled             = Kind{105, "state stalled", slog.LevelError} // a goroutine holds a lock and does not go on; the node is not ready
	StateMoves               = Kind{106, "state moves again", slog.LevelWarn}
	ClientsTurnedAway        = Kind{107, "clients turned away", slog.LevelWarn} // they sent or held more than the process can hold
	StoreDisconnected        = Kind{201, "disconnected from the store", slog.LevelWarn}
	StoreConnected           = Kind{202, "connected to the store", slog.LevelInfo}
	ConfigurationActivated   = Kind{203, "configuration activated", slog.LevelInfo}
	ConfigurationInvalid     = Kind{204, "stored configuration invalid", slog.LevelError}
	WatchEnded               = Kind{205, "watch ended", slog.LevelInfo}                 // the watch of the store ended with an error
	ConfigurationOutdated    = Kind{206, "older configuration ignored", slog.LevelWarn} // the stored number is below that of the active configuration
	StoreCallFailed          = Kind{207, "store call failed", slog.LevelWarn}
	ServerRemoved            = Kind{208, "registry entry removed", slog.LevelInfo}
	ServerInvalid            = Kind{209, "registry entry invalid", slog.LevelWarn}
	StoreRestored            = Kind{210, "store was restored from a copy", slog.LevelWarn} // its era has risen; what was written last is gone until it is written again
	ConfigurationConfirmed   = Kind{211, "configuration confirmed", slog.LevelInfo}        // it is known to be the newest one; written if that was last known a while ago
	KeysNotAccepted          = Kind{212, "API keys not accepted", slog.LevelWarn}          // the configuration was last confirmed too long ago
	KeysAccepted             = Kind{213, "API keys accepted", slog.LevelInfo}
	EraSettled               = Kind{215, "era of the store settled", slog.LevelInfo} // the store or a peer says that its restore, if any, was long ago
	VMListIncomplete         = Kind{214, "list of VMs incomplete", slog.LevelWarn}   // it was not returned, or some entries cannot be read
	PeerFound                = Kind{301, "peer found", slog.LevelInfo}
	PeerLost                 = Kind{302, "peer lost", slog.LevelWarn}
	ControllerLeaseAcquired  = Kind{303, "controller lease acquired", slog.LevelInfo}
	ControllerLeaseLost      = Kind{304, "controller lease lost", slog.LevelWarn}
	MembershipLeaseLost      = Kind{305, "membership lease lost", slog.LevelWarn}
	PeerRecordInvalid        = Kind{306, "membership record of a peer invalid", slog.LevelWarn}
	DigestNotSent            = Kind{307, "digest not sent", slog.LevelDebug} // this node's state could not be sent to a peer
	ConfigurationFetchFailed = Kind{308, "fetch of the configuration from a peer failed", slog.LevelWarn}
	GroupRecordWritten       = Kind{401, "group record written", slog.LevelInfo}  // the controller stored an assignment of VMs to a group
	GroupRecordRejected      = Kind{402, "group record rejected", slog.LevelWarn} // the write failed or its guards did not hold
	OrderSent                = Kind{403, "order sent", slog.LevelInfo}
	OrderFailed              = Kind{404, "order failed", slog.LevelWarn}
	OrderFenced              = Kind{405, "order rejected: outdated epoch", slog.LevelWarn} // a backend server has seen a larger epoch
	VMLeaving                = Kind{406, "VM leaving", slog.LevelInfo}
	CapacityChanged          = Kind{407, "capacity changed", slog.LevelInfo} // the number of down groups or stranded accelerators changed
	GroupRecovered           = Kind{408, "group recovered", slog.LevelInfo}
	ReplicaChanged           = Kind{409, "replica changed", slog.LevelInfo} // the controller decided to change a replica
	ServerInspected          = Kind{410, "server inspected", slog.LevelInfo}
	ServerPaused             = Kind{412, "server asked for a pause", slog.LevelInfo}     // it turned a request away and wants no more from this node for a time
	DomainSummary            = Kind{411, "domain summary", slog.LevelInfo}               // the replicas and the spare servers (those without a replica) of a fabric domain
	ControllerLoad           = Kind{413, "controller load", slog.LevelInfo}              // how long decisions, calls and their results waited
	RequestSuspected         = Kind{414, "request suspected", slog.LevelWarn}            // a backend server has ended under a request
	SuspectRefused           = Kind{415, "suspect refused", slog.LevelWarn}              // too many backend servers have ended under the request
	RefusalDecided           = Kind{416, "refusal decided", slog.LevelWarn}              // requests with the subjects are refused
	ServerLimited            = Kind{417, "server rate limit changed", slog.LevelInfo}    // the requests a second that it takes from all nodes together
	LimitUnreadable          = Kind{418, "server rate limit unreadable", slog.LevelWarn} // what was known before holds
	ColdRateInvalid          = Kind{420, "cold rate not usable", slog.LevelWarn}         // of a service; the last one that was, or a safe one, holds
	ColdTimeUnreadable       = Kind{421, "cold time unreadable", slog.LevelWarn}         // what was known before holds
	ServerCold               = Kind{422, "server cold", slog.LevelInfo}                  // it says that it is cold, or no longer
	RefusalEnded             = Kind{419, "refusal ended", slog.LevelInfo}                // responses or later ends contradict it, or its time is over
	EvacuationBegan          = Kind{423, "evacuation of a zone began", slog.LevelWarn}   // its servers get no new requests
	EvacuationEnded          = Kind{424, "evacuation of a zone ended", slog.LevelWarn}   // its servers get requests again
	EvacuationInvalid        = Kind{425, "evacuation invalid", slog.LevelWarn}           // its key or value cannot be read
	EvacuationUnknownZone    = Kind{426, "evacuated zone unknown", slog.LevelWarn}       // no backend server is registered there
	EvacuationEmptied        = Kind{427, "evacuated zone is empty", slog.LevelInfo}      // no request is left at its servers
	RequestFailed            = Kind{501, "request failed", slog.LevelWarn}
	AttemptFailed            = Kind{502, "attempt failed", slog.LevelInfo}
	ClaimOutcomeNotRecorded  = Kind{503, "claim outcome not recorded", slog.LevelError} // the outcome of a non-idempotent request could not be stored
	StreamReplayed           = Kind{504, "stream replayed", slog.LevelInfo}             // a broken stream is requested again
	ResponseMismatch         = Kind{505, "response to another request discarded", slog.LevelError}
	RequestDone              = Kind{506, "request done", slog.LevelInfo}
	StreamResumed            = Kind{507, "stream resumed", slog.LevelInfo}           // a broken stream continues at another replica
	LinesDropped             = Kind{508, "log lines dropped", slog.LevelWarn}        // the log output was too slow
	RequestCutOff            = Kind{509, "request cut off", slog.LevelWarn}          // the process ends while the request is under way
	ResponseUnfinished       = Kind{510, "response unfinished", slog.LevelWarn}      // it goes on while the node answers what is pending, shortly before the process ends
	ResponseMalformed        = Kind{511, "malformed response", slog.LevelWarn}       // its head or trailer does not follow the protocol
	SecondNotSent            = Kind{525, "second attempt not sent", slog.LevelDebug} // a request is slow and may not be sent to a second server
	SecondWon                = Kind{526, "second attempt won", slog.LevelInfo}       // it answered a request whose first server was slow
	SecondLost               = Kind{527, "second attempt lost", slog.LevelInfo}      // the first server was faster after all, or the second one failed
)

// Kinds returns all kinds of events, ordered by their numbers.
func Kinds() []Kind {
	return []Kind{
		Started, Draining, Stopped, SettingsChecked, StateStalled, StateMoves, ClientsTurnedAway,
		StoreDisconnected, StoreConnected, ConfigurationActivated, ConfigurationInvalid, WatchEnded, ConfigurationOutdated, StoreCallFailed, ServerRemoved, ServerInvalid, StoreRestored, ConfigurationConfirmed, KeysNotAccepted, KeysAccepted, VMListIncomplete, EraSettled,
		PeerFound, PeerLost, ControllerLeaseAcquired, ControllerLeaseLost, MembershipLeaseLost, PeerRecordInvalid, DigestNotSent, ConfigurationFetchFailed,
		GroupRecordWritten, GroupRecordRejected, OrderSent, OrderFailed, OrderFenced, VMLeaving, CapacityChanged, GroupRecovered,
		ReplicaChanged, ServerInspected, DomainSummary, ServerPaused, ControllerLoad, RequestSuspected, SuspectRefused, RefusalDecided, ServerLimited, LimitUnreadable, RefusalEnded, ColdRateInvalid, ColdTimeUnreadable, ServerCold,
		EvacuationBegan, EvacuationEnded, EvacuationInvalid, EvacuationUnknownZone, EvacuationEmptied,
		RequestFailed, AttemptFailed, ClaimOutcomeNotRecorded, StreamReplayed, ResponseMismatch,
		RequestDone, StreamResumed, LinesDropped, RequestCutOff, ResponseUnfinished, ResponseMalformed,
		SecondNotSent, SecondWon, SecondLost,
	}
}

// Log writes numbered events to a structured logger.
type Log struct {
	logger, urgent *slog.Logger
}

// NewLog returns a Log that writes to l.
func NewLog(l *slog.Logger) *Log { return NewSplitLog(l, l) }

// NewSplitLog returns a Log that writes warnings and errors to urgent, and the other
// events to l.
func NewSplitLog(l, urgent *slog.Logger) *Log { return &Log{logger: l, urgent: urgent} }

// Write writes one event of kind k, with its number as the first attribute.
func (l *Log) Write(k Kind, attributes ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", k.Number)}, attributes...)
	logger := l.logger
	if k.Level >= slog.LevelWarn {
		logger = l.urgent
	}
	logger.LogAttrs(context.Background(), k.Level, k.Name, all...)
}
