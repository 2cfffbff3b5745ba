package agent

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/mirror"
	"eelgrassring.dev/internal/route"
)

const (
	// nodesAtFullRate is how many nodes may read the store at the rates of
	// Timing; more nodes read less often, up to maxWatchPause and maxResync.
	nodesAtFullRate = 12
	maxWatchPause   = 2 * time.Second
	maxResync       = 10 * time.Second
	// treeResync is how often a node lists what the root passes on: the
	// checksums of the summaries show what it misses sooner.
	treeResync = 20 * time.Second
	// treeConfirmAge is the age of a confirmation from which a node below a root
	// reads the configuration itself. The root reads it each 0.4 s, summaries
	// leave each 0.3 s, and one or two may be lost.
	treeConfirmAge = 1500 * time.Millisecond
)

// memberRecord is a node's membership in the store.
type memberRecord struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
}

// newMirror adds what all mirrors of a node share.
func (a *Agent) newMirror(c mirror.Config) *mirror.Mirror {
	t := a.config.Timing
	c.Store, c.Retry, c.Outage = a.config.Store, t.Retry, t.Outage
	c.Pause = func() time.Duration {
		if a.IsController() {
			return t.ControllerWatchPause
		}
		return a.scaleInterval(t.WatchPause, maxWatchPause)
	}
	if c.ResyncAfter == nil {
		c.ResyncAfter = func() time.Duration {
			if a.rootSendsChanges() {
				return treeResync
			}
			return a.scaleInterval(c.Resync, maxResync)
		}
	}
	c.OnState = func(up bool, err error) {
		kind := event.StoreBack
		if !up {
			kind = event.StoreLost
		}
		a.log.Write(kind, slog.String("prefix", c.Prefix), slog.Any("error", err))
	}
	return mirror.New(c)
}

// scaleInterval lengthens an interval with the number of nodes, so that all together
// do not call the store more often.
func (a *Agent) scaleInterval(span, most time.Duration) time.Duration {
	a.mu.Lock()
	nodes := len(a.peers) + 1
	a.mu.Unlock()
	if nodes <= nodesAtFullRate {
		return span
	}
	return max(span, min(span*time.Duration(nodes)/nodesAtFullRate, most))
}

// isConfirmationFresh reports whether a peer lately read the configuration that is in
// force here, or would tell that there is a first one.
func (a *Agent) isConfirmationFresh() bool {
	age, ok := a.ConfirmedAge()
	switch {
	case a.rootSendsChanges():
		return !ok || age < treeConfirmAge
	case a.IsController() && a.usesTree():
		return false // The others go by this node's reads.
	default:
		return ok && age < a.config.Timing.ConfirmInterval
	}
}

// nextConfirmation returns when this node reads the configuration next, if nobody has
// told that it read it. The root of a tree reads for all.
func (a *Agent) nextConfirmation() time.Duration {
	t := a.config.Timing
	if a.IsController() && a.usesTree() {
		return t.ConfirmInterval / 2
	}
	return t.ConfirmInterval/2 + rand.N(t.ConfirmInterval)
}

func (a *Agent) applyRouting(c ring.Change) {
	if c.Deleted || c.Entry.Key != a.config.Directory.RoutingKey() {
		return // What is in force stays.
	}
	a.activateRouting(c.Entry.Value, "store")
}

// activateRouting puts a configuration in force unless it is not newer.
func (a *Agent) activateRouting(text []byte, from string) {
	declared, err := a.config.Directory.ReadRouting(text)
	if err != nil {
		a.log.Write(event.ConfigurationBad, slog.Any("error", err), slog.String("from", from))
		return
	}
	a.activateMu.Lock()
	defer a.activateMu.Unlock()
	now := a.Routing()
	if now != nil && declared.Number <= now.Number() {
		if declared.Number < now.Number() {
			a.log.Write(event.ConfigurationOld, slog.Int64("number", declared.Number), slog.Int64("in_force", now.Number()))
		}
		return
	}
	a.activeConfig.Store(&configuration{table: route.NewTable(declared), text: text})
	a.log.Write(event.ConfigurationInUse, slog.Int64("number", declared.Number), slog.Int("routes", len(declared.Routes)), slog.String("from", from))
	a.SendDigestSoon()
	if _, confirmed := a.ConfirmedAge(); !confirmed {
		a.routingMirror.Kick() // A node that has just got its first one is ready once it is confirmed.
	}
}

// recordConfirmation takes an own read of the configuration.
func (a *Agent) recordConfirmation(begun clock.Mark) {
	if a.Routing() == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmed.IsZero() || a.confirmed.Age() > begun.Age() {
		a.confirmed = begun
	}
}

func (a *Agent) applyServer(c ring.Change) {
	id := ring.VM(strings.TrimPrefix(c.Entry.Key, a.config.Directory.ServerPrefix()))
	if c.Deleted {
		before, _ := a.fleet.Server(id)
		a.fleet.Remove(id, c.Entry.Modified)
		a.queueEntry(before, ring.Server{ID: id}, c.Entry.Modified, true)
		a.log.Write(event.ServerGone, slog.String("vm", string(id)), slog.Int64("revision", int64(c.Entry.Modified)))
		return
	}
	s, err := a.config.Directory.ReadServer(c.Entry.Key, c.Entry.Value)
	if err != nil {
		a.log.Write(event.ServerUnreadable, slog.String("vm", string(id)), slog.Any("error", err))
		a.fleet.Remove(id, c.Entry.Modified)
		return
	}
	before, known := a.fleet.Server(id)
	if a.fleet.Put(s, c.Entry.Modified) {
		a.queueEntry(before, s, c.Entry.Modified, false)
	}
	if s.Leaving && !(known && before.Leaving) {
		a.log.Write(event.VMLeaving, slog.String("vm", string(id)), slog.Int64("revision", int64(c.Entry.Modified)))
	}
}

func (a *Agent) applyState(c ring.Change) {
	if c.Entry.Key == catalog.ControllerKey {
		a.mu.Lock()
		a.isKeyHeld = !c.Deleted
		a.controller, _, _ = strings.Cut(string(c.Entry.Value), "/")
		a.mu.Unlock()
		return
	}
	name, ok := strings.CutPrefix(c.Entry.Key, catalog.NodePrefix)
	if !ok || name == a.config.Name {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Deleted {
		delete(a.peers, name)
		return
	}
	var m memberRecord
	if err := json.Unmarshal(c.Entry.Value, &m); err != nil {
		a.log.Write(event.PeerUnreadable, slog.String("peer", name), slog.Any("error", err))
		return
	}
	if p, known := a.peers[name]; known {
		p.address = m.Address
		return
	}
	a.peers[name] = &peer{address: m.Address}
}

// recordServersListed keeps when the registry was last listed.
func (a *Agent) recordServersListed(begun clock.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serversListedAt = begun
}

// hasListedServersSince reports whether the registry was listed after the moment: a
// controller must know all of it before it decides.
func (a *Agent) hasListedServersSince(from clock.Mark) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.serversListedAt.IsZero() && a.serversListedAt.Age() < from.Age()
}

func (a *Agent) recordStateListed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStateListed = true
}
