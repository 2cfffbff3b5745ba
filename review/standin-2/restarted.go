package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// playRestarted lets a worker crash in the middle of an answer without a length, and start again at
// its address, while the machine that passes the answer on stands still. MIXED holds if no client
// gets a success with a part of the body.
func playRestarted(s *site, trouble bool) (bool, error) {
	s.configure("unsafe", 1500, 300, 1)
	address := freePort("127.0.0.2")
	args := []string{"--unframed", "--work", "300ms"}
	w, err := s.startWorker("i-7f3a91c2", address, args...)
	if err != nil {
		return false, err
	}
	n, err := s.startNode(1)
	if err != nil {
		return false, err
	}
	if !n.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("the node is not ready")
	}
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	outcomes := make([]outcome, 5)
	for i := range outcomes {
		wait.Go(func() { outcomes[i] = s.ask(n, http.MethodPost, fmt.Sprintf("9c41d07be2a35f%02x", i), 3*time.Second) })
	}
	if trouble {
		time.Sleep(120 * time.Millisecond) // The first half of each answer has come.
		if os.Getenv("FREEZE") != "0" {    // The crash alone is noticed.
			s.note("machine of %s stands still", n.name)
			_ = n.cmd.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(30 * time.Millisecond)
		s.note("worker %s crashes", w.id)
		_ = w.cmd.Process.Kill()
		_ = w.cmd.Wait()
		time.Sleep(300 * time.Millisecond)
		if _, err := s.startWorker("i-02d9e6b4", address, args...); err != nil {
			return false, err
		}
		s.note("machine of %s goes on", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
	wait.Wait()
	holds, served := true, 0
	for _, o := range outcomes {
		whole := bodyOf(o.attempt, 800)
		isSuccess := o.err == nil && o.status >= 200 && o.status < 300
		switch {
		case isSuccess && !bytes.Equal(o.body, whole):
			s.note("MIXED: %s was answered %d, sealed and complete by its length, with %d of the %d bytes of the worker's body", o.attempt, o.status, len(o.body), len(whole))
			holds = false
		case isSuccess:
			served++
		}
	}
	if !trouble && served != len(outcomes) {
		return false, fmt.Errorf("without trouble %d of %d requests were served", served, len(outcomes))
	}
	return holds, nil
}
