package main

import (
	"fmt"
	"time"
)

// runSeal: workers answer some requests without the seal.
func runSeal(e *env) (bool, error) {
	if err := e.setUpPlain(1, 2); err != nil {
		return false, err
	}
	broken := false
	for i := range 50 {
		target := fmt.Sprintf("/look/%d?pieces=1", i)
		if e.isTroubled && i%25 == 7 {
			target += "&seal=none"
		}
		a := e.callOnce(1, fmt.Sprint("req-", i), "GET", target, "key-one", "", 3*time.Second)
		if a.status/100 == 2 && a.seal == "" {
			e.log("BROKEN: req-%d was answered with status %d and no seal", i, a.status)
			broken = true
		}
	}
	return broken, nil
}
