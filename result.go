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
	CodeBadKey           Code = 1001
	CodeBadBody          Code = 1002
	CodeBodyTooLarge     Code = 1003
	CodeUnknownModel     Code = 1004
	CodeNotAllowed       Code = 1005
	CodeUnknownService   Code = 1006
	CodeKeyRequired      Code = 1007
	CodeKeyReused        Code = 1008
	CodeBadHeader        Code = 1009
	CodeNotFound         Code = 1010
	CodeWorkspaceLimit   Code = 2001
	CodeOverloaded       Code = 2002
	CodeDeadline         Code = 2003
	CodeNoGroup          Code = 2004
	CodeNoConfiguration  Code = 2006
	CodeClaimUnavailable Code = 2007
	CodeClaimRate        Code = 2008
	CodeBackendRefused   Code = 2009
	CodeUnreachable      Code = 2010
	CodeUnconfirmed      Code = 2011
	CodeInProgress       Code = 3001
	CodeOutcomeUnknown   Code = 3002
	CodeAnswerNotKept    Code = 3003
	CodeStreamBroken     Code = 3004
	CodeStreamDiverged   Code = 3005
	CodeTimedOut         Code = 3006
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
	{CodeInProgress, "in_progress", http.StatusConflict, RanUnknown, true},
	{CodeOutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RanUnknown, false},
	{CodeAnswerNotKept, "answer_not_kept", http.StatusConflict, RanYes, false},
	{CodeStreamBroken, "stream_broken", http.StatusBadGateway, RanYes, false},
	{CodeStreamDiverged, "stream_diverged", http.StatusBadGateway, RanYes, false},
	{CodeTimedOut, "timed_out", http.StatusGatewayTimeout, RanUnknown, false},
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
