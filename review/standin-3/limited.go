package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// limit is what each plain worker takes a second, and says in its answers.
const limit = "20"

// limited sends more lookups than the workers take for some seconds. No worker may get more than
// one and a half times its limit, and 5, in any 4 s that begin contactMs after it first named it.
// The case "framed" is the same with answers that have a length.
func limited(d *deployment, isNamed bool) (string, error) {
	const (
		window  = 4 * time.Second
		length  = 16 * time.Second
		clients = 10 // at each node
	)
	begin := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, n := range d.nodes {
		for c := range clients {
			wait.Go(func() {
				for k := 0; time.Since(begin) < length; k++ {
					out := call(n.callers, request{id: fmt.Sprintf("l%d-%d-%d", i, c, k), route: "sample-lookup", pieces: 1, every: 20 * time.Millisecond, deadline: 3 * time.Second})
					mu.Lock()
					statuses[out.status]++
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	wait.Wait()
	d.record.say("clients got these statuses: %v", statuses)
	perSecond, _ := strconv.ParseFloat(limit, 64)
	allowed := int(1.5*perSecond*window.Seconds()) + 5
	broken := ""
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, all := range d.arrivals {
		most, health := 0, 0
		for first := range all {
			if all[first].at.Before(begin.Add(contact)) {
				continue
			}
			n, checks := 0, 0
			for _, a := range all[first:] {
				if a.at.Sub(all[first].at) < window {
					n++
					if a.isHealth {
						checks++
					}
				}
			}
			if n > most {
				most, health = n, checks
			}
		}
		d.record.say("worker %s got at most %d requests in %v, %d of them health checks; %d are allowed", id, most, window, health, allowed)
		if isNamed && most > allowed { // Without a limit in the answers the rule allows any number.
			broken += fmt.Sprintf("worker %s with Server-Limit %s got %d requests in %v, %d of them health checks, and %d are allowed; ", id, limit, most, window, health, allowed)
		}
	}
	return broken, nil
}
