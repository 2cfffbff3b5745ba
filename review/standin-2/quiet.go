package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playQuiet lets the head of a group, a sound worker, fall silent for a second or so while it answers
// with streams that may not be resumed, just after a SIGHUP of the machines. LOST holds if each client
// gets its whole stream.
func playQuiet(s *site, trouble bool) (bool, error) {
	s.configureEngine(false)
	lines := make(chan line, 1000)
	var workers []*memberProcess
	for i := range 4 {
		m, err := s.startMember(fmt.Sprintf("i-7f3a91c%d", i), lines)
		if err != nil {
			return false, err
		}
		workers = append(workers, m)
	}
	var nodes []*node
	for i := range 3 {
		n, err := s.startNode(i + 1)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	open := make(chan *memberProcess, 10)
	broken := map[string]string{}
	var mu sync.Mutex
	go func() {
		for l := range lines {
			switch l.words[0] {
			case "state":
				var state memberState
				if json.Unmarshal([]byte(strings.Join(l.words[2:], " ")), &state) == nil {
					l.from.state = state
					s.enter(l.from)
				}
				if g := state.Group; g != nil {
					s.note("%s is %s in %s, rank %d", l.from.id, g.State, g.Name, g.Rank)
					if g.State == "open" {
						open <- l.from
					}
				}
			case "broke":
				mu.Lock()
				broken[l.words[2]] = strings.Join(l.words, " ")
				mu.Unlock()
				s.note("%s", strings.Join(l.words, " "))
			case "order", "run", "done":
				s.note("%s", strings.Join(l.words, " "))
			}
		}
	}()
	var head *memberProcess
	select {
	case head = <-open:
	case <-time.After(10 * time.Second):
		return false, fmt.Errorf("no group has opened")
	}
	for _, n := range nodes {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%s is not ready", n.name)
		}
	}
	time.Sleep(4 * time.Second)
	for _, n := range nodes {
		s.note("SIGHUP to %s", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	}
	outcomes := make([]outcome, 9)
	var wait sync.WaitGroup
	for i := range outcomes {
		n, attempt := nodes[i%len(nodes)], fmt.Sprintf("9c41d07be2a35f%02x", i)
		r, _ := http.NewRequest(http.MethodPost, "http://"+n.callers+"/lohu930/2f", strings.NewReader(strings.Repeat("x", 1500)))
		r.Header.Set("X-Model", "daka510000")
		r.Header.Set("X-Token-Count", "1460,240")
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%08x:1420", i+1))
		wait.Go(func() { outcomes[i] = s.send(r, apiKey, n, attempt, 8*time.Second) })
	}
	time.Sleep(time.Second)
	if trouble {
		s.note("%s falls silent", head.id)
		_ = head.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		_ = head.cmd.Process.Signal(syscall.SIGCONT)
		s.note("%s goes on", head.id)
	}
	wait.Wait()
	holds, whole := true, 0
	for _, o := range outcomes {
		events := strings.Count(string(o.body), "data: ")
		switch {
		case o.err == nil && o.status == http.StatusOK && events == streamEvents:
			whole++
		case o.status == http.StatusOK:
			mu.Lock()
			s.note("LOST: %s ended with %d of %d events; %s", o.attempt, events, streamEvents, broken[o.attempt])
			mu.Unlock()
			holds = false
		}
	}
	s.note("%d of %d streams were whole", whole, len(outcomes))
	if !trouble && whole != len(outcomes) {
		return false, fmt.Errorf("without trouble %d of %d streams were whole", whole, len(outcomes))
	}
	return holds, nil
}
