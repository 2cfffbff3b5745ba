package main

import (
	"fmt"
	"sync"
	"time"
)

// pause is what a full worker says in Retry-After, in seconds.
const pause = "3"

// paused fills the plain workers through one node and sends a few requests more, which they turn
// away. From half a second after that until the end of the pause no more than two requests may
// reach a worker from that node, and here it is the only one with requests.
func paused(d *deployment, isNamed bool) (string, error) {
	const asked, slack = 3 * time.Second, 500 * time.Millisecond
	n, begin := d.nodes[0], time.Now()
	var wait sync.WaitGroup
	for k := range 22 {
		r := request{id: fmt.Sprintf("full-%d", k), route: "sample-lookup", pieces: 12, every: 100 * time.Millisecond, deadline: 3 * time.Second}
		wait.Go(func() { d.send(n, r) })
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(asked)
	broken := ""
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, all := range d.arrivals {
		for i, refused := range all {
			if !refused.isRefused || refused.at.Before(begin) {
				continue
			}
			later := 0
			for _, a := range all[i+1:] {
				if since := a.at.Sub(refused.at); since > slack && since < asked {
					later++
				}
			}
			if isNamed && later > 2 {
				broken += fmt.Sprintf("worker %s turned a request of %s away with Retry-After %s and then got %d from it in that time; ", id, n.name, pause, later)
				break
			}
		}
	}
	return broken, nil
}
