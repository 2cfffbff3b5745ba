package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runHang: the operator changes the configuration in quick succession while the status of the
// nodes is read. Each node must go on answering.
func runHang(e *env) (bool, error) {
	if err := e.setUpPlain(3, 2); err != nil {
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
// a second after their route's timeoutMs, or 0 if these are not more than half of those that had
// none at timeoutMs.
func (e *env) countHeld(round int) int {
	const timeout = 8 * time.Second
	var late, none atomic.Int64
	var calls sync.WaitGroup
	for n := 1; n <= 3; n++ {
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
	}
	calls.Wait()
	if late.Load() > 0 {
		e.log("%d requests without an answer at timeoutMs, %d of them half a second later; ready: %v %v %v", late.Load(), none.Load(), e.isReady(1), e.isReady(2), e.isReady(3))
	}
	if 2*none.Load() <= late.Load() {
		return 0
	}
	return int(none.Load())
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
