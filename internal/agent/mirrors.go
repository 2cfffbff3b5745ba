package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/mirror"
	"eelgrassring.dev/internal/route"
)

const (
	// nodesAtFullRate is the number of nodes up to which each reads the store at
	// the intervals of Timing. With more nodes the intervals grow, up to
	// maxBatchInterval and maxResyncInterval.
	nodesAtFullRate   = 12
	maxBatchInterval  = 2 * time.Second
	maxResyncInterval = 10 * time.Second
	// treeResyncInterval is how often a node below the root of the tree of nodes lists
	// the prefixes of the store whose changes the root sends. It can be long because
	// the checksums in the root's summaries reveal missed changes sooner.
	treeResyncInterval = time.Minute
)

// memberRecord is the value of a node's membership key in the store.
type memberRecord struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
}

// newMirror returns a mirror, which follows the keys of a prefix of the store. It
// completes c with the settings that all mirrors of a node share.
func (a *Agent) newMirror(c mirror.Config) *mirror.Mirror {
	t := a.config.Timing
	c.Store, c.RetryInterval, c.MinOutage, c.Contact = a.config.Store, t.RetryInterval, t.MinOutage, &a.storeContact
	c.BatchInterval = func() time.Duration {
		if a.IsController() {
			return t.ControllerBatchInterval
		}
		return a.scaleInterval(t.BatchInterval, maxBatchInterval)
	}
	if c.NextResync == nil {
		c.NextResync = func() time.Duration {
			if a.rootSendsChanges() {
				return treeResyncInterval
			}
			return a.scaleInterval(c.ResyncInterval, maxResyncInterval)
		}
	}
	c.OnConnectionChange = func(up bool, err error) {
		kind := event.StoreConnected
		if !up {
			kind = event.StoreDisconnected
		}
		a.log.Write(kind, slog.String("prefix", c.Prefix), slog.Any("error", err))
	}
	return mirror.New(c)
}

// scaleInterval lengthens an interval, up to limit, in proportion to the number of
// nodes from nodesAtFullRate on, so that the call rate at the store does not grow
// with their number.
func (a *Agent) scaleInterval(interval, limit time.Duration) time.Duration {
	a.mu.Lock()
	nodes := len(a.peers) + 1
	a.mu.Unlock()
	if nodes <= nodesAtFullRate {
		return interval
	}
	return max(interval, min(interval*time.Duration(nodes)/nodesAtFullRate, limit))
}

// nextConfirmDelay returns the time until this node reads the configuration from the
// store again, unless a peer confirms it before. The root of the tree of nodes reads
// more often, because the other nodes rely on its reads.
func (a *Agent) nextConfirmDelay() time.Duration {
	t := a.config.Timing
	if a.IsController() && a.usesTree() {
		return t.ConfirmInterval / 2
	}
	return t.ConfirmInterval/2 + rand.N(t.ConfirmInterval)
}

// applyRoutingChange activates a routing configuration that was written to the
// store. A deletion changes nothing. It also applies changes of the evacuated zones.
func (a *Agent) applyRoutingChange(c ring.Change) {
	a.applyEvacuationChange(c)
	if c.Deleted || c.Entry.Key != a.config.Directory.RoutingKey() {
		return // The active configuration stays.
	}
	if number, ok := a.activateRouting(c.Entry.Value, fromStore); ok {
		a.mu.Lock()
		a.storedConfig = storedConfig{revision: c.Entry.Modified, number: number}
		a.mu.Unlock()
	}
}

