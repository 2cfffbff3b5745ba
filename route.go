package eelgrassring

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallKind tells whether a call may be retried and whether its response is a
// stream.
type CallKind string

// The kinds of calls. A call of kind CallStream is non-idempotent unless its
// route is resumable.
const (
	CallIdempotent    CallKind = "idempotent"
	CallNonIdempotent CallKind = "once"
	CallStream        CallKind = "stream"
)

// WeightedService is a service and its weight in a route's traffic split.
type WeightedService struct {
	Service Service
	Weight  int
}

// Route maps the calls to a host and a path prefix to services, and sets how the
// gateway serves them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   CallKind
	// Timeout is the longest time that a call may take.
	Timeout time.Duration
	// LatencyTarget is the target time to a response, or to a stream's first event;
	// a later response loses value.
	LatencyTarget time.Duration
	// EventGapTarget is the longest event gap with which a stream keeps its full
	// value.
	EventGapTarget time.Duration
	// MaxAttempts is how many backend servers one call may be sent to.
	MaxAttempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams can continue at another server after their last event.
	Resumable bool
	// HasReplicas is set when the route's calls name a model and are sent to one of
	// its replicas.
	HasReplicas bool
	// TrafficSplit lists the services that share the route's calls by weight.
	TrafficSplit []WeightedService
}

// MayRepeat reports whether a call of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == CallIdempotent || (r.Kind == CallStream && r.Resumable)
}

// EngineRates describes how fast an engine runs, before the model's TimeFactor.
type EngineRates struct {
	// Step is the time of one decoding step of a batch. Each decoding request adds
	// PerSequence to it, and each 1,000 tokens of its context add PerContext.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// ReadPerSecond is the prefill rate in prompt tokens per second.
	ReadPerSecond float64
	// PerMillionPairs is the prefill time that a million pairs of prompt tokens add.
	PerMillionPairs time.Duration
	// StepsPerPass is how many decoding steps the engine runs in one pass.
	StepsPerPass int
	// KVCapacity is how many tokens a replica's KV cache holds.
	KVCapacity int
	// ReportLag is the age of a server's state when the server reports it.
	ReportLag time.Duration
}

// ReplicaModel is a model whose replicas are not declared: the controller
// decides how many there are and on which servers.
type ReplicaModel struct {
	Name Model
	// Size is the number of servers in a replica.
	Size int
	// Share is the model's expected fraction of the service's requests.
	Share float64
	// TimeFactor scales all times of EngineRates for this model.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store,
	// StagedLoadTime from the host's memory.
	LoadTime       time.Duration
	StagedLoadTime time.Duration
}

