package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// playSilent makes the open connections to the store silent, while new ones work. When that is longer
// ago than contactMs, a worker reports that it is draining.
func playSilent(s *site, trouble bool) (bool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	p := newProxy(l, s.storeAddress)
	s.storeAddress = l.Addr().String()
	started := time.Now()
	workers, nodes, err := startSite(s)
	if err != nil {
		return false, err
	}
	// The nodes list the registry every 4 s since their start: the worker leaves soon after a list.
	time.Sleep(time.Until(started.Add(4150 * time.Millisecond)))
	for _, o := range s.askAll(nodes, 1, "a0") {
		if o.status != http.StatusOK {
			return false, fmt.Errorf("%s was not served before the trouble", o.attempt)
		}
	}
	if _, err := s.startWorker("i-7f3a91d0", freePort("127.0.0.2"), "--work", "450ms"); err != nil { // A planned scale-out.
		return false, err
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		s.note("%d open connections to the store fall silent", p.silence())
	}
	time.Sleep(contact + 50*time.Millisecond)
	return s.leave(workers[0], nodes, false)
}
