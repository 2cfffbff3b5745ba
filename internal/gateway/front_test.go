package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/metric"
	"eelgrassring.dev/internal/retry"
	"eelgrassring.dev/internal/route"
)

// testDialect uses headers of its own.
type testDialect struct{}

func (testDialect) ReadCall(h http.Header) (ring.CallHeader, error) {
	out := ring.CallHeader{ID: h.Get("T-Id"), Key: h.Get("T-Key"), Model: ring.Model(h.Get("T-Model")), LastEvent: h.Get("Last-Event-Id")}
	if text := h.Get("T-Patience"); text != "" {
		span, err := time.ParseDuration(text)
		if err != nil {
			return out, err
		}
		out.Patience = span
	}
	if out.ID == "" {
		return out, errors.New("no id")
	}
	return out, nil
}

func (testDialect) WriteTry(h http.Header, t ring.TryHeader) {
	h.Del("T-Key")
	h.Set("T-Left", t.Left.String())
	h.Set("T-Server", string(t.Server))
	h.Set("T-Workspace", string(t.Workspace))
	if t.LastEvent != "" {
		h.Set("Last-Event-Id", t.LastEvent)
	}
}

func (testDialect) ReadAnswer(status int, h http.Header) ring.AnswerHeader {
	return ring.AnswerHeader{ID: h.Get("T-Id"), NotRun: h.Get("T-NotRun") != "" || status == http.StatusMisdirectedRequest}
}

func (testDialect) WriteFailure(h http.Header, id string, f *ring.Failure, now time.Time) {
	h.Set("T-Id", id)
	if !f.RetryAt.IsZero() {
		h.Set("T-Retry", f.RetryAt.Sub(now).String())
	}
}

// testNode is the authority of a front.
type testNode struct {
	mu        sync.Mutex
	table     *route.Table
	confirmed bool
	draining  bool
}

func (n *testNode) Routing() *route.Table {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table
}

func (n *testNode) set(table *route.Table, confirmed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table, n.confirmed = table, confirmed
}

func (n *testNode) MayAcceptAPIKeys() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmed
}

func (n *testNode) IsDraining() bool { return n.draining }
func (n *testNode) NodeCount() int   { return 1 }
func (n *testNode) SendDigestSoon()  {}

func (n *testNode) ShareRetries(func(time.Time) retry.Use) *retry.Pool { return nil }
func (n *testNode) AnnouncePrefill(ring.Epoch, time.Duration)          {}

// seenRequest is a request as a server got it.
type seenRequest struct {
	server string
	head   string
	header http.Header
	body   []byte
}

// bench is a front before servers that a test plays.
type bench struct {
	front  *Front
	node   *testNode
	fleet  *fleet.Fleet
	mu     sync.Mutex
	got    []seenRequest
	ended  map[string]time.Time
	play   func(server string, n int, r seenRequest, c net.Conn)
	refuse map[string]bool
	// running counts the servers' connections.
	running sync.WaitGroup
}

func testRouting(keys ...string) *ring.Routing {
	return &ring.Routing{
		Number: 1,
		Routes: []ring.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: ring.CallIdempotent, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, Tries: 2, Portions: []ring.Portion{{Service: "app", Weight: 1}}},
			{Name: "write", Host: "h", Prefix: "/write/", Kind: ring.CallOnce, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, Tries: 2, Portions: []ring.Portion{{Service: "app", Weight: 1}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: ring.CallStream, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, Tries: 2, Resumable: true, Portions: []ring.Portion{{Service: "engine", Weight: 1}}},
			{Name: "single", Host: "h", Prefix: "/single/", Kind: ring.CallStream, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, Tries: 2, Portions: []ring.Portion{{Service: "engine", Weight: 1}}},
		},
		Services: []ring.RoutedService{
			{Name: "app"},
			{Name: "engine", Slots: 4, Models: []ring.ReplicaModel{{Name: "m", Size: 1, Pace: 1, Share: 1}}, Rates: ring.EngineRates{ReadPerSecond: 50_000}},
		},
		Holders: []ring.KeyHolder{{Workspace: "lab", Keys: keys}},
	}
}

func newBench(t testing.TB) *bench {
	t.Helper()
	b := &bench{node: &testNode{table: route.NewTable(testRouting("k")), confirmed: true}, fleet: fleet.New(), ended: map[string]time.Time{}, refuse: map[string]bool{}}
	for i, id := range []string{"a", "b", "c"} {
		b.fleet.Put(ring.Server{ID: ring.VM(id), Service: "app", Address: id, Slots: 6}, ring.Revision(i+1))
	}
	for i, id := range []string{"e1", "e2"} {
		b.fleet.Put(ring.Server{
			ID: ring.VM(id), Service: "engine", Address: id, Slots: 4, Model: "m",
			Place: ring.Place{Group: ring.Group("g" + id), Epoch: ring.Epoch(i + 1), State: ring.MemberOpen},
		}, ring.Revision(i+10))
	}
	b.front = NewFront(FrontConfig{
		Node: b.node, Fleet: b.fleet, Dialect: testDialect{}, Log: event.NewLog(slog.New(slog.DiscardHandler)), Metrics: metric.New(),
		RetryPart: 1, RetryBurst: 100, Dial: b.dial,
	})
	return b
}

