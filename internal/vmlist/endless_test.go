package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/endless"
	"eelgrassring.dev/internal/head"
)

// TestEndlessList guards against holding an endless list of VMs in memory, and against
// using a list that has not ended.
func TestEndlessList(t *testing.T) {
	const closeDelay = 50 * time.Millisecond
	bound := maxResponseHeader + 6*maxResponseBody + 16<<10 // a body in the smallest chunks has six bytes for each of its own
	responses := append(endless.Heads(), endless.Bodies("200 OK", "")...)
	responses = append(responses, endless.Bodies("500 Error", "")...)
	responses = append(responses, endless.Beyond("200 OK", "", "[]")...)
	responses = append(responses, endless.Response{Name: "VMs", Start: "HTTP/1.1 200 OK\r\n\r\n[{}", Unit: ",{}"})
	for _, r := range responses {
		for name, slow := range map[string]bool{"fast": false, "slow": true} {
			t.Run(r.Name+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &endless.Server{Response: r, Slow: slow}
					c := New(Config{Address: "s:1"})
					c.http.Transport.(*head.Transport).Dial = s.Dial
					begin := time.Now()
					list, err := c.VMs(context.Background())
					is.Equal(err == nil, r.IsComplete)
					is.Equal(len(list), 0)
					is.True(time.Since(begin) <= callTimeout)
					c.http.CloseIdleConnections()
					is.True(s.IsClosedWithin(closeDelay))
					if s.Sent() > bound {
						t.Errorf("%d bytes were read, the bound is %d", s.Sent(), bound)
					}
				})
			})
		}
	}
}

// TestOddEntryOfTheListHidesNoOther guards against one entry that cannot be read, which would
// keep the nodes from learning that other VMs are leaving.
func TestOddEntryOfTheListHidesNoOther(t *testing.T) {
	is := is.New(t)
	list := `[{"vm":"a","state":"leaving"},{"vm":7},` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,"x",{"vm":"b","state":9e99},{"vm":"c","state":"leaving"}]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(list)) }))
	defer server.Close()
	got, err := New(Config{Address: strings.TrimPrefix(server.URL, "http://")}).VMs(t.Context())
	is.True(err != nil) // for the log
	is.Equal(got, []ring.ListedVM{{VM: "a", State: ring.VMLeaving}, {VM: "c", State: ring.VMLeaving}})
}
