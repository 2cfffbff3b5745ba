package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const engine = "huvo11a"

// memberProcess is a model worker.
type memberProcess struct {
	id, address string
	cmd         *exec.Cmd
	in          io.WriteCloser
	state       memberState
}

// line is what a model worker has printed.
type line struct {
	from  *memberProcess
	words []string
}

// startMember starts a model worker, whose lines go to a channel.
func (s *site) startMember(id string, lines chan<- line) (*memberProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	m := &memberProcess{id: id, address: freePort("127.0.0.2")}
	m.cmd = exec.Command(self, "member", "--id", id, "--listen", m.address)
	if m.in, err = m.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := m.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, m.cmd)
	s.mu.Unlock()
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- line{m, strings.SplitN(in.Text(), " ", 6)}
		}
	}()
	return m, nil
}

// enter writes a model worker's state to the registry.
func (s *site) enter(m *memberProcess) {
	entry := map[string]any{
		"service": engine, "address": m.address, "zone": "zone-0", "version": "v1", "slots": 26, "state": "ready", "coldLeftMs": 0, "stage": "both",
		"models": m.state.Models, "staged": m.state.Staged, "domain": m.state.Domain, "sequence": 1, "born": m.state.Born,
	}
	if m.state.Group != nil {
		entry["group"] = m.state.Group
	}
	s.store.set("servers/"+m.id, entry)
}

// configureEngine writes a configuration with a service that runs one model, of three workers.
func (s *site) configureEngine(resumable bool) {
	s.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2yhvz3p", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 8000, "latencyGoalMs": 400,
			"priority": 1, "service": engine, "attempts": 2, "public": false, "sticky": true, "resumable": resumable, "gapTargetMs": 250,
		}},
		"services": []any{map[string]any{"name": engine, "healthPath": "/health", "maxConns": 464, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 26, "kvCapacity": 2470000, "stride": 6, "models": []any{map[string]any{"name": "daka510000", "size": 3, "share": 1.0, "pace": 1.0, "loadS": 12.0, "warmS": 1.1}},
			"step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0,
			"loadsPerS": 5.5, "loads_at_once": 8, "usual": map[string]any{"prompt": 1115, "answer": 152}, "keepCount": 1, "far_x": 4.0, "formMs": 300.0,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// playTaken ends the head of a group of three workers; a fourth is there. While the group is formed
// again one worker is silent for a second, and the answer of another one to an order is a quarter of a
// second late. The head of the new group is silent for a second or so when it is ordered to open. TWO
// holds if no worker of that group takes a join of another one while its head stands still.
func playTaken(s *site, trouble bool) (bool, error) {
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
	for i := range 3 {
		if _, err := s.startNode(i + 1); err != nil {
			return false, err
		}
	}
	first, second, third := workers[0], workers[1], workers[2]
	stopped := map[*memberProcess]bool{}
	stop := func(m *memberProcess) {
		if !stopped[m] {
			_ = m.cmd.Process.Signal(syscall.SIGSTOP)
			stopped[m] = true
			s.note("%s falls silent", m.id)
		}
	}
	goOn := func(m *memberProcess) {
		if stopped[m] {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			stopped[m] = false
			s.note("%s goes on", m.id)
		}
	}
	defer func() {
		for _, m := range workers {
			goOn(m)
		}
	}()
	// The steps: 0 the first group is not open yet, 1 it is, 2 its head has crashed, 3 its entry is
	// removed, 4 the second worker is silent, 5 it goes on and the new group is formed, 6 the head of
	// the new group is silent.
	step, group, opened := 0, "", 0
	holds := true
	limit := time.After(18 * time.Second)
	var crash, removal, silence, wake, added, later, end <-chan time.Time
	for {
		select {
		case <-limit:
			if opened == 0 {
				return false, fmt.Errorf("no group has opened")
			}
			return holds, nil
		case <-end:
			return holds, nil
		case <-crash:
			step = 2
			s.note("%s crashes", first.id)
			_ = first.cmd.Process.Kill()
			if os.Getenv("LATE") != "0" { // With LATE=0 no answer is late, and the rule holds.
				fmt.Fprintln(third.in, "late 250")
			}
			removal = time.After(3600 * time.Millisecond)
		case <-removal:
			step = 3
			s.note("registry: %s is gone", first.id)
			s.store.set("servers/"+first.id, nil)
		case <-silence:
			stop(second)
		case <-wake:
			goOn(second)
		case <-added:
			s.note("a worker is added")
			m, err := s.startMember("i-7f3a91c4", lines)
			if err != nil {
				return false, err
			}
			workers = append(workers, m)
		case <-later:
			goOn(second)
		case l := <-lines:
			m := l.from
			switch l.words[0] {
			case "inspected":
				if step == 3 && m == second { // The group is given up; the orders to leave follow.
					step = 4
					silence = time.After(300 * time.Millisecond)
				}
			case "order":
				s.note("%s", strings.Join(l.words, " "))
				operation, name, status, before := l.words[2], l.words[3], l.words[4], l.words[5]
				if step == 4 && m == third && operation == "join" {
					step = 5
					wake = time.After(40 * time.Millisecond)
					added = time.After(300 * time.Millisecond)
				}
				head := second.state.Group
				isUsed := head != nil && head.Name == group && (stopped[second] || head.State == "open")
				if step == 6 && m != second && operation == "join" && status == "202" && before == group && isUsed {
					s.note("TWO: %s takes a join of %s while the head %s of its group %s stands still and is not broken", m.id, name, second.id, group)
					holds = false
					later, end = time.After(20*time.Millisecond), time.After(2*time.Second)
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
				if step == 5 && isReady(workers[1:4]) {
					step, group = 6, second.state.Group.Name
					stop(second)
					later = time.After(1600 * time.Millisecond)
				}
				s.enter(m)
				if state.Group != nil && state.Group.State == "open" {
					opened++
					if step == 0 {
						step = 1
						if trouble {
							crash = time.After(2 * time.Second)
						}
					}
				}
			}
		}
	}
}

// isReady reports whether all workers are ready in the same group.
func isReady(workers []*memberProcess) bool {
	for _, m := range workers {
		g := m.state.Group
		if g == nil || g.State != "ready" || g.Name != workers[0].state.Group.Name {
			return false
		}
	}
	return true
}
