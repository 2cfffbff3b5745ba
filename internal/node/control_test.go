package node

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/standin/platform"
)

// newCandidate returns a node whose store is the keyspace and that knows of no
// controller.
func newCandidate(keys *platform.Keyspace, name string) *Node {
	n := New(Config{Name: name, Store: keys, Table: NewTable(TableConfig{MaxReportAge: MaxReportAge}), Log: event.NewLog(slog.New(slog.DiscardHandler)), Timing: DefaultTiming()})
	n.recordControllerExists(false)
	return n
}

func TestOnlyOneNodeWinsTheControllersKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := platform.NewKeyspace()
		_, won := newCandidate(keys, "a").campaign(t.Context())
		is.True(won)
		_, won = newCandidate(keys, "b").campaign(t.Context()) // b does not know yet that a holds the key
		is.True(!won)
	})
}

func TestCommitIsRefusedWhenItsGuardsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		keys := platform.NewKeyspace()
		n := newCandidate(keys, "a")
		ownTerm, won := n.campaign(ctx)
		is.True(won)
		c := &controllerTerm{node: n, term: ownTerm}
		first := placement.Commit{Record: placement.Record{Group: "g", Epoch: 1}, Take: []ring.VM{"v"}}
		r, err := keys.Commit(ctx, c.recordTxn(first))
		is.NoErr(err)
		is.True(r.Succeeded)

		stale := placement.Commit{Record: placement.Record{Group: "g", Epoch: 2}, Guard: r.Revision - 1}
		refused, err := keys.Commit(ctx, c.recordTxn(stale))
		is.NoErr(err)
		is.True(!refused.Succeeded) // the record changed since it was read

		taken := placement.Commit{Record: placement.Record{Group: "other", Epoch: 3}, Take: []ring.VM{"v"}}
		refused, err = keys.Commit(ctx, c.recordTxn(taken))
		is.NoErr(err)
		is.True(!refused.Succeeded) // the VM has an owner

		is.NoErr(keys.Revoke(ctx, ownTerm.lease))
		_, won = newCandidate(keys, "b").campaign(ctx)
		is.True(won)
		ended := placement.Commit{Record: placement.Record{Group: "g", Epoch: 4}, Guard: r.Revision}
		refused, err = keys.Commit(ctx, c.recordTxn(ended))
		is.NoErr(err)
		is.True(!refused.Succeeded) // the controller's key belongs to a later term
		_, exists, err := keys.Get(ctx, catalog.GroupKey("g"))
		is.NoErr(err)
		is.True(exists)
	})
}