// activateRouting parses a routing configuration and makes it the active one if its
// number is larger. It returns the number, or false if the text cannot be parsed. from
// names its source for the log: fromStore or a peer's address.
func (a *Agent) activateRouting(text []byte, from string) (number int64, ok bool) {
	declared, err := a.config.Directory.ReadRouting(text)
	if err != nil {
		a.log.Write(event.ConfigurationInvalid, slog.Any("error", err), slog.String("from", from))
		return 0, false
	}
	before, isNewer := a.activateIfNewer(declared, text)
	if !isNewer {
		if declared.Number < before {
			a.log.Write(event.ConfigurationOutdated, slog.Int64("number", declared.Number), slog.Int64("in_force", before))
		}
		return declared.Number, true
	}
	a.applyColdServices()
	a.log.Write(event.ConfigurationActivated, slog.Int64("number", declared.Number), slog.Int("routes", len(declared.Routes)), slog.String("from", from))
	a.SendDigestSoon()
	if _, confirmed := a.ConfirmedAge(); !confirmed {
		a.routingMirror.RequestSync() // The node is not ready until its first configuration is confirmed.
	}
	return declared.Number, true
}

// activateIfNewer makes a configuration the active one if its number is larger than that of
// the one before, which it returns; 0 if there was none.
func (a *Agent) activateIfNewer(declared *ring.Routing, text []byte) (before int64, isNewer bool) {
	for {
		active := a.activeConfig.Load()
		if active != nil {
			before = active.table.Number()
		}
		if active != nil && declared.Number <= before {
			return before, false
		}
		if a.activeConfig.CompareAndSwap(active, &configuration{table: route.NewTable(declared), text: text}) {
			return before, true
		}
	}
}

// recordRoutingRead records a read of the routing configuration from the store. It confirms
// the active configuration if the store holds it; the value may be missing, not readable, or
// older after a restore. While the registry is watched, the read also shows that the store is
// reachable, so that the watch has reported the changes of the registry up to then.
func (a *Agent) recordRoutingRead(readStart clock.Instant, listed []ring.Entry, revision ring.Revision) {
	if !a.hasReadRouting.Swap(true) && a.config.IsFirstStart {
		a.settleEra(revision.Era())
	}
	a.keepUnsettledRead(routingRead{readStart, listed, revision})
	a.recordEvacuationsRead(readStart, listed, revision)
	a.mu.Lock()
	stored := a.storedConfig
	a.mu.Unlock()
	if stored.isIn(listed, a.config.Directory.RoutingKey()) {
		a.recordConfirmation(stored.number, readStart, fromStore)
	}
	if a.serversMirror.IsWatching() {
		a.recordRegistryRead(readStart)
	}
}

// recordRegistryRead records that this node has read the changes of the registry up to
// a moment.
func (a *Agent) recordRegistryRead(readStart clock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registryReadAt = laterInstant(a.registryReadAt, readStart)
}

// laterInstant returns the later of two instants; a zero one is the earliest.
func laterInstant(i, other clock.Instant) clock.Instant {
	if i.IsZero() || (!other.IsZero() && other.Age() < i.Age()) {
		return other
	}
	return i
}

// registryReadInstant returns the latest instant up to which this node is known to have read
// all changes of the registry from the store.
func (a *Agent) registryReadInstant() clock.Instant {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registryReadAt
}

// applyServerChange stores a change of the server registry in the fleet. At the root of
// the tree of nodes, it also queues the change to be sent to the other nodes. An
// invalid entry counts as deleted.
func (a *Agent) applyServerChange(c ring.Change) {
	id := ring.VM(strings.TrimPrefix(c.Entry.Key, a.config.Directory.ServerPrefix()))
	if c.Deleted {
		a.logInvalidServer(id, nil)
		a.removeServer(id, c.Entry.Modified)
		a.log.Write(event.ServerRemoved, slog.String("vm", string(id)), slog.Int64("revision", int64(c.Entry.Modified)))
		return
	}
	s, err := a.config.Directory.ReadServer(c.Entry.Key, c.Entry.Value)
	if err == nil {
		err = checkServer(s, c.Entry.Modified)
	}
	a.logInvalidServer(id, err)
	if err != nil {
		a.removeServer(id, c.Entry.Modified)
		return
	}
	a.observeColdEntry(s, c.Entry.Modified)
	before, known := a.fleet.Server(id)
	if a.fleet.Put(s, c.Entry.Modified) {
		a.queueRegistryChange(before, s, c.Entry.Modified, false)
	}
	if s.Leaving && !(known && before.Leaving) {
		a.log.Write(event.VMLeaving, slog.String("vm", string(id)), slog.Int64("revision", int64(c.Entry.Modified)))
	}
}

