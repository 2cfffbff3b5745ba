package agent

import (
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/suspect"
)

const (
	// strikeBytes is the size of a datagram with one strike, for the rate limit.
	strikeBytes = 120
	// strikeBytesPerSecond and strikeBurst bound the strikes that a node sends.
	strikeBytesPerSecond = 600
	strikeBurst          = 6000
)

// AnnounceStrike tells the other nodes that a backend server has ended under a request.
// With few nodes the message goes to all of them, in the tree of nodes to the root and to
// this node's children.
func (a *Agent) AnnounceStrike(s suspect.Strike) {
	strikes := []digest.Strike{{Request: uint64(s.Request), Server: string(s.Server), Incarnation: s.Incarnation, IsStrong: s.IsStrong}}
	if !a.usesTree() {
		a.sendStrikes(a.peerAddresses(), strikes)
		return
	}
	a.forwardStrikes(strikes)
	a.mu.Lock()
	root, known := a.peers[a.controller]
	a.mu.Unlock()
	if known && !a.isController.Load() {
		a.sendStrikes([]string{root.address}, strikes)
	}
}

// applyStrikes records the strikes that a peer announced. In the tree of nodes it forwards
// those that are new to this node's children.
func (a *Agent) applyStrikes(strikes []digest.Strike) {
	var added []digest.Strike
	for _, s := range strikes {
		strike := suspect.Strike{Request: suspect.Digest(s.Request), Server: ring.VM(s.Server), Incarnation: s.Incarnation, IsStrong: s.IsStrong}
		if _, isNew := a.config.Suspects.Add(strike, time.Now()); isNew {
			added = append(added, s)
		}
	}
	if len(added) > 0 && a.usesTree() {
		a.forwardStrikes(added)
	}
}

// forwardStrikes sends strikes to this node's regular children in the tree of nodes.
func (a *Agent) forwardStrikes(strikes []digest.Strike) {
	a.mu.Lock()
	children := a.regularChildren()
	a.mu.Unlock()
	a.sendStrikes(children, strikes)
}

// sendStrikes sends strikes to nodes, one a datagram, within the rate limit.
func (a *Agent) sendStrikes(addresses []string, strikes []digest.Strike) {
	for _, address := range addresses {
		for i := range strikes {
			if !a.strikeLimiter.AllowN(time.Now(), strikeBytes) {
				return
			}
			a.send(address, digest.Message{Strikes: strikes[i : i+1]})
		}
	}
}
