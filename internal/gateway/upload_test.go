package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUploadsShareTheMemory guards against a node that ends for lack of memory because many
// callers send large bodies at once. Those that do not fit wait, and are refused before their
// body is read; small ones go on, and all memory is free afterwards.
func TestUploadsShareTheMemory(t *testing.T) {
	const size, atOnce, callers = 1 << 20, 3, 10
	for _, test := range []struct {
		work time.Duration
		// served is how many of the uploads are served before the others are refused.
		served int
	}{{200 * time.Millisecond, 10}, {450 * time.Millisecond, 9}, {900 * time.Millisecond, 6}, {1500 * time.Millisecond, 3}} {
		for _, target := range []string{"/write/1", "/single/1"} {
			t.Run(fmt.Sprintf("%s %s", test.work, target), func(t *testing.T) {
				withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
					h.front.callerBodies = newBodyMemory(atOnce*size, atOnce*size)
					h.handle = func(_ string, _ int, r receivedRequest, c net.Conn) {
						if len(r.body) == size {
							time.Sleep(test.work)
						}
						respond(c, 200, "id1", "done")
					}
					var mu sync.Mutex
					statuses := map[int]int{}
					var wait sync.WaitGroup
					for range callers {
						wait.Go(func() {
							w, _ := h.call("POST", target, strings.Repeat("x", size))
							mu.Lock()
							defer mu.Unlock()
							statuses[w.Code]++
							if w.Code == http.StatusServiceUnavailable && w.Header().Get("T-Retry") == "" {
								t.Error("a refusal names no time to come back")
							}
						})
					}
					time.Sleep(time.Millisecond)
					begin := time.Now()
					w, _ := h.call("POST", "/read/1", "small")
					is.Equal(w.Code, 200)
					is.Equal(time.Since(begin), time.Duration(0))
					wait.Wait()
					if target == "/write/1" { // The replicas have fewer slots.
						is.Equal(statuses[200], test.served)
					}
					is.Equal(statuses[200]+statuses[503], callers)
					is.Equal(len(h.requests()), statuses[200]+1)
					is.Equal(h.front.callerBodies.free, atOnce*size)
				})
			})
		}
	}
}

// TestChunkedUploadsShareTheMemory is the same for bodies in chunks, whose length is not known.
// A body that ends early is no body.
func TestChunkedUploadsShareTheMemory(t *testing.T) {
	for _, c := range []struct {
		name         string
		length, free int
		isCut        bool
		want         error
	}{
		{"small", smallBody - 1, 0, false, nil},
		{"large", smallBody + 1, 1 << 20, false, nil},
		{"at the limit", 1 << 20, 1 << 20, false, nil},
		{"no memory", smallBody + 1, 1<<20 - 1, false, errBodyMemory},
		{"small, cut", 10, 0, true, io.ErrUnexpectedEOF},
		{"large, cut", smallBody + 1, 1 << 20, true, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newBodyMemory(1<<20, c.free)
				var in io.Reader = iotest.OneByteReader(strings.NewReader(strings.Repeat("x", c.length)))
				if c.isCut {
					in = io.MultiReader(in, iotest.ErrReader(io.ErrUnexpectedEOF))
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				body, done, err := m.readUnknown(ctx, in, 1<<20)
				is.Equal(err, c.want)
				if err == nil {
					is.Equal(len(body), c.length)
				}
				done()
				is.Equal(m.free, c.free)
			})
		})
	}
}
