package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// setUpPlain starts nodes and two workers of a service without models.
func (e *env) setUpPlain(nodes int) error {
	e.configure(1, []any{plainRoute("/book/", "unsafe", 1), plainRoute("/look/", "safe", 2)}, []any{plainService()}, []any{tenant("t1", "key-one")})
	for i := 1; i <= 2; i++ {
		if err := e.startWorker(fmt.Sprint("w", i), "records", 100+i); err != nil {
			return err
		}
	}
	if err := e.startNodes(nodes); err != nil {
		return err
	}
	if err := e.awaitReady(nodes); err != nil {
		return err
	}
	for i := 1; i <= nodes; i++ {
		if err := e.awaitService(i, "/look/x?pieces=1", "key-one", ""); err != nil {
			return err
		}
	}
	return nil
}

// runUnframed: worker w1 leaves and is gone 2.5 s after its notice, while requests run whose
// answers end with their connections. No client may get a part of an answer as a success.
func runUnframed(e *env) (bool, error) {
	if err := e.setUpPlain(1); err != nil {
		return false, err
	}
	const pieces = 20 // 4 s
	var broken atomic.Bool
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			id := fmt.Sprint("req-", i)
			a := e.callOnce(1, id, "POST", fmt.Sprintf("/book/%d?as=unframed&pieces=%d&gap=200", i, pieces), "key-one", "Content-Length: 0\r\n", 10*time.Second)
			if a.status == http.StatusOK && a.complete && a.body != wholeBody(id, pieces) {
				e.log("BROKEN: %s was answered with success and %d of the worker's %d pieces", id, strings.Count(a.body, "data:"), pieces)
				broken.Store(true)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if os.Getenv("NOTICE") != "0" { // Without the notice it is a crash, which the node tells from the end of an answer.
		e.signal("w1", syscall.SIGTERM) // It reports draining and goes on.
	}
	if e.isTroubled {
		time.Sleep(2500 * time.Millisecond)
		e.signal("w1", syscall.SIGKILL)
	}
	wait.Wait()
	return broken.Load(), nil
}

// runCrash: a worker crashes, again and again, while requests run whose answers end with their
// connections. No client may get a part of an answer as a success.
func runCrash(e *env) (bool, error) {
	if err := e.setUpPlain(1); err != nil {
		return false, err
	}
	const pieces, rounds = 10, 24 // 1 s
	var broken, partial, failed atomic.Int64
	for round := range rounds {
		victim := fmt.Sprint("victim", round)
		if err := e.startWorker(victim, "records", 110+round); err != nil {
			return false, err
		}
		time.Sleep(time.Second) // Its entry is known by now.
		var wait sync.WaitGroup
		for i := range 30 { // most go to the new worker, which has answered nothing yet
			wait.Go(func() {
				id := fmt.Sprintf("req-%d-%d", round, i)
				a := e.callOnce(1, id, "POST", fmt.Sprintf("/book/%d?as=unframed&pieces=%d&gap=100", i, pieces), "key-one", "Content-Length: 0\r\n", 10*time.Second)
				switch {
				case a.status == http.StatusOK && a.complete && a.body != wholeBody(id, pieces):
					e.log("BROKEN: %s was answered with success and %d of the worker's %d pieces", id, strings.Count(a.body, "data:"), pieces)
					partial.Add(1)
					broken.Store(1)
				case a.status != http.StatusOK:
					failed.Add(1)
				}
			})
		}
		time.Sleep(550 * time.Millisecond)
		if e.isTroubled {
			e.signal(victim, syscall.SIGKILL) // Its entry stays: it has no time to remove it.
		}
		wait.Wait()
		e.signal(victim, syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		e.store.remove("servers/" + victim)
	}
	e.log("%d crashes; %d requests had a part as a success, %d a failure", rounds, partial.Load(), failed.Load())
	return broken.Load() != 0, nil
}

// runSeal: workers answer some requests without the seal.
func runSeal(e *env) (bool, error) {
	if err := e.setUpPlain(1); err != nil {
		return false, err
	}
	broken := false
	for i := range 50 {
		target := fmt.Sprintf("/look/%d?pieces=1", i)
		if e.isTroubled && i%25 == 7 {
			target += "&seal=none"
		}
		a := e.callOnce(1, fmt.Sprint("req-", i), "GET", target, "key-one", "", 3*time.Second)
		if a.status/100 == 2 && a.seal == "" {
			e.log("BROKEN: req-%d was answered with status %d and no seal", i, a.status)
			broken = true
		}
	}
	return broken, nil
}

// runTenant: a configuration takes the last tenant away. Requests with its key that are sent
// later than revokeMs after the acknowledgement may not run.
func runTenant(e *env) (bool, error) {
	if err := e.setUpPlain(2); err != nil {
		return false, err
	}
	c, err := dial(e.front(1))
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	if a := c.call(e, "before", "GET", "/look/x?pieces=1", "key-one", "", 3*time.Second); a.status != http.StatusOK {
		return false, fmt.Errorf("the request before the revocation got status %d", a.status)
	}
	left := []any{}
	if !e.isTroubled {
		left = append(left, tenant("t2", "key-two"))
	}
	e.configure(2, []any{plainRoute("/book/", "unsafe", 1), plainRoute("/look/", "safe", 2)}, []any{plainService()}, left)
	time.Sleep(6 * time.Second) // revokeMs is 5 s
	broken := false
	for i, key := range []string{"key-one", "key-one", "key-nobody-ever-had", ""} {
		id := fmt.Sprint("after-", i)
		var a answer
		if i == 0 {
			a = c.call(e, id, "GET", "/look/x?pieces=1", key, "", 3*time.Second)
		} else {
			a = e.callOnce(1+i%2, id, "POST", "/book/x?pieces=1", key, "Content-Length: 0\r\n", 3*time.Second)
		}
		if a.status == http.StatusOK && a.seal != "" {
			e.log("BROKEN: %s ran with key %q, 6 s after the acknowledgement of a configuration without any key", id, key)
			broken = true
		}
	}
	return broken, nil
}

const modelHeader = "X-Model: m0\r\nX-Token-Count: 40,60\r\nX-Prompt-Prefix: aa:40\r\nContent-Length: 0\r\n"

// setUpModel starts nodes and two workers, each a group of its own.
func (e *env) setUpModel(nodes int) error {
	route := object{"name": "draft", "host": "desk.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "latencyGoalMs": 400, "gapTargetMs": 250, "priority": 1, "service": "lm", "attempts": 2, "public": false, "sticky": true, "resumable": true}
	engine := object{
		"slots": 26, "kvCapacity": 2470000, "kvTokenBytes": 35136, "linkMbps": 400000.0, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309,
		"chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "keepCount": 1, "far_x": 4.0, "formMs": 100.0, "usual": object{"prompt": 1115, "answer": 152},
		"models": []any{object{"name": "m0", "size": 1, "share": 1.0, "pace": 1.0, "loadS": 1.0, "warmS": 0.5}},
	}
	e.configure(1, []any{route}, []any{object{"name": "lm", "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false, "engine": engine}}, []any{tenant("t1", "key-one")})
	for i := 1; i <= 2; i++ {
		if err := e.startWorker(fmt.Sprint("w", i), "lm", 100+i); err != nil {
			return err
		}
	}
	if err := e.startNodes(nodes); err != nil {
		return err
	}
	if err := e.awaitReady(nodes); err != nil {
		return err
	}
	for i := 1; i <= nodes; i++ {
		if err := e.awaitService(i, "/draft/x?as=stream&pieces=1&gap=20", "key-one", modelHeader); err != nil {
			return err
		}
	}
	return nil
}

// runSigterm: clients with kept connections send one stream after the other. The machine gets
// SIGTERM. A request that it reads later than 3 s after that may not be passed on and then cut.
func runSigterm(e *env) (bool, error) {
	if err := e.setUpModel(2); err != nil {
		return false, err
	}
	var broken atomic.Bool
	var wait sync.WaitGroup
	var termAt atomic.Int64
	for i := range 6 {
		wait.Go(func() {
			c, err := dial(e.front(1))
			if err != nil {
				e.log("client %d: %v", i, err)
				return
			}
			defer c.conn.Close()
			// The first stream takes 4.4 s, the second one 5 s.
			a := c.call(e, fmt.Sprintf("first-%d", i), "POST", "/draft/x?as=stream&gap=200&pieces=22", "key-one", modelHeader, 10*time.Second)
			if !a.complete {
				return
			}
			sentAt := time.Now()
			b := c.call(e, fmt.Sprintf("second-%d", i), "POST", "/draft/x?as=stream&gap=200&pieces=25", "key-one", modelHeader, 10*time.Second)
			if at := termAt.Load(); at != 0 && b.status == http.StatusOK && !b.complete {
				after := sentAt.Sub(time.Unix(0, at))
				e.log("second-%d was sent %d ms after SIGTERM, passed on, and ended incomplete %d ms after SIGTERM", i, after.Milliseconds(), time.Since(time.Unix(0, at)).Milliseconds())
				if after > 3*time.Second {
					e.log("BROKEN: second-%d", i)
					broken.Store(true)
				}
			}
		})
	}
	time.Sleep(time.Second)
	if e.isTroubled {
		termAt.Store(time.Now().UnixNano())
		e.signal("node1", syscall.SIGTERM)
	}
	wait.Wait()
	return broken.Load(), nil
}

// runHang: the operator changes the configuration in quick succession while the status of the
// nodes is read. Each node must go on answering.
func runHang(e *env) (bool, error) {
	if err := e.setUpPlain(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var polls atomic.Int64
	var wait sync.WaitGroup
	defer wait.Wait()
	defer close(stop)
	every := func(d time.Duration, f func()) {
		wait.Go(func() {
			t := time.NewTicker(d)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
					f()
				}
			}
		})
	}
	interval := 200 * time.Millisecond
	if text := os.Getenv("STATUS_MS"); text != "" {
		ms, _ := strconv.Atoi(text)
		interval = time.Duration(max(ms, 1)) * time.Millisecond
	}
	status := http.Client{Timeout: 2 * time.Second}
	for n := 1; n <= 3; n++ {
		every(interval, func() { // eelgrass status, as a dashboard repeats it
			polls.Add(1)
			if r, err := status.Get("http://" + e.admin(n) + "/status"); err == nil {
				r.Body.Close()
			}
		})
	}
	routes := []any{plainRoute("/book/", "unsafe", 1), plainRoute("/look/", "safe", 2)}
	grow := func(n int) {
		for range n {
			routes = append(routes, plainRoute(fmt.Sprintf("/idle%d/", len(routes)), "safe", 2))
		}
	}
	grow(110) // the idle routes of the small sites
	version, changes := 1, 0
	begin := time.Now()
	for round := 0; time.Since(begin) < 70*time.Second; round++ {
		for range 12 { // 4 s with a change every 0.33 s
			version += 3
			if e.isTroubled {
				if changes++; changes <= 3 {
					grow(350) // big_config
				} else {
					grow(1)
				}
				e.configure(version, routes, []any{plainService()}, []any{tenant("t1", "key-one")})
			}
			time.Sleep(330 * time.Millisecond)
		}
		time.Sleep(3500 * time.Millisecond) // No disruption for contactMs before the requests.
		if n := e.countHeld(round); n > 0 {
			e.log("BROKEN: %d requests had no answer half a second after their route's timeoutMs, sent %d s after the first change and 3.5 s after the last one; %d status reads so far", n, int(time.Since(begin).Seconds()), polls.Load())
			e.stackHung()
			return true, nil
		}
	}
	e.log("%d status reads", polls.Load())
	return false, nil
}

// countHeld sends five requests to each of three nodes. It returns how many had no answer half
// a second after their route's timeoutMs, or 0 if at no node these are more than half of those
// that had none at timeoutMs.
func (e *env) countHeld(round int) int {
	const timeout = 8 * time.Second
	var held atomic.Int64
	var wait sync.WaitGroup
	for n := 1; n <= 3; n++ {
		wait.Go(func() {
			var late, none atomic.Int64
			var calls sync.WaitGroup
			for i := range 5 {
				calls.Go(func() {
					a := e.callOnce(n, fmt.Sprintf("req-%d-%d-%d", round, n, i), "GET", "/look/x?pieces=1", "key-one", "", timeout+500*time.Millisecond)
					if a.took >= timeout {
						late.Add(1)
					}
					if a.took >= timeout && a.status == 0 {
						none.Add(1)
					}
				})
			}
			calls.Wait()
			if late.Load() > 0 {
				e.log("node %d: %d requests without an answer at timeoutMs, %d of them half a second later; ready: %v", n, late.Load(), none.Load(), e.isReady(n))
			}
			if 2*none.Load() > late.Load() {
				held.Add(none.Load())
			}
		})
	}
	wait.Wait()
	return int(held.Load())
}

// stackHung makes the nodes write their stacks, if NODE_LOG is set.
func (e *env) stackHung() {
	if os.Getenv("NODE_LOG") == "" {
		return
	}
	for n := 1; n <= 3; n++ {
		e.signal(fmt.Sprint("node", n), syscall.SIGQUIT)
	}
	time.Sleep(time.Second)
}