// RoutedService is a service whose backend servers are discovered in the registry.
type RoutedService struct {
	Name Service
	// MaxConnections is the configured limit of connections. It is not enforced.
	MaxConnections int
	// HealthPath is the path of a server's health check.
	HealthPath string
	// RunsModels is set if the service's servers form replicas. Its calls are sent to
	// replicas only, even if no model is configured.
	RunsModels bool
	Models     []ReplicaModel
	// IsRanked is set if the routes to the service whose calls name a model differ in
	// priority: the operators say which calls give way. A route table sets it.
	IsRanked bool
	Rates    EngineRates
	// Slots is how many requests a replica runs at a time.
	Slots int
	// LoadsPerSecond bounds the rate of weight loads from the weight store.
	// LoadsAtOnce is how many concurrent weight loads run at full speed.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// ColdStart is how long a server is cold after a start during traffic; 0: never. A cold
	// server takes ColdPerSecond requests a second from all nodes together. A value that could
	// not be read is negative.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// HasReplicas reports whether calls go to replicas of the service's models. A plain service
// runs no models.
func (s RoutedService) HasReplicas() bool { return s.RunsModels || len(s.Models) > 0 }

// KeyHolder is a workspace with its bearer keys.
type KeyHolder struct {
	Workspace Workspace
	Keys      []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bound the size of callers' requests and the time to read them.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Routing is one version of the routing configuration. Number increases with each
// version.
type Routing struct {
	Number   int64
	Routes   []Route
	Services []RoutedService
	// RequiresKey is set if the configuration declares key holders, even none: calls to
	// routes that are not public then need the key of one of them. Otherwise calls need no
	// key, and one with a key is refused, because nobody holds it.
	RequiresKey bool
	KeyHolders  []KeyHolder
	Limits      CallerLimits
}

// CallHeader is what the gateway reads from a caller's request header.
type CallHeader struct {
	// ID is the caller's ID of the request, Key its bearer key.
	ID  string
	Key string
	// MaxWait is how long the caller will wait; 0 if it sets no limit.
	MaxWait time.Duration
	Model   Model
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens int
	OutputTokens int
	// Content is what the header says of the request's content. It is the same in a
	// caller's repeats of the request.
	Content string
	// PromptParts are the IDs of the parts of the prompt, in order. Requests may share
	// parts.
	PromptParts []string
	// LastEvent is the last event that the caller received of a stream it resumes.
	LastEvent string
}

// AttemptHeader is what the gateway adds to the caller's header when it sends an
// attempt to a backend server.
type AttemptHeader struct {
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Server is the backend server that the attempt is meant for.
	Server    VM
	Workspace Workspace
	// LastEvent is the last event of a resumed stream that the caller received.
	LastEvent string
	// Urgency is 0 to 9; 0 is the most urgent.
	Urgency int
}

// AnswerHeader is what the gateway reads from a backend server's response header.
type AnswerHeader struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// FaultyServer is the server that caused the failure, if the response names it.
	FaultyServer VM
	// Signed is set if the response carries the server's signature.
	Signed bool
	// Leaving is set if the server announces that it is about to stop.
	Leaving bool
	// Pause is how long the server, which turned the request away, wants no further
	// requests from this node; 0 if it did not say.
	Pause time.Duration
	// RateLimit is how many requests the server takes from all nodes together.
	RateLimit RateLimit
	// Cold is what the response says of how much longer the server is cold.
	Cold ColdAnswer
}

// ColdAnswer is what a response says of how much longer its server is cold: For, if IsSaid is
// set. IsUnreadable is set if it says so in a way that cannot be read.
type ColdAnswer struct {
	IsSaid       bool
	IsUnreadable bool
	For          time.Duration
}

// RateLimitState says whether a response names a rate limit.
type RateLimitState int

// The states of a RateLimit.
const (
	// RateUnlimited: the response names no limit.
	RateUnlimited RateLimitState = iota
	// RateLimited: the response names a limit.
	RateLimited
	// RateUnreadable: the response names a limit that is not a number of requests.
	RateUnreadable
)

// RateLimit is how many requests a second a backend server takes from all nodes
// together, as a response says. It holds until another response says otherwise.
type RateLimit struct {
	State RateLimitState
	// PerSecond is the limit, 0 or more, if State is RateLimited.
	PerSecond float64
}

// maxRateLimit bounds a rate limit, in requests a second, so that the time between two
// requests can be represented.
const maxRateLimit = 1e6

// ReadRateLimit returns the limit that the values of a response's header name. If they name
// several, the least of those that can be read holds.
func ReadRateLimit(values []string) RateLimit {
	out := RateLimit{}
	for _, text := range values {
		limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		switch {
		case err != nil || !(limit >= 0) || math.IsInf(limit, 0):
			if out.State == RateUnlimited {
				out.State = RateUnreadable
			}
		case out.State != RateLimited || limit < out.PerSecond:
			out = RateLimit{State: RateLimited, PerSecond: min(limit, maxRateLimit)}
		}
	}
	return out
}

// Dialect reads and writes the headers by which callers, this system and backend
// servers communicate.
type Dialect interface {
	// ReadCall reads the header of a caller's request.
	ReadCall(h http.Header) (CallHeader, error)
	// WriteAttempt turns a caller's header into that of an attempt: it removes the
	// caller's key and sets the fields of a.
	WriteAttempt(h http.Header, a AttemptHeader)
	// ReadAnswer reads the status and header of a backend server's response.
	ReadAnswer(status int, h http.Header) AnswerHeader
	// LivenessPath returns the path of a GET request that a service's servers answer without
	// running anything, if possible without a free slot.
	LivenessPath(s RoutedService) string
	// WriteFailure sets the response header for a failure of this system.
	WriteFailure(h http.Header, callID string, f *Failure, now time.Time)
}

// Directory knows under which keys the store holds the routing configuration and
// the registry of backend servers, and decodes their values.
type Directory interface {
	// RoutingKey returns the key of the routing configuration.
	RoutingKey() string
	// ServerPrefix returns the prefix of the registry's keys.
	ServerPrefix() string
	// EvacuationPrefix returns the prefix of the keys that name the evacuated availability
	// zones. It has a part in common with RoutingKey, so that both can be watched together.
	EvacuationPrefix() string
	// ReadEvacuation returns the zone that a key below EvacuationPrefix names, or an error and
	// no zone if the key names none. An error with a zone means that the value is not as
	// expected; the zone is evacuated nevertheless, by its key.
	ReadEvacuation(key string, value []byte) (Zone, error)
	// ReadRouting decodes a routing configuration.
	ReadRouting(value []byte) (*Routing, error)
	// ReadServer decodes a registry entry. It returns an error if a required field
	// is missing or invalid.
	ReadServer(key string, value []byte) (Server, error)
}