// dial opens a connection to a played server.
func (b *bench) dial(_ context.Context, _, address string) (net.Conn, error) {
	if b.refuse[address] {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	near, far := net.Pipe()
	b.running.Go(func() { b.serve(address, far) })
	return near, nil
}

func (b *bench) serve(server string, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	head, err := in.Peek(1)
	if err != nil || len(head) == 0 {
		return
	}
	var raw bytes.Buffer
	req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(in, &raw)))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	line, _, _ := strings.Cut(raw.String(), "\r\n")
	r := seenRequest{server: server, head: line, header: req.Header, body: body}
	b.mu.Lock()
	b.got = append(b.got, r)
	n := len(b.got)
	b.mu.Unlock()
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, in)
		b.mu.Lock()
		b.ended[server] = time.Now()
		b.mu.Unlock()
		close(gone)
	}()
	b.play(server, n, r, c)
	_ = c.SetDeadline(time.Now())
	<-gone
}

func (b *bench) requests() []seenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]seenRequest(nil), b.got...)
}

// answer writes a whole answer.
func answer(c net.Conn, status int, id, body string, extra ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Length: %d\r\n%s\r\n%s", status, id, len(body), strings.Join(extra, ""), body)
}

// call makes one call; broken is set when the answer was broken off.
func (b *bench) call(method, target, body string, header ...string) (w *httptest.ResponseRecorder, broken bool) {
	return b.callWith(context.Background(), method, target, body, header...)
}

func newCall(ctx context.Context, method, target, body string, header ...string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	r.RequestURI, r.Host = target, "h"
	r.Header.Set("T-Id", "id1")
	r.Header.Set("T-Key", "k")
	r.Header.Set("T-Model", "m")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (b *bench) callWith(ctx context.Context, method, target, body string, header ...string) (w *httptest.ResponseRecorder, broken bool) {
	w = httptest.NewRecorder()
	return w, b.serveTo(w, newCall(ctx, method, target, body, header...))
}

// serveTo serves a call; it reports whether the answer was broken off.
func (b *bench) serveTo(w http.ResponseWriter, r *http.Request) (broken bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			broken = true
		}
	}()
	b.front.ServeHTTP(w, r)
	return false
}

func inBubble(t *testing.T, do func(t *testing.T, is *is.I, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		do(t, is.New(t), b)
		b.running.Wait()
	})
}

func TestRequestPassesByteForByte(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) {
			answer(c, 200, "id1", "done", "X-Other: 1\r\n")
		}
		w, _ := b.call("POST", "/write//a/../%41?x=%20&y", "body\x00bytes", "T-Workspace", "someone", "X-Mine", "z", "Connection", "X-Hop", "X-Hop", "1")
		is.Equal(w.Code, 200)
		is.Equal(w.Body.String(), "done")
		is.Equal(w.Header().Get("T-Seal"), "s")
		got := b.requests()[0]
		is.Equal(got.head, "POST /write//a/../%41?x=%20&y HTTP/1.1")
		is.Equal(string(got.body), "body\x00bytes")
		is.Equal(got.header.Get("T-Workspace"), "lab") // whatever the caller said
		is.Equal(got.header.Get("T-Key"), "")          // the key stays here
		is.Equal(got.header.Get("X-Mine"), "z")
		is.Equal(got.header.Get("X-Hop"), "")
		is.Equal(got.header.Get("Accept-Encoding"), "")
		is.Equal(got.header.Get("T-Server"), got.server)
	})
}

func TestTimeHandedOnIsWhatIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, n int, _ seenRequest, c net.Conn) {
			if n == 2 {
				answer(c, 200, "id1", "ok")
				return
			}
			time.Sleep(5 * time.Second) // The first server hangs.
		}
		w, _ := b.call("GET", "/read/1", "", "T-Patience", "1s")
		is.Equal(w.Code, 200)
		got := b.requests()
		first, _ := time.ParseDuration(got[0].header.Get("T-Left"))
		second, _ := time.ParseDuration(got[1].header.Get("T-Left"))
		is.True(first <= time.Second && first > 900*time.Millisecond)
		is.True(second < first-200*time.Millisecond)
		is.True(got[0].server != got[1].server)
	})
}

func TestNonIdempotentCallNeverRunsTwice(t *testing.T) {
	for name, play := range map[string]func(c net.Conn){
		"closed":    func(c net.Conn) {},
		"truncated": func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nT-Id: id1\r\nContent-Length: 10\r\n\r\nhalf") },
		"no answer": func(c net.Conn) { fmt.Fprint(c, "garbage\r\n\r\n") },
		"foreign":   func(c net.Conn) { answer(c, 200, "id0", "another's") },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, is *is.I, b *bench) {
				b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { play(c) }
				w, _ := b.call("POST", "/write/1", "x")
				is.Equal(len(b.requests()), 1)
				is.Equal(w.Code, 502) // it may have run, and nothing else is said
				is.True(!strings.Contains(w.Body.String(), "another's"))
			})
		})
	}
}

