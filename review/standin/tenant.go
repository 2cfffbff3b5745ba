package main

import (
	"fmt"
	"net/http"
	"time"
)

// runTenant: a configuration takes the last tenant away. Requests with its key that are sent
// later than revokeMs after the acknowledgement may not run.
func runTenant(e *env) (bool, error) {
	if err := e.setUpPlain(2, 2); err != nil {
		return false, err
	}
	c, err := dial(e.front(1))
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	if a := c.call(e, "before", "GET", "/look/x?pieces=1", "key-one", "", 3*time.Second); a.status != http.StatusOK {
		return false, fmt.Errorf("the request before the revocation got status %d", a.status)
	}
	left := []any{}
	if !e.isTroubled {
		left = append(left, tenant("t2", "key-two"))
	}
	e.configure(2, []any{plainRoute("/book/", "unsafe", 1), plainRoute("/look/", "safe", 2)}, []any{plainService()}, left)
	time.Sleep(6 * time.Second) // revokeMs is 5 s
	broken := false
	for i, key := range []string{"key-one", "key-one", "key-nobody-ever-had", ""} {
		id := fmt.Sprint("after-", i)
		var a answer
		if i == 0 {
			a = c.call(e, id, "GET", "/look/x?pieces=1", key, "", 3*time.Second)
		} else {
			a = e.callOnce(1+i%2, id, "POST", "/book/x?pieces=1", key, "Content-Length: 0\r\n", 3*time.Second)
		}
		if a.status == http.StatusOK && a.seal != "" {
			e.log("BROKEN: %s ran with key %q, 6 s after the acknowledgement of a configuration without any key", id, key)
			broken = true
		}
	}
	return broken, nil
}
