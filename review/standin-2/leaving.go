package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// longer is how long a leaving worker serves after drainMs, and then exits.
	longer = 250 * time.Millisecond
)

// startSite starts four workers whose requests take the longest time of the sheet, and six nodes.
func startSite(s *site) ([]*workerProcess, []*node, error) {
	s.configure("unsafe", 1500, 300, 1)
	var workers []*workerProcess
	for i := range 4 {
		w, err := s.startWorker(fmt.Sprintf("i-7f3a91c%d", i), freePort("127.0.0.2"), "--work", "450ms")
		if err != nil {
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	var nodes []*node
	for i := range 6 {
		n, err := s.startNode(i + 1)
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.awaitReady(10 * time.Second) {
			return nil, nil, fmt.Errorf("%s is not ready", n.name)
		}
	}
	return workers, nodes, nil
}

// askAll sends each node a few requests at the same time.
func (s *site) askAll(nodes []*node, each int, name string) []outcome {
	outcomes := make([]outcome, each*len(nodes))
	var wait sync.WaitGroup
	for i := range outcomes {
		wait.Go(func() {
			outcomes[i] = s.ask(nodes[i%len(nodes)], http.MethodPost, fmt.Sprintf("9c41d07be2a3%s%02x", name, i), 3*time.Second)
		})
	}
	wait.Wait()
	return outcomes
}

// leave makes a worker leave: it says so in its answers, reports it as draining or removes its entry,
// serves for drainMs after the acknowledgement and a little longer, and exits. DRAIN holds if no
// request that is sent later than drainMs after the acknowledgement reaches it.
func (s *site) leave(w *workerProcess, nodes []*node, removes bool) (bool, error) {
	_, _ = w.in.Write([]byte("leaving\n"))
	var acknowledged time.Time
	if removes {
		acknowledged = s.store.set("servers/"+w.id, nil)
		s.note("registry: %s is gone", w.id)
	} else {
		acknowledged = s.register(w, "draining")
	}
	exit := time.AfterFunc(time.Until(acknowledged.Add(drain+longer)), func() {
		s.note("worker %s exits", w.id)
		_ = w.in.Close()
	})
	defer exit.Stop()
	time.Sleep(time.Until(acknowledged.Add(drain + 50*time.Millisecond)))
	holds, served := true, 0
	for _, o := range s.askAll(nodes, 4, "b0") {
		if o.status == http.StatusOK {
			served++
		}
		if slices.Contains(s.ranAt(o.attempt), w.id) {
			s.note("DRAIN: %s, sent %d ms after the acknowledgement, reached %s; its client got status %d", o.attempt, o.sentAt.Sub(acknowledged).Milliseconds(), w.id, o.status)
			holds = false
		}
	}
	s.note("%d requests were served after drainMs", served)
	if served == 0 {
		return false, fmt.Errorf("nothing was served after drainMs")
	}
	return holds, nil
}
