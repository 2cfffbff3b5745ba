package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runUnframed: worker w1 leaves and is gone 2.5 s after its notice, while requests run whose
// answers end with their connections. No client may get a part of an answer as a success.
func runUnframed(e *env) (bool, error) {
	if err := e.setUpPlain(1, 4); err != nil {
		return false, err
	}
	const pieces = 20 // 4 s
	var broken atomic.Bool
	var wait sync.WaitGroup
	for i := range 24 { // about 6 at each of four workers
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
