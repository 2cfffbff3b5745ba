package gateway

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrassring.dev/internal/drain"
)

// drainDay is a node that serves callers on kept connections and then drains, while its
// servers fall silent now and then.
type drainDay struct {
	t     *testing.T
	conns *pipeListener
	// drainAt is when the node begins to drain.
	drainAt time.Time

	mu     sync.Mutex
	random *rand.Rand
	lastID int
	// runs counts how often servers received each request, and outcomes holds what the
	// callers got.
	runs     map[string]int
	outcomes map[string]outcome
}

// outcome is what a caller got for a request. err is set if its connection ended before
// the complete response.
type outcome struct {
	target string
	status int
	text   string
	err    error
}

// number returns a random number below n.
func (d *drainDay) number(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// nextID returns a new request ID.
func (d *drainDay) nextID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	return fmt.Sprintf("id%d", d.lastID)
}

// serve answers a request in up to 0.3 s; three in ten times the server is silent at a
// random point for 1 to 2 s.
func (d *drainDay) serve(_ string, _ int, r receivedRequest, c net.Conn) {
	id := r.header.Get("T-Id")
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	silentAt := d.number(10)
	pause := func(point int) {
		time.Sleep(time.Duration(d.number(100)) * time.Millisecond)
		if point == silentAt {
			time.Sleep(time.Second + time.Duration(d.number(1000))*time.Millisecond)
		}
	}
	pause(0)
	if !strings.Contains(r.requestLine, "/draft/") && !strings.Contains(r.requestLine, "/single/") {
		text := streamText(4)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-", id)
		pause(1)
		fmt.Fprintf(c, "Length: %d\r\n\r\n%s", len(text), text[:20])
		pause(2)
		fmt.Fprint(c, text[20:])
		return
	}
	next := 1
	if last, ok := numericEventID(r.header.Get("Last-Event-Id")); ok {
		next = int(last) + 1
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for ; next <= 4; next++ {
		pause(next)
		writeChunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", next, next))
	}
	pause(5)
	endStream(c)
}

// call sends a request with a new ID on a connection and records its outcome. It
// returns false if the connection is not to be used again.
func (d *drainDay) call(c *keptConn) bool {
	id := d.nextID()
	target := []string{"/read/1", "/write/1", "/draft/1", "/single/1"}[d.number(4)]
	sentAt := time.Now()
	response, text, err := c.call("POST", target, "x", "T-Id: "+id+"\r\n")
	got := outcome{target: target, text: text, err: err}
	if response != nil {
		got.status = response.StatusCode
	}
	d.mu.Lock()
	d.outcomes[id] = got
	d.mu.Unlock()
	if err == nil && !response.Close && sentAt.After(d.drainAt) {
		d.t.Errorf("%s to %s: the response of a draining node lets the caller stay", id, target)
	}
	return err == nil && !response.Close
}

// callUntil makes calls on kept connections, with pauses, and opens new ones until the
// time at which the load balancer has noticed the drain. After that, it goes on until
// its last connection is closed.
func (d *drainDay) callUntil(noticedAt time.Time) {
	for time.Now().Before(noticedAt) {
		client, conn := net.Pipe()
		select {
		case d.conns.conns <- conn:
		case <-d.conns.done:
			return
		}
		c := &keptConn{Conn: client, in: bufio.NewReader(client)}
		for d.call(c) {
			time.Sleep(time.Duration(d.number(300)) * time.Millisecond)
		}
		client.Close()
	}
}

// check reports the violations of one day.
func (d *drainDay) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, got := range d.outcomes {
		n := d.runs[id]
		switch {
		case n > 1 && !mayRepeat(got.target):
			d.t.Errorf("%s to %s was sent %d times", id, got.target, n)
		case n > 0 && got.err != nil:
			d.t.Errorf("%s to %s was sent, and its connection ended without a complete response: %v", id, got.target, got.err)
		case n > 0 && got.status == http.StatusServiceUnavailable:
			d.t.Errorf("%s to %s was sent, and refused as not run", id, got.target)
		case got.status == http.StatusOK && got.text != streamText(4):
			d.t.Errorf("%s to %s has the wrong response %q", id, got.target, got.text)
		}
	}
}

// TestNoRequestIsLostWhileTheNodeDrains guards against requests that end without a
// response around a planned stop: callers keep their connections and send on, others
// connect until the load balancer has noticed, and servers fall silent and go on.
func TestNoRequestIsLostWhileTheNodeDrains(t *testing.T) {
	for seed := range uint64(20) {
		withFrontHarness(t, func(t *testing.T, is *is.I, h *frontHarness) {
			const lag, grace = 2 * time.Second, 7500 * time.Millisecond
			d := &drainDay{t: t, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}, outcomes: map[string]outcome{}}
			d.conns = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
			d.drainAt = time.Now().Add(3 * time.Second)
			h.handle = d.serve
			server := drain.NewServer(&http.Server{Handler: h.front, ReadHeaderTimeout: time.Minute})
			var running sync.WaitGroup
			running.Go(func() { _ = server.Serve(d.conns) })
			for range 12 {
				running.Go(func() { d.callUntil(d.drainAt.Add(lag)) })
			}
			time.Sleep(time.Until(d.drainAt))
			h.node.setDraining(true)
			time.Sleep(lag)
			ctx, cancel := context.WithDeadline(context.Background(), d.drainAt.Add(grace))
			defer cancel()
			if err := server.Drain(ctx); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			running.Wait()
			d.check()
			is.True(len(d.outcomes) > 50)
		})
	}
}
