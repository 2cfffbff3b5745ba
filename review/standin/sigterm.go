package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runSigterm: clients with kept connections send one stream after the other. The machine gets
// SIGTERM. A request that it reads later than 3 s after that may not be passed on and then cut.
func runSigterm(e *env) (bool, error) {
	if err := e.setUpModel(3); err != nil {
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
				after, ended := sentAt.Sub(time.Unix(0, at)), time.Since(time.Unix(0, at))
				e.log("second-%d was sent %d ms after SIGTERM, passed on, and ended incomplete %d ms after SIGTERM", i, after.Milliseconds(), ended.Milliseconds())
				// The rule excuses what was sent within 3 s of the SIGTERM, what reached its deadline or
				// timeoutMs (8 s), and what ends later than graceS and 1 s.
				if after > 3*time.Second && b.took < 7900*time.Millisecond && ended < 9*time.Second {
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
