package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	ring "eelgrassring.dev"
)

const (
	// referenceCalls is how many servers one reference asks.
	referenceCalls = 2
	// referenceTimeouts is how long a reference waits, as a multiple of
	// Timing.InspectTimeout.
	referenceTimeouts = 2
)

// references asks backend servers for their state to find out whether this node can
// complete calls. Inspections that need a reference at the same time share one.
type references struct {
	fleet interface {
		Servers(ring.Service) []ring.Server
	}
	inspect func(ctx context.Context, address string) (ring.Server, error)
	timeout time.Duration
	// turn is held by the running reference.
	turn chan struct{}
	mu   sync.Mutex
	// next holds the references that have not begun.
	next map[ring.Service]*reference
}

// reference is one question to some servers of a service.
type reference struct {
	// suspects are the servers for whose inspections it is a reference.
	suspects map[ring.VM]bool
	done     chan struct{}
	isGood   bool
}

// isGood reports whether a server of the service other than suspect has answered a call
// that began after this one. It returns true if there is no other server, and false when
// the context has ended. The reference itself ends with the context term, as others may
// share it.
func (r *references) isGood(ctx, term context.Context, service ring.Service, suspect ring.VM) bool {
	own := r.join(term, service, suspect)
	select {
	case <-own.done:
		return own.isGood
	case <-ctx.Done():
		return false
	}
}

// join returns a reference that has not begun, with one more suspect.
func (r *references) join(ctx context.Context, service ring.Service, suspect ring.VM) *reference {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, known := r.next[service]
	if !known {
		own = &reference{suspects: map[ring.VM]bool{}, done: make(chan struct{})}
		r.next[service] = own
		go r.run(ctx, service, own)
	}
	own.suspects[suspect] = true
	return own
}

// run waits for its turn and then asks some servers. The reference is good when the
// first of them answers.
func (r *references) run(ctx context.Context, service ring.Service, own *reference) {
	defer close(own.done)
	select {
	case <-ctx.Done():
		return
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	}
	r.mu.Lock()
	delete(r.next, service)
	r.mu.Unlock()
	servers := r.choose(service, own.suspects)
	if len(servers) == 0 {
		own.isGood = true
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	answered := make(chan bool, len(servers))
	for _, s := range servers {
		go func() {
			_, err := r.inspect(ctx, s.Address)
			answered <- err == nil
		}()
	}
	for range servers {
		if <-answered {
			own.isGood = true
			return
		}
	}
}

// choose returns up to referenceCalls servers of the service, at random, that are not
// suspects. It prefers servers that are members of a replica.
func (r *references) choose(service ring.Service, suspects map[ring.VM]bool) []ring.Server {
	servers := r.fleet.Servers(service)
	order := rand.Perm(len(servers))
	var out []ring.Server
	for _, wantsMember := range []bool{true, false} {
		for _, i := range order {
			s := &servers[i]
			if len(out) < referenceCalls && !suspects[s.ID] && s.Address != "" && (s.Membership.Group != "") == wantsMember {
				out = append(out, *s)
			}
		}
	}
	return out
}
