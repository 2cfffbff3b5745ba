package eelgrassring

import (
	"net/http"
	"time"
)

// CallKind says what may be repeated of a call.
type CallKind string

// The kinds of calls. A stream is non-idempotent unless its route says that it
// can be resumed.
const (
	CallIdempotent    CallKind = "idempotent"
	CallNonIdempotent CallKind = "once"
	CallStream        CallKind = "stream"
)

// WeightedService is a service's part of a route's calls.
type WeightedService struct {
	Service Service
	Weight  int
}

// Route is a declared way from a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   CallKind
	// Timeout is the longest time that a call may take.
	Timeout time.Duration
	// LatencyTarget is the time to an answer, or to a stream's first event, within
	// which the answer has its full worth.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between the events of a stream for which the
	// answer has its full worth.
	EventGapTarget time.Duration
	// MaxAttempts is how many backend servers one call may be sent to.
	MaxAttempts int
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams go on at another server after their last event.
	Resumable bool
	// HasReplicas is set when the route's calls name a model.
	HasReplicas  bool
	TrafficSplit []WeightedService
}

// MayRepeat reports whether a call may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == CallIdempotent || (r.Kind == CallStream && r.Resumable)
}

// EngineRates tells how fast an engine works, before the pace of its model.
type EngineRates struct {
	// Step is the time of one token step, PerSequence what each writing request
	// adds to it, and PerContext what each 1,000 tokens of its context add.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// PerMillionPairs is the time that a million pairs of prompt tokens add.
	PerMillionPairs time.Duration
	// StepsPerPass is how many steps one pass does.
	StepsPerPass int
	// KVCapacity is how many tokens a replica holds.
	KVCapacity int
	// ReportLag is how old the state is that a server reports.
	ReportLag time.Duration
}

// ReplicaModel is a model that a service runs by replicas nobody declares by
// name: the controller decides how many there are, and where.
type ReplicaModel struct {
	Name Model
	// Size is the number of servers in a replica.
	Size int
	// Share is the model's part of the work.
	Share float64
	// TimeFactor is a factor on all times of the engine.
	TimeFactor float64
	// LoadTime is the time to load from the weight store, Warm from the host.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// RoutedService is a service whose backend servers are discovered.
type RoutedService struct {
	Name           Service
	MaxConnections int
	// HealthPath is where a server tells whether it is healthy.
	HealthPath string
	// Models is empty for a plain service.
	Models []ReplicaModel
	Rates  EngineRates
	// Slots is how many requests a replica runs at a time.
	Slots int
	// LoadsPerSecond bounds the loads from the weight store, LoadsAtOnce how
	// many run at full speed.
	LoadsPerSecond float64
	LoadsAtOnce    int
}

// KeyHolder is a workspace with its bearer keys.
type KeyHolder struct {
	Workspace Workspace
	Keys      []string
	// Priority goes before a route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Routing is a whole configuration of routes.
type Routing struct {
	Number     int64
	Routes     []Route
	Services   []RoutedService
	KeyHolders []KeyHolder
	Limits     CallerLimits
}

// CallHeader is what the gateway reads in a caller's header.
type CallHeader struct {
	ID  string
	Key string
	// MaxWait is how long the caller will wait; 0 when it names no time.
	MaxWait time.Duration
	Model   Model
	// PromptTokens and Output are numbers of tokens.
	PromptTokens int
	OutputTokens int
	// LastEvent is the last event that the caller has of a resumed stream.
	LastEvent string
}

// AttemptHeader is what the gateway tells a backend server beside the caller's own
// header.
type AttemptHeader struct {
	Remaining time.Duration
	Server    VM
	Workspace Workspace
	LastEvent string
	// Urgency is 0 to 9; 0 goes first.
	Urgency int
}

// AnswerHeader is what the gateway reads in a backend server's answer.
type AnswerHeader struct {
	ID string
	// NotRun is set when the server promises that it did not run the request.
	NotRun bool
	// FaultyServer names the server at fault, when the answer does.
	FaultyServer VM
	// Signed is set when the answer carries the server's signature.
	Signed bool
}

// Dialect translates the headers of callers and backend servers.
type Dialect interface {
	ReadCall(h http.Header) (CallHeader, error)
	WriteAttempt(h http.Header, t AttemptHeader)
	ReadAnswer(status int, h http.Header) AnswerHeader
	// WriteFailure adds to the header of a failure of this system's own.
	WriteFailure(h http.Header, callID string, f *Failure, now time.Time)
}

// Directory tells where the configuration of routes and the registry of
// backend servers stand in the store, and reads them.
type Directory interface {
	RoutingKey() string
	ServerPrefix() string
	ReadRouting(value []byte) (*Routing, error)
	// ReadServer returns an error for an entry that names no server to use.
	ReadServer(key string, value []byte) (Server, error)
}
