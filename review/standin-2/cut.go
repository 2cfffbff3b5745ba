package main

import "time"

// playCut cuts each watch of the store that has waited for a while, 0.3 to 1.2 s, and does nothing
// else wrong. A worker leaves by the removal of its entry.
func playCut(s *site, trouble bool) (bool, error) {
	if trouble {
		s.store.cutWatches = 1200 * time.Millisecond
	}
	workers, nodes, err := startSite(s)
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	return s.leave(workers[0], nodes, true)
}
