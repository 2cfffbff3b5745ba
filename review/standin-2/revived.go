package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	revoke     = 5 * time.Second
	revokedKey = "k7wq0zt41mx9s2bh6evd"
)

// playRevived takes a key away. Longer than revokeMs later, the store comes back from a copy that is
// older than that, and a process that is started again, as planned, reads the older configuration;
// the other processes know the newer one. CONFIG (strictRevoke) holds if no request with the key runs.
func playRevived(s *site, trouble bool) (bool, error) {
	s.configureKeys(7, "unsafe", 1500, 300, 1, apiKey, revokedKey)
	for i := range 3 {
		if _, err := s.startWorker(fmt.Sprintf("i-7f3a91c%d", i), freePort("127.0.0.2"), "--work", "20ms"); err != nil {
			return false, err
		}
	}
	var nodes []*node
	for i := range 3 {
		n, err := s.startNode(i + 1)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%s is not ready", n.name)
		}
	}
	time.Sleep(2 * time.Second)
	if o := s.askWith(revokedKey, nodes[0], http.MethodPost, "9c41d07be2a30000", 3*time.Second); o.status != http.StatusOK {
		return false, fmt.Errorf("the key did not serve before")
	}
	older, copied := s.store.snapshot(), time.Now()
	time.Sleep(300 * time.Millisecond)
	acknowledged := s.configureKeys(8, "unsafe", 1500, 300, 1, apiKey)
	// Planned work: one process is stopped, and starts again when the store is back.
	time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
	restarted := nodes[0]
	s.note("SIGTERM to %s", restarted.name)
	_ = restarted.cmd.Process.Signal(syscall.SIGTERM)
	_ = restarted.cmd.Wait()
	s.note("%s has ended", restarted.name)
	time.Sleep(time.Until(acknowledged.Add(revoke + 300*time.Millisecond)))
	if trouble {
		s.note("the store is away, and comes back from a copy of %d ms ago", time.Since(copied).Milliseconds())
		s.store.restore(older, 300*time.Millisecond)
	}
	if err := s.run(restarted); err != nil {
		return false, err
	}
	s.note("%s starts", restarted.name)
	back := time.Now()
	rewritten := false
	holds, served := true, 0
	for i := 1; time.Since(back) < 4*time.Second; i++ {
		if !rewritten && trouble && time.Since(back) > 1500*time.Millisecond {
			s.configureKeys(8, "unsafe", 1500, 300, 1, apiKey) // The operator writes it again.
			rewritten = true
		}
		attempt := fmt.Sprintf("9c41d07be2a3%04x", i)
		o := s.askWith(revokedKey, nodes[0], http.MethodPost, attempt, 3*time.Second)
		if ran := s.ranAt(attempt); len(ran) > 0 {
			s.note("CONFIG: %s, sent %d ms after the key was taken away, ran at %s", attempt, o.sentAt.Sub(acknowledged).Milliseconds(), ran[0])
			holds = false
		}
		if o := s.ask(nodes[0], http.MethodPost, attempt+"f", 3*time.Second); o.status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served == 0 {
		return false, fmt.Errorf("the key that is left was not served after the restart")
	}
	return holds, nil
}
