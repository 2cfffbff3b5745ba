package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/openai"
)

// Response headers. In the official clients of the API, X-Should-Retry takes
// precedence over the status.
const (
	headerShouldRetry = "X-Should-Retry"
	// headerRan says whether the request ran on a backend server: yes, no or unknown.
	headerRan = "Eelgrass-Ran"
	// headerCode carries the failure's numeric code.
	headerCode = "Eelgrass-Code"
	// headerReplayed marks a response that was recorded for an earlier request
	// with the same key.
	headerReplayed = "Eelgrass-Replayed"
)

// newRequestID returns a random ID for a request.
func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // Read never fails; see crypto/rand.
	return "req-" + hex.EncodeToString(b[:])
}

// writeFailure writes f as the response to a request. c is nil if the caller is
// unknown.
func (s *Server) writeFailure(w http.ResponseWriter, c *call, f *ring.Failure) {
	info := f.Code.Info()
	h := w.Header()
	h.Set(headerCode, strconv.Itoa(int(f.Code)))
	h.Set(headerRan, string(info.Ran))
	h.Set(headerShouldRetry, strconv.FormatBool(info.Retry))
	if !f.RetryAt.IsZero() {
		wait := max(time.Until(f.RetryAt), 0)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	s.recordFailure(c, f)
	writeJSON(w, info.Status, errorBody(f))
}

// recordFailure counts a failed request in the metrics and logs it.
func (s *Server) recordFailure(c *call, f *ring.Failure) {
	workspace, id := "", ""
	if c != nil {
		workspace, id = string(c.caller.Workspace.Name), c.id
	}
	s.config.Metrics.Count("failures", 1, "workspace", workspace, "code", strconv.Itoa(int(f.Code)))
	s.config.Log.Write(event.RequestFailed, slog.String("request", id), slog.String("workspace", workspace), slog.Int("code", int(f.Code)))
}

// errorBody returns the body of an error response for a failure.
func errorBody(f *ring.Failure) openai.ErrorBody {
	info := f.Code.Info()
	errorType := "server_error"
	if info.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return openai.ErrorBody{Error: openai.Error{
		Message: f.Message, Type: errorType, Code: info.Name, Number: int(f.Code), Ran: string(info.Ran),
	}}
}

// writeStreamFailure ends a started stream with an error event. It sends no [DONE],
// so that clients do not take the stream for complete.
func (s *Server) writeStreamFailure(w http.ResponseWriter, c *call, f *ring.Failure) {
	s.recordFailure(c, f)
	text, err := json.Marshal(errorBody(f))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", text)
	flush(w)
}

// flush sends buffered response data to the caller, if w supports that.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
