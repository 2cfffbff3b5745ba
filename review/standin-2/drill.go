package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// playDrill restores the store from a copy of before the first group, some seconds after that was
// formed, and kills and starts all nodes meanwhile. TWO holds if no worker takes a join of another
// group while the head of its group is open.
func playDrill(s *site, trouble bool) (bool, error) {
	s.configureEngine(true)
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
	var older copyOf
	entered, opened, holds := 0, false, true
	var restored, rewritten <-chan time.Time
	limit := time.After(14 * time.Second)
	for {
		select {
		case <-limit:
			if !opened {
				return false, fmt.Errorf("no group has opened")
			}
			return holds, nil
		case <-restored:
			for _, n := range nodes {
				s.note("process of %s is killed", n.name)
				_ = n.cmd.Process.Kill()
				_ = n.cmd.Wait()
			}
			if trouble {
				s.note("the store is away, and comes back from an older copy")
				s.store.restore(older, 300*time.Millisecond)
				rewritten = time.After(1500 * time.Millisecond)
			}
			for _, n := range nodes {
				if err := s.run(n); err != nil {
					return false, err
				}
			}
		case <-rewritten:
			s.note("the workers write their entries again")
			for _, m := range workers {
				s.enter(m)
			}
		case l := <-lines:
			m := l.from
			switch l.words[0] {
			case "order":
				s.note("%s", strings.Join(l.words, " "))
				operation, status, before := l.words[2], l.words[4], l.words[5]
				for _, h := range workers {
					g := h.state.Group
					if operation == "join" && status == "202" && h != m && g != nil && g.Name == before && g.Rank == 0 && g.State == "open" {
						s.note("TWO: %s takes a join of %s while the head %s of its group %s is open", m.id, l.words[3], h.id, before)
						holds = false
					}
				}
			case "state":
				var state memberState
				if json.Unmarshal([]byte(strings.Join(l.words[2:], " ")), &state) != nil {
					return false, fmt.Errorf("bad state of %s", m.id)
				}
				m.state = state
				if state.Group != nil {
					s.note("%s is %s in %s, rank %d", m.id, state.Group.State, state.Group.Name, state.Group.Rank)
				}
				s.enter(m)
				if entered++; entered == len(workers) {
					older = s.store.snapshot()
					for i := range 3 {
						n, err := s.startNode(i + 1)
						if err != nil {
							return false, err
						}
						nodes = append(nodes, n)
					}
				}
				if state.Group != nil && state.Group.State == "open" && !opened {
					opened = true
					restored = time.After(time.Second)
				}
			}
		}
	}
}
