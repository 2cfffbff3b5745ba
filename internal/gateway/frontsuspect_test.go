package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/suspect"
)

// withDeadlyRequests runs a test with ten replicas whose servers end 70 ms after a
// request with the body "deadly" has begun to run, and then refuse connections. Other
// requests run for runTime.
func withDeadlyRequests(t *testing.T, runTime time.Duration, test func(t *testing.T, is *is.I, h *frontHarness)) {
	t.Helper()
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		for i := 3; i <= 10; i++ {
			id := fmt.Sprint("e", i)
			h.fleet.Put(ring.Server{
				ID: ring.VM(id), Service: "engine", Address: id, Slots: 4, Model: "m",
				Membership: ring.Membership{Group: ring.Group("g" + id), Epoch: ring.Epoch(i), State: ring.MemberOpen},
			}, ring.Revision(i+20))
		}
		h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.header.Get("T-Id"))
			last, _ := numericEventID(r.header.Get("Last-Event-Id"))
			event := func() {
				last++
				writeChunk(c, fmt.Sprintf("id: %d\ndata: piece\n\n", last))
			}
			event()
			end := time.Now().Add(runTime)
			if string(r.body) == "deadly" {
				end = time.Now().Add(70 * time.Millisecond)
			}
			for time.Now().Before(end) {
				time.Sleep(10 * time.Millisecond)
				if h.isRefused(server) {
					return // The process has ended.
				}
				event()
			}
			if string(r.body) == "deadly" {
				h.end(server)
				return
			}
			endStream(c)
		}
		test(t, is, h)
	})
}

// end makes a server's process end.
func (h *frontHarness) end(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[server] = true
}

// isRefused reports whether a server refuses connections.
func (h *frontHarness) isRefused(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused[server]
}

// endedServers returns how many servers have ended.
func (h *frontHarness) endedServers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.refused)
}

// addNode returns a Front of another node, which learns the strikes of the others after
// delay.
func (h *frontHarness) addNode() *Front {
	known := &suspect.Registry{}
	h.node.peers = append(h.node.peers, known)
	return NewFront(FrontConfig{
		Node: h.node, Fleet: h.fleet, Dialect: testDialect{}, Log: event.NewLog(slog.New(slog.DiscardHandler)), Metrics: metric.New(),
		RetryRatio: 1, RetryBurst: 100, Dial: h.dial, Suspects: known,
	})
}

// TestRequestThatEndsItsServersIsContained guards against one request that ends server
// after server: the route's second attempt, and then the caller's repeats, which have
// other IDs.
func TestRequestThatEndsItsServersIsContained(t *testing.T) {
	withDeadlyRequests(t, 0, func(t *testing.T, is *is.I, h *frontHarness) {
		for i := range 4 {
			w, isBroken := h.call("POST", "/draft/x", "deadly", "T-Id", fmt.Sprint("id", i))
			is.True(isBroken || w.Code == 502)
			if i > 0 {
				is.Equal(w.Header().Get(headerCode), fmt.Sprint(int(ring.CodeCrashesServers)))
			}
		}
		is.Equal(h.endedServers(), 2)
		w, _ := h.call("POST", "/draft/x", "harmless", "T-Id", "other") // Requests beside it are served.
		is.Equal(w.Code, 200)
		time.Sleep(11 * time.Minute)                                         // longer than it is remembered
		w, isBroken := h.call("POST", "/draft/x", "deadly", "T-Id", "later") // It is not refused for ever.
		is.True(isBroken || w.Code != 502 || h.endedServers() > 2)
	})
}

// TestRepeatsAtOtherNodesAreContained guards against nodes that know nothing of the
// servers which ended under a request at another node.
func TestRepeatsAtOtherNodesAreContained(t *testing.T) {
	withDeadlyRequests(t, 0, func(t *testing.T, is *is.I, h *frontHarness) {
		fronts := []*Front{h.addNode(), h.addNode(), h.addNode()}
		for i := range 9 {
			h.front = fronts[i%3]
			h.call("POST", "/draft/x", "deadly", "T-Id", fmt.Sprint("id", i))
		}
		is.Equal(h.endedServers(), 2)
	})
}

