package eelgrassring

import (
	"fmt"
	"net/http"
	"time"
)

// Ran tells whether a backend server ran a request.
type Ran string

// The values of Ran. RanNo is used only when it is certain that no backend
// server ran the request.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is a numbered result; docs/ERRORS.md lists all of them.
type Code int

// The result codes. 1xxx: the request is invalid. 2xxx: the system cannot
// accept it now. 3xxx: the request was dispatched, but no complete response is
// available.
const (
	CodeBadKey           Code = 1001 // the API key is missing or unknown
	CodeBadBody          Code = 1002 // the body is incomplete or not valid for the API
	CodeBodyTooLarge     Code = 1003 // the body exceeds the configured limit
	CodeUnknownModel     Code = 1004 // no model of this name
	CodeNotAllowed       Code = 1005 // the application may not use the model or service
	CodeUnknownService   Code = 1006 // no plain service of this name
	CodeKeyRequired      Code = 1007 // a non-idempotent call has no idempotency key
	CodeKeyReused        Code = 1008 // the idempotency key was used for a different request
	CodeBadHeader        Code = 1009 // a header is missing, repeated or malformed
	CodeNotFound         Code = 1010 // no route or path matches
	CodeWorkspaceLimit   Code = 2001 // the workspace is at its limit of running requests
	CodeOverloaded       Code = 2002 // the queue or all replicas are full
	CodeDeadline         Code = 2003 // the request cannot start before its deadline
	CodeNoGroup          Code = 2004 // no complete group or replica serves the model
	CodeNoConfiguration  Code = 2006 // the node has no active configuration yet
	CodeClaimUnavailable Code = 2007 // the claim for a non-idempotent request could not be written in time
	CodeClaimRate        Code = 2008 // the node's limit on claims is reached
	CodeBackendRefused   Code = 2009 // the backend servers refused the request
	CodeUnreachable      Code = 2010 // no backend server could be reached
	CodeUnconfirmed      Code = 2011 // the node cannot confirm that its configuration is current
	CodeNoMemory         Code = 2013 // the node has no memory for the request's head or body
	CodeBodyStalled      Code = 2014 // the body made no progress while others waited for its memory
	CodeManyConnections  Code = 2015 // the workspace has too many connections with a request
	CodeInProgress       Code = 3001 // an earlier request with the same idempotency key may be running
	CodeOutcomeUnknown   Code = 3002 // the request may have run
	CodeAnswerNotKept    Code = 3003 // the request ran, but its response was too large to store
	CodeStreamBroken     Code = 3004 // the stream ended early
	CodeStreamDiverged   Code = 3005 // the stream broke and its replay generated different text
	CodeTimedOut         Code = 3006 // the backend server did not respond in time
	CodeCrashesServers   Code = 3007 // backend servers have ended under this request, its repeats or a part of its prompt
)

// CodeInfo describes one code: its name, the HTTP status that is sent with it,
// whether the request ran, and whether a client may retry it automatically.
type CodeInfo struct {
	Code   Code
	Name   string
	Status int
	Ran    Ran
	Retry  bool
}

// codeTable describes all codes in ascending order.
var codeTable = []CodeInfo{
	{CodeBadKey, "bad_key", http.StatusUnauthorized, RanNo, false},
	{CodeBadBody, "bad_body", http.StatusBadRequest, RanNo, false},
	{CodeBodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, false},
	{CodeUnknownModel, "unknown_model", http.StatusNotFound, RanNo, false},
	{CodeNotAllowed, "not_allowed", http.StatusForbidden, RanNo, false},
	{CodeUnknownService, "unknown_service", http.StatusNotFound, RanNo, false},
	{CodeKeyRequired, "key_required", http.StatusBadRequest, RanNo, false},
	{CodeKeyReused, "key_reused", http.StatusUnprocessableEntity, RanNo, false},
	{CodeBadHeader, "bad_header", http.StatusBadRequest, RanNo, false},
	{CodeNotFound, "not_found", http.StatusNotFound, RanNo, false},
	{CodeWorkspaceLimit, "workspace_limit", http.StatusTooManyRequests, RanNo, true},
	{CodeOverloaded, "overloaded", http.StatusServiceUnavailable, RanNo, true},
	{CodeDeadline, "deadline", http.StatusServiceUnavailable, RanNo, true},
	{CodeNoGroup, "no_group", http.StatusServiceUnavailable, RanNo, true},
	{CodeNoConfiguration, "no_configuration", http.StatusServiceUnavailable, RanNo, true},
	{CodeClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, RanNo, true},
	{CodeClaimRate, "claim_rate", http.StatusTooManyRequests, RanNo, true},
	{CodeBackendRefused, "backend_refused", http.StatusServiceUnavailable, RanNo, true},
	{CodeUnreachable, "unreachable", http.StatusServiceUnavailable, RanNo, true},
	{CodeUnconfirmed, "unconfirmed", http.StatusServiceUnavailable, RanNo, true},
	{CodeNoMemory, "no_memory", http.StatusServiceUnavailable, RanNo, true},
	{CodeBodyStalled, "body_stalled", http.StatusServiceUnavailable, RanNo, true},
	{CodeManyConnections, "many_connections", http.StatusTooManyRequests, RanNo, true},
	{CodeInProgress, "in_progress", http.StatusConflict, RanUnknown, true},
	{CodeOutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RanUnknown, false},
	{CodeAnswerNotKept, "answer_not_kept", http.StatusConflict, RanYes, false},
	{CodeStreamBroken, "stream_broken", http.StatusBadGateway, RanYes, false},
	{CodeStreamDiverged, "stream_diverged", http.StatusBadGateway, RanYes, false},
	{CodeTimedOut, "timed_out", http.StatusGatewayTimeout, RanUnknown, false},
	{CodeCrashesServers, "crashes_servers", http.StatusBadGateway, RanUnknown, false},
}

// Codes returns all codes in ascending order.
func Codes() []CodeInfo {
	return append([]CodeInfo(nil), codeTable...)
}

// Info returns the description of the code. An unknown code gets the name
// "unlisted" and status 500.
func (c Code) Info() CodeInfo {
	for _, i := range codeTable {
		if i.Code == c {
			return i
		}
	}
	return CodeInfo{Code: c, Name: "unlisted", Status: http.StatusInternalServerError, Ran: RanUnknown}
}

// Failure is the final response to a request for which no backend server gave a
// complete result. RetryAt is when the caller should retry; it is zero when a retry
// cannot succeed.
type Failure struct {
	Code    Code
	Message string
	RetryAt time.Time
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%d %s: %s", f.Code, f.Code.Info().Name, f.Message)
}

// Fail returns a Failure without a retry time.
func Fail(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...)}
}

// FailRetryAt returns a Failure that tells when to retry.
func FailRetryAt(code Code, retryAt time.Time, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...), RetryAt: retryAt}
}