func TestHangingNonIdempotentCallIsAnsweredInTime(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { time.Sleep(time.Minute) }
		begin := time.Now()
		w, _ := b.call("POST", "/write/1", "x")
		is.Equal(w.Code, 504)
		is.Equal(len(b.requests()), 1)
		took := time.Since(begin)
		is.True(took <= 2*time.Second && took > 1900*time.Millisecond)
	})
}

func TestPromiseOfTheServerIsPassedOnAsNotRun(t *testing.T) {
	for _, status := range []int{429, 503, 421} {
		inBubble(t, func(t *testing.T, is *is.I, b *bench) {
			b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { answer(c, status, "id1", "", "T-NotRun: 1\r\n") }
			w, _ := b.call("POST", "/write/1", "x")
			is.Equal(w.Code, 503)
			is.True(w.Header().Get("T-Retry") != "")
			is.Equal(w.Header().Get("T-Seal"), "") // the answer is this system's own
		})
	}
}

func TestRefusalAfterARunThatMayHaveBeenPromisesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, n int, _ seenRequest, c net.Conn) {
			if n == 2 {
				answer(c, 503, "id1", "", "T-NotRun: 1\r\n")
			} // The first connection is closed without an answer.
		}
		w, _ := b.call("GET", "/read/1", "")
		is.Equal(len(b.requests()), 2)
		is.Equal(w.Code, 502)
	})
}

func TestServersOwnFailureGoesThroughUnchanged(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { answer(c, 500, "id1", "its own words") }
		w, _ := b.call("POST", "/write/1", "x")
		is.Equal(w.Code, 500)
		is.Equal(w.Body.String(), "its own words")
		is.Equal(w.Header().Get("T-Seal"), "s")
	})
}

func TestIdempotentCallGoesToAnotherServerWithinItsTries(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, n int, _ seenRequest, c net.Conn) {
			if n < 2 {
				answer(c, 500, "id1", "bad")
				return
			}
			answer(c, 200, "id1", "good")
		}
		w, _ := b.call("GET", "/read/1", "")
		is.Equal(w.Body.String(), "good")
		got := b.requests()
		is.Equal(len(got), 2)
		is.True(got[0].server != got[1].server)
	})
}

func TestTriesAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { answer(c, 500, "id1", "bad") }
		w, _ := b.call("GET", "/read/1", "")
		is.Equal(w.Code, 500)
		is.Equal(len(b.requests()), 2)
	})
}

func TestUnreachableServerIsNoTry(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.refuse["a"] = true
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { answer(c, 200, "id1", "ok") }
		for range 8 {
			w, _ := b.call("POST", "/write/1", "x")
			is.Equal(w.Code, 200)
		}
	})
}

func TestExtraAnswerReachesNobody(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, n int, r seenRequest, c net.Conn) {
			id := r.header.Get("T-Id")
			answer(c, 200, id, "own "+id)
			answer(c, 200, "id0", "extra")
		}
		for i := range 5 {
			id := fmt.Sprintf("id%d", i+10)
			w, _ := b.call("GET", "/read/1", "", "T-Id", id)
			is.Equal(w.Body.String(), "own "+id)
		}
	})
}

func TestKeysAndRoutes(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { answer(c, 200, "id1", "ok") }
		w, _ := b.call("GET", "/read/1", "", "T-Key", "other")
		is.Equal(w.Code, 401)
		w, _ = b.call("GET", "/none/1", "")
		is.Equal(w.Code, 404)
		b.node.set(route.NewTable(testRouting("k")), false)
		for _, target := range []string{"/read/1", "/none/1"} {
			w, _ = b.call("GET", target, "", "T-Key", "other")
			is.Equal(w.Code, 503) // a node that cannot confirm its routes denies nothing
		}
		b.node.set(nil, false)
		w, _ = b.call("GET", "/read/1", "")
		is.Equal(w.Code, 503)
		is.Equal(len(b.requests()), 0)
	})
}

func TestKeyIsCheckedAgainBeforeEachDispatch(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) {
			b.node.set(route.NewTable(testRouting("new")), true) // revoked while the first try runs
		}
		w, _ := b.call("GET", "/read/1", "")
		is.Equal(len(b.requests()), 1)
		is.Equal(w.Code, 502) // the first try may have run
	})
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.play = func(_ string, _ int, _ seenRequest, c net.Conn) { time.Sleep(time.Minute) }
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		time.AfterFunc(100*time.Millisecond, cancel)
		b.callWith(ctx, "GET", "/read/1", "")
		is.True(time.Since(begin) < 200*time.Millisecond)
		synctest.Wait()
		is.Equal(len(b.requests()), 1) // no other server is asked for it
		b.mu.Lock()
		defer b.mu.Unlock()
		is.True(b.ended[b.got[0].server].Sub(begin) < 500*time.Millisecond)
	})
}
