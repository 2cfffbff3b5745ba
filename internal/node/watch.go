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

// watchPause is the pause before a watch that ended is opened again.
const watchPause = 300 * time.Millisecond

// memberRecord is a node's membership in the store.
type memberRecord struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
}

// runWatch follows the state's changes. Each time the watch ends, for one
// because the service has compacted its past, the state is listed again.
func (n *Node) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := n.listState(ctx)
		if err == nil {
			err = n.config.Store.Watch(ctx, catalog.StatePrefix, revision+1, func(c ring.Changes) {
				for _, one := range c.Changes {
					n.applyChange(one)
				}
			})
			if ctx.Err() == nil {
				n.log.Write(event.WatchEnded, slog.Any("error", err))
			}
		}
		clock.Sleep(ctx, watchPause)
	}
}

// runResync lists the state at intervals: a watch may be silent for good.
func (n *Node) runResync(ctx context.Context) {
	clock.Every(ctx, n.config.Timing.ResyncInterval, func(ctx context.Context) {
		_, err := n.listState(ctx)
		n.recordStoreState(err == nil)
	})
}

func (n *Node) recordStoreState(up bool) {
	n.mu.Lock()
	was := n.storeUp
	n.storeUp = up
	n.mu.Unlock()
	if was && !up {
		n.log.Write(event.StoreDisconnected)
	}
	if !was && up {
		n.log.Write(event.StoreConnected)
	}
}

// IsStoreUp reports whether the last listing of the state succeeded.
func (n *Node) IsStoreUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeUp
}

func (n *Node) listState(ctx context.Context) (ring.Revision, error) {
	entries, revision, err := n.config.Store.List(ctx, catalog.StatePrefix)
	if err != nil {
		return 0, err
	}
	shown := map[ring.Group]bool{}
	members := map[string]bool{}
	controlled := false
	for _, e := range entries {
		n.applyChange(ring.Change{Entry: e})
		if g, ok := strings.CutPrefix(e.Key, catalog.GroupPrefix); ok {
			shown[ring.Group(g)] = true
		}
		if name, ok := strings.CutPrefix(e.Key, catalog.NodePrefix); ok {
			members[name] = true
		}
		controlled = controlled || e.Key == catalog.ControllerKey
	}
	n.recordController(controlled)
	n.table.RetainRecords(shown, revision)
	n.table.SetMembers(members)
	return revision, nil
}

func (n *Node) applyChange(c ring.Change) {
	key := c.Entry.Key
	switch {
	case key == catalog.ConfigurationKey && !c.Deleted:
		n.applyConfiguration(c.Entry.Value)
	case key == catalog.ControllerKey:
		n.recordController(!c.Deleted)
	case strings.HasPrefix(key, catalog.GroupPrefix):
		n.applyRecord(c)
	case strings.HasPrefix(key, catalog.NodePrefix) && !c.Deleted:
		n.applyMember(c.Entry.Value)
	}
}

func (n *Node) applyConfiguration(value []byte) {
	accepted, err := catalog.Decode(value)
	if err != nil {
		n.log.Write(event.ConfigurationInvalid, slog.Any("error", err))
		return
	}
	n.activateDocument(accepted.Number, []byte(accepted.Document))
}

// activateDocument puts a document in force if it is newer than the one in force.
func (n *Node) activateDocument(number int64, document []byte) {
	if _, have := n.table.Configuration(); number <= have {
		if number < have {
			n.log.Write(event.ConfigurationOutdated, slog.Int64("number", number), slog.Int64("in_force", have))
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

func (n *Node) applyRecord(c ring.Change) {
	group := ring.Group(strings.TrimPrefix(c.Entry.Key, catalog.GroupPrefix))
	if c.Deleted {
		n.table.DeleteRecord(group, c.Entry.Modified)
		return
	}
	var r placement.Record
	if err := json.Unmarshal(c.Entry.Value, &r); err != nil {
		n.log.Write(event.ConfigurationInvalid, slog.String("key", c.Entry.Key), slog.Any("error", err))
		return
	}
	n.table.PutRecord(placement.StoredRecord{Record: r, Modified: c.Entry.Modified})
}

// applyMember makes a node known from its membership; heartbeats then tell
// whether it is live.
func (n *Node) applyMember(value []byte) {
	var m memberRecord
	if json.Unmarshal(value, &m) != nil || m.Name == n.config.Name {
		return
	}
	n.table.AddPeer(Peer{Name: m.Name, Address: m.Address, Zone: ring.Zone(m.Zone), Incarnation: m.Incarnation})
}

// AddPeer makes a peer's address known without a heartbeat.
func (t *Table) AddPeer(p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, known := t.peers[p.Name]; known && old.Incarnation == p.Incarnation {
		return
	}
	t.peers[p.Name] = p
}