// TestStreamsBesideACrashAreNotRefused guards against refusing a request because it was at
// servers that ended under others: it has run for a while each time.
func TestStreamsBesideACrashAreNotRefused(t *testing.T) {
	withDeadlyRequests(t, 2*time.Second, func(t *testing.T, is *is.I, h *frontHarness) {
		done := make(chan *httptest.ResponseRecorder)
		go func() {
			w, _ := h.call("POST", "/draft/x", "harmless", "T-Id", "long")
			done <- w
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		h.end(h.requests()[0].server)
		w := <-done
		is.Equal(w.Code, 200)
		is.Equal(len(h.requests()), 2) // It was resumed.
		is.Equal(len(h.node.strikes), 1)
		is.True(!h.node.strikes[0].IsStrong)
	})
}

// TestResetOrLeavingServersAreNoStrike guards against suspecting a request whose
// connection broke although its server lives on or is about to stop.
func TestResetOrLeavingServersAreNoStrike(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		withDeadlyRequests(t, 0, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
				if isLeaving {
					s, _ := h.fleet.Server(ring.VM(server))
					h.fleet.MarkLeaving(s.ID, s.Incarnation, time.Now())
					h.end(server)
				}
			}
			h.call("POST", "/draft/x", "any", "T-Id", "id1")
			is.Equal(len(h.node.strikes), 0)
		})
	}
}

// TestCrashesWithoutACauseRefuseNobody plays crashes that no request causes, one after
// the other and several at once, beside streams of all lengths.
func TestCrashesWithoutACauseRefuseNobody(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 28))
		withDeadlyRequests(t, 300*time.Millisecond, func(t *testing.T, is *is.I, h *frontHarness) {
			done := make(chan string, 30)
			for i := range 30 {
				delay := time.Duration(random.IntN(3000)) * time.Millisecond
				go func() {
					time.Sleep(delay)
					w, _ := h.call("POST", "/draft/x", fmt.Sprint("body", i), "T-Id", fmt.Sprint("id", i))
					done <- w.Header().Get(headerCode)
				}()
			}
			for range 4 { // Of ten servers, one or two at a time.
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				for range 1 + random.IntN(2) {
					h.end(fmt.Sprint("e", 1+random.IntN(10)))
				}
			}
			for range 30 {
				if code := <-done; code == fmt.Sprint(int(ring.CodeCrashesServers)) {
					t.Errorf("seed %d: a request was refused as a suspect", seed)
				}
			}
		})
	}
}

// TestPlainRequestThatEndsItsServersIsContained guards against a request that ends server
// after server of a service without models, by its second attempt and by its caller's
// repeats.
func TestPlainRequestThatEndsItsServersIsContained(t *testing.T) {
	for _, target := range []string{"/read/1", "/write/1"} {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
				if strings.HasSuffix(r.requestLine, "/1 HTTP/1.1") {
					h.restart(server)
					return
				}
				respond(c, 200, r.header.Get("T-Id"), "ok")
			}
			for i := range 8 {
				w, _ := h.call("POST", target, "deadly", "T-Id", fmt.Sprint("id", i))
				is.True(w.Code != 200)
				if i == 7 {
					is.Equal(w.Header().Get(headerCode), fmt.Sprint(int(ring.CodeCrashesServers)))
				}
				time.Sleep(2 * time.Second) // The servers come back meanwhile.
			}
			is.True(len(h.requests()) <= 3)
			w, _ := h.call("GET", "/read/2", "", "T-Id", "other")
			is.Equal(w.Code, 200)
			time.Sleep(partRestart)
		})
	}
}

// TestRequestThatIsServedBetweenCrashesIsNotRefused guards against refusing a request that its
// caller repeats all the time because it was there when two servers ended, minutes apart.
func TestRequestThatIsServedBetweenCrashesIsNotRefused(t *testing.T) {
	withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
		doesEnd := false
		h.handle = func(server string, _ int, r receivedRequest, c net.Conn) {
			if doesEnd {
				doesEnd = false
				h.restart(server)
				return
			}
			respond(c, 200, r.header.Get("T-Id"), "ok")
		}
		for range 4 {
			doesEnd = true
			w, _ := h.call("GET", "/read/1", "")
			is.Equal(w.Code, 200) // by the second attempt
			time.Sleep(time.Minute)
		}
	})
}
