package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
)

// watchRetryDelay is the delay before an ended watch is started again.
const watchRetryDelay = 300 * time.Millisecond

// membershipRecord is the stored value of a node's membership key.
type membershipRecord struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
}

// runWatch lists the stored state and then applies the changes that a watch of the
// store delivers. Each time the watch ends, for example because the store has
// compacted old revisions, it lists the state again.
func (n *Node) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := n.listStoredState(ctx)
		if err == nil {
			err = n.config.Store.Watch(ctx, catalog.StatePrefix, revision+1, func(c ring.Changes) {
				for _, change := range c.Changes {
					n.applyChange(change)
				}
			})
			if ctx.Err() == nil {
				n.log.Write(event.WatchEnded, slog.Any("error", err))
			}
		}
		clock.Sleep(ctx, watchRetryDelay)
	}
}

// runResync lists the stored state at intervals, because a watch may stall and never
// recover. It also records whether the store is reachable.
func (n *Node) runResync(ctx context.Context) {
	clock.Every(ctx, n.config.Timing.ResyncInterval, func(ctx context.Context) {
		_, err := n.listStoredState(ctx)
		n.recordStoreReachable(err == nil)
	})
}

// recordStoreReachable records whether the store is reachable and logs each change.
func (n *Node) recordStoreReachable(up bool) {
	n.mu.Lock()
	wasUp := n.storeUp
	n.storeUp = up
	n.mu.Unlock()
	if wasUp && !up {
		n.log.Write(event.StoreDisconnected)
	}
	if !wasUp && up {
		n.log.Write(event.StoreConnected)
	}
}

// IsStoreUp reports whether the last periodic listing of the stored state succeeded.
func (n *Node) IsStoreUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeUp
}

// listStoredState lists all keys of the state from the store, applies them to this
// node and returns the revision of the listing.
func (n *Node) listStoredState(ctx context.Context) (ring.Revision, error) {
	entries, revision, err := n.config.Store.List(ctx, catalog.StatePrefix)
	if err != nil {
		return 0, err
	}
	groups := map[ring.Group]bool{}
	members := map[string]bool{}
	hasController := false
	for _, e := range entries {
		n.applyChange(ring.Change{Entry: e})
		if g, ok := strings.CutPrefix(e.Key, catalog.GroupPrefix); ok {
			groups[ring.Group(g)] = true
		}
		if name, ok := strings.CutPrefix(e.Key, catalog.NodePrefix); ok {
			members[name] = true
		}
		hasController = hasController || e.Key == catalog.ControllerKey
	}
	n.recordControllerExists(hasController)
	n.table.RetainRecords(groups, revision)
	n.table.SetMemberNodes(members)
	return revision, nil
}

// applyChange applies the change of one key in the store: the configuration, the
// controller, a group's record or a node's membership.
func (n *Node) applyChange(c ring.Change) {
	key := c.Entry.Key
	switch {
	case key == catalog.ConfigurationKey && !c.Deleted:
		n.applyConfiguration(c.Entry.Value)
	case key == catalog.ControllerKey:
		n.recordControllerExists(!c.Deleted)
	case strings.HasPrefix(key, catalog.GroupPrefix):
		n.applyRecord(c)
	case strings.HasPrefix(key, catalog.NodePrefix) && !c.Deleted:
		n.applyMembership(c.Entry.Value)
	}
}

// applyConfiguration activates the configuration that is encoded in value. It does
// nothing if the configuration is not newer than the active one.
func (n *Node) applyConfiguration(value []byte) {
	accepted, err := catalog.DecodeAccepted(value)
	if err != nil {
		n.log.Write(event.ConfigurationInvalid, slog.Any("error", err))
		return
	}
	n.activateDocument(accepted.Number, []byte(accepted.Document))
}

// activateDocument parses a configuration document, activates it and passes it to the
// placement controller. An invalid document is only logged. It does nothing if number
// is not larger than the number of the active configuration.
func (n *Node) activateDocument(number int64, document []byte) {
	if _, active := n.table.Configuration(); number <= active {
		if number < active {
			n.log.Write(event.ConfigurationOutdated, slog.Int64("number", number), slog.Int64("in_force", active))
		}
		return
	}
	c, err := deployment.Parse(document)
	if err != nil {
		n.log.Write(event.ConfigurationInvalid, slog.Int64("number", number), slog.Any("error", err))
		return
	}
	if n.table.ActivateConfiguration(number, document, c, time.Now()) {
		n.log.Write(event.ConfigurationActivated, slog.Int64("number", number))
		n.queueEvent(placement.Configured{Configuration: c})
	}
}

// groupOfKey returns the group whose record is stored under a key.
func groupOfKey(key string) ring.Group {
	return ring.Group(strings.TrimPrefix(key, catalog.GroupPrefix))
}

// applyRecord applies the write or deletion of a group's record to the table.
func (n *Node) applyRecord(c ring.Change) {
	group := groupOfKey(c.Entry.Key)
	if c.Deleted {
		n.table.DeleteRecord(group, c.Entry.Modified)
		return
	}
	r, err := placement.DecodeRecord(group, c.Entry.Value)
	if err != nil {
		n.log.Write(event.ConfigurationInvalid, slog.String("key", c.Entry.Key), slog.Any("error", err))
		return
	}
	n.table.PutRecord(placement.StoredRecord{Record: r, Modified: c.Entry.Modified})
}

// applyMembership adds the peer that is described by value, the value of its
// membership key. Whether the peer is live is known only from its heartbeats.
func (n *Node) applyMembership(value []byte) {
	var m membershipRecord
	if json.Unmarshal(value, &m) != nil || m.Name == n.config.Name {
		return
	}
	n.table.AddPeer(Peer{Name: m.Name, Address: m.Address, Zone: ring.Zone(m.Zone), Incarnation: m.Incarnation})
}

// AddPeer adds a peer that has sent no heartbeat yet. It does nothing if the peer is
// known with the same incarnation.
func (t *Table) AddPeer(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, known := t.peers[p.Name]; known && old.Incarnation == p.Incarnation {
		return
	}
	t.peers[p.Name] = p
}
