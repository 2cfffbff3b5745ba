package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runCrash: a worker crashes, again and again, while requests run whose answers end with their
// connections. No client may get a part of an answer as a success.
func runCrash(e *env) (bool, error) {
	if err := e.setUpPlain(1, 5); err != nil {
		return false, err
	}
	const pieces, rounds = 10, 18 // 1 s
	var broken, partial, failed atomic.Int64
	for round := range rounds {
		victim := fmt.Sprint("victim", round)
		if err := e.startWorker(victim, "records", 110+round); err != nil {
			return false, err
		}
		time.Sleep(time.Second) // Its entry is known by now.
		var wait sync.WaitGroup
		for i := range 60 { // many go to the new worker, which has answered nothing yet
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
		if !e.isTroubled {
			e.signal(victim, syscall.SIGTERM) // It leaves when it has answered.
		}
		time.Sleep(3200 * time.Millisecond)
		if !e.isTroubled {
			e.signal(victim, syscall.SIGKILL)
		}
		e.store.remove("servers/" + victim) // After three heartbeats of 1.2 s of silence.
	}
	e.log("%d crashes; %d requests had a part as a success, %d a failure", rounds, partial.Load(), failed.Load())
	return broken.Load() != 0, nil
}
