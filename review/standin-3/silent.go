package main

import (
	"fmt"
	"sync"
	"time"
)

// contact is contactMs of the site: machines are in touch again that long after their
// connections were reset, or went silent, which counts as a reset.
const contact = 3 * time.Second

// burst sends n requests to each node at once and returns when all are answered.
func (d *deployment) burst(prefix string, n int) []request {
	var wait sync.WaitGroup
	var out []request
	for i, node := range d.nodes {
		for k := range n {
			r := request{id: fmt.Sprintf("%s-%d-%d", prefix, i, k), route: "sample-lookup", pieces: 1, every: 5 * time.Millisecond, deadline: 3 * time.Second}
			out = append(out, r)
			wait.Go(func() { d.send(node, r) })
		}
	}
	wait.Wait()
	return out
}

// silentRounds is how often silentDrain tries: how soon a node looks again depends on when its
// calls to the store began.
const silentRounds = 5

// silentDrain lets the connections to the store go silent, and a worker leave 0.9 s later. Nobody
// asks for the worker's service until the nodes are in touch again and drainMs has passed. From
// then on no request may reach the worker.
func silentDrain(d *deployment, trouble bool) (string, error) {
	const drain = 2 * time.Second
	for round := range silentRounds {
		time.Sleep(7 * time.Second) // All nodes are in touch, and the workers listed.
		leaving := fmt.Sprintf("i-p%d", round%3)
		if round >= 3 {
			leaving += "n"
		}
		begin := time.Now()
		if trouble {
			d.record.say("%d connections to the store go silent", d.link.silence())
		}
		time.Sleep(time.Until(begin.Add(900 * time.Millisecond)))
		acked := d.leave(leaving)
		time.Sleep(time.Until(later(begin.Add(contact), acked.Add(drain)).Add(150 * time.Millisecond)))
		sent := time.Now()
		for _, r := range d.burst(fmt.Sprintf("look%d", round), 6) {
			for _, id := range d.runsOf(r.id) {
				if id == leaving {
					return fmt.Sprintf("round %d: %s was sent %v after the connections went silent and %v after the store had accepted that %s drains, and was run by it", round, r.id, sent.Sub(begin), sent.Sub(acked), id), nil
				}
			}
		}
		w := d.worker(leaving)
		w.kill()
		d.store.remove("servers/" + leaving)
		if err := d.startWorker(leaving+"n", plainService, "", freePort()); err != nil {
			return "", err
		}
	}
	return "", nil
}

// leave makes a worker report that it drains, and returns when the store had accepted it.
func (d *deployment) leave(id string) time.Time {
	revision := d.store.current()
	d.worker(id).signal(sigLeave)
	for d.store.stateOf(id, revision) != "draining" {
		time.Sleep(time.Millisecond)
	}
	acked := time.Now()
	d.record.say("the store has accepted that %s drains", id)
	return acked
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
