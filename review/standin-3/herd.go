package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// herdRounds is how often the head of a group is silent. Two groups have 26 places each, and 4 in a
// queue; herdStreams run at once, a few more or less a group by the nodes' choice.
const (
	herdRounds  = 7
	herdStreams = 41
)

// herd lets the head of one of two groups, a sound worker, be silent for a second while all its
// streams are under way. Each machine got a SIGHUP before, which is planned work: of the requests
// that were passed on to a worker, no connection may end without a complete answer.
func herd(d *deployment, trouble bool) (string, error) {
	for round := range herdRounds {
		time.Sleep(7 * time.Second) // All machines are in touch, and both groups serve.
		if broken := d.herdRound(round, trouble); broken != "" {
			return broken, nil
		}
	}
	return "", nil
}

func (d *deployment) herdRound(round int, trouble bool) string {
	const silence = time.Second
	for _, n := range d.nodes {
		n.signal(syscall.SIGHUP)
	}
	d.record.say("each node gets SIGHUP")
	time.Sleep(50 * time.Millisecond)
	var wait sync.WaitGroup
	var mu sync.Mutex
	results := map[string]result{}
	begin := time.Now()
	prefix := fmt.Sprintf("check%d-", round)
	for k := range herdStreams {
		r := request{id: fmt.Sprint(prefix, k), route: "assay-check", pieces: 48, every: 80 * time.Millisecond, deadline: 5 * time.Second}
		wait.Go(func() {
			out := d.send(d.nodes[k%len(d.nodes)], r)
			mu.Lock()
			defer mu.Unlock()
			results[r.id] = out
		})
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(begin.Add(2900 * time.Millisecond)))
		head := d.worker(d.busiest(prefix))
		d.record.say("worker %s is silent", head.id)
		head.signal(syscall.SIGSTOP)
		time.Sleep(silence)
		head.signal(syscall.SIGCONT)
		d.record.say("worker %s goes on", head.id)
	}
	wait.Wait()
	var lost []string
	for id, out := range results {
		isLate := out.took > 4900*time.Millisecond // The deadline and the route's time-out are 5 s.
		hasLeft := out.gap >= 2*time.Second        // The client abandons a stream after such a gap.
		if len(d.runsOf(id)) > 0 && !out.isComplete && !isLate && !hasLeft {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	first := results[lost[0]]
	return fmt.Sprintf("%d of %d streams that a worker ran ended without a complete answer before their deadline (one after %v, %v after its last event): %s", len(lost), herdStreams, first.took.Round(time.Millisecond), first.gap.Round(time.Millisecond), strings.Join(lost, " "))
}

// busiest returns the worker that runs most of the requests whose IDs begin with prefix.
func (d *deployment) busiest(prefix string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs, out := map[string]int{}, ""
	for id, workers := range d.runners {
		if strings.HasPrefix(id, prefix) {
			runs[workers[0]]++
		}
	}
	for id, n := range runs {
		if out == "" || n > runs[out] {
			out = id
		}
	}
	d.record.say("requests by worker: %v", runs)
	return out
}
