package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/claim"
	"eelgrassring.dev/internal/standin/platform"
)

// callWithRecord makes a call with a key for which the store holds a record with the response, and
// returns what the caller gets.
func callWithRecord(t *testing.T, response *claim.Response) *httptest.ResponseRecorder {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s, requests := newAnsweringServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	store := platform.NewKeyspace()
	s.config.Ledger = claim.NewLedger(claim.Config{Store: store, Node: "n1", Batch: claim.DefaultBatchConfig()})
	go s.config.Ledger.Run(ctx)
	p := newServiceCall(s)
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/services/app/x", nil)
	record, err := json.Marshal(claim.Record{
		Writer: "other/1", Fingerprint: claim.Fingerprint(r.Method, r.URL.RequestURI(), p.call.body), State: claim.StateDone, RunUntil: time.Now(), Response: response,
	})
	is.NoErr(err)
	_, err = store.Commit(ctx, ring.Txn{Writes: []ring.Write{{Key: claim.Identity{Key: "k"}.StoreKey(), Value: record}}})
	is.NoErr(err)
	w := httptest.NewRecorder()
	withoutPanic(t, func() {
		s.runClaimed(w, r, p.call, "k", testFirstTimeout, func() dispatchResult { return p.dispatchOnce(ctx, w) })
	})
	is.Equal(requests(), 0) // it runs at most once
	return w
}

// TestRecordedResponseThatIsNoneIsUnknown guards against replaying a record whose response no
// server can have sent: one that a node recorded when it still took malformed heads for responses,
// or that another writer wrote.
func TestRecordedResponseThatIsNoneIsUnknown(t *testing.T) {
	body := []byte(cutBody)
	for name, response := range map[string]*claim.Response{
		"none":                       nil,
		"empty":                      {},
		"status 0":                   {BodyStored: true, Body: body},
		"status 0, not stored":       {Status: 0},
		"status -1":                  {Status: -1, BodyStored: true, Body: body},
		"status 20":                  {Status: 20, BodyStored: true, Body: body},
		"status 99":                  {Status: 99, BodyStored: true, Body: body},
		"status 99, not stored":      {Status: 99},
		"status 100":                 {Status: 100, BodyStored: true, Body: body},
		"status 101":                 {Status: 101, BodyStored: true, Body: body},
		"status 199":                 {Status: 199, BodyStored: true, Body: body},
		"status 1000":                {Status: 1000, BodyStored: true, Body: body},
		"type with a control byte":   {Status: 200, ContentType: "text/plain\x00", BodyStored: true, Body: body},
		"type with a line":           {Status: 200, ContentType: "text/plain\r\nX-Y: z", BodyStored: true, Body: body},
		"type with a line, no store": {Status: 200, ContentType: "text/plain\nX-Y: z"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := callWithRecord(t, response)
				is.Equal(w.Code, http.StatusBadGateway)
				is.Equal(w.Header().Get(headerRan), "unknown")
				is.Equal(w.Header().Get(headerCode), fmt.Sprint(int(ring.CodeOutcomeUnknown)))
				is.Equal(w.Header().Get(headerReplayed), "")
			})
		})
	}
}

// TestRecordedResponseIsReplayed checks that sound records are replayed as they are.
func TestRecordedResponseIsReplayed(t *testing.T) {
	for _, status := range []int{200, 201, 302, 404, 500, 600, 999} {
		for _, contentType := range []string{"", "text/plain", "text/plain;\tcharset=é"} {
			t.Run(fmt.Sprint(status, " ", contentType), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := callWithRecord(t, &claim.Response{Status: status, ContentType: contentType, BodyStored: true, Body: []byte(cutBody)})
					is.Equal(w.Code, status)
					is.Equal(w.Header().Get("Content-Type"), contentType)
					is.Equal(w.Header().Get(headerReplayed), "true")
					is.Equal(w.Body.String(), cutBody)
				})
			})
		}
	}
}