// checkServer returns an error if a registry entry says what no server can: a value out of
// range, or an epoch that no controller can have given by the entry's revision. A composer
// continues after the largest epoch that it sees.
func checkServer(s ring.Server, revision ring.Revision) error {
	if s.Membership.Epoch > composition.MaxEpoch(revision) {
		return fmt.Errorf("epoch %d is larger than any given so far", s.Membership.Epoch)
	}
	return s.Validate()
}

const (
	// maxInvalidServers bounds the invalid entries that are remembered, and so logged once.
	maxInvalidServers = 1000
	// maxErrorText bounds a logged error, in bytes: it may quote what it is about.
	maxErrorText = 300
)

// logInvalidServer logs that a registry entry is invalid, once until it becomes valid or is
// deleted; err is nil then. Its owner may write it anew with each heartbeat.
func (a *Agent) logInvalidServer(id ring.VM, err error) {
	a.mu.Lock()
	wasInvalid := a.invalidServers[id]
	switch {
	case err == nil:
		delete(a.invalidServers, id)
	case len(a.invalidServers) < maxInvalidServers:
		a.invalidServers[id] = true
	default:
		wasInvalid = true
	}
	a.mu.Unlock()
	if err != nil && !wasInvalid {
		text := err.Error()
		a.log.Write(event.ServerInvalid, slog.String("vm", string(id)), slog.String("error", text[:min(len(text), maxErrorText)]))
	}
}

// removeServer removes a server from the fleet. At the root of the tree of nodes, it also
// queues the removal to be sent to the other nodes.
func (a *Agent) removeServer(id ring.VM, revision ring.Revision) {
	before, _ := a.fleet.Server(id)
	a.fleet.Remove(id, revision)
	a.queueRegistryChange(before, ring.Server{ID: id}, revision, true)
}

// applyStateChange updates this node's record of the controller after a change of the
// controller's key, and its list of peers after a change of another node's membership
// record. It ignores other changes below the state prefix.
func (a *Agent) applyStateChange(c ring.Change) {
	if c.Entry.Key == catalog.ControllerKey {
		a.mu.Lock()
		a.isControllerKeyHeld = !c.Deleted
		if !a.isController.Load() { // What a watch reports at the controller may be older than its term.
			a.controller, _, _ = strings.Cut(string(c.Entry.Value), "/")
		}
		a.mu.Unlock()
		return
	}
	if c.Entry.Key == catalog.EraKey {
		a.applyEraRecord(c)
		return
	}
	name, ok := strings.CutPrefix(c.Entry.Key, catalog.NodePrefix)
	if !ok || name == a.config.Name {
		return
	}
	var m memberRecord
	if !c.Deleted {
		if err := json.Unmarshal(c.Entry.Value, &m); err != nil {
			a.log.Write(event.PeerRecordInvalid, slog.String("peer", name), slog.Any("error", err))
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Deleted {
		delete(a.peers, name)
		return
	}
	if p, known := a.peers[name]; known {
		p.address = m.Address
		return
	}
	a.peers[name] = &peer{address: m.Address}
}

// recordServersListed records that a complete listing of the registry, which began
// at listStart, was applied.
func (a *Agent) recordServersListed(listStart clock.Instant, _ []ring.Entry, _ ring.Revision) {
	a.recordRegistryRead(listStart)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serversListedAt = listStart
}

// hasListedServersSince reports whether this node has completed a listing of the
// registry that began at start or later. A controller must know the whole registry
// before it sends orders.
func (a *Agent) hasListedServersSince(start clock.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.serversListedAt.IsZero() && a.serversListedAt.Age() <= start.Age()
}

// recordStateListed records that the state prefix has been listed, so that this
// node knows whether there is a controller.
func (a *Agent) recordStateListed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStateListed = true
}
