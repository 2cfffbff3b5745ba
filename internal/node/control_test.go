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

// newCandidate returns a node on a keyspace that sees no controller.
func newCandidate(keys *platform.Keyspace, name string) *Node {
	n := New(Config{Name: name, Store: keys, Table: NewTable(TableConfig{MaxReportAge: MaxReportAge}), Log: event.NewLog(slog.New(slog.DiscardHandler)), Timing: DefaultTiming()})
	n.recordController(false)
	return n
}

func TestOnlyOneNodeWinsTheControllersKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := platform.NewKeyspace()
		_, won := newCandidate(keys, "a").campaign(t.Context())
		is.True(won)
		_, won = newCandidate(keys, "b").campaign(t.Context()) // It has not seen the other yet.
		is.True(!won)
	})
}

func TestCommitIsRefusedWhenItsGuardsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		keys := platform.NewKeyspace()
		n := newCandidate(keys, "a")
		own, won := n.campaign(ctx)
		is.True(won)
		g := &controllerTerm{node: n, term: own}
		first := placement.Commit{Record: placement.Record{Group: "g", Epoch: 1}, Take: []ring.VM{"v"}}
		r, err := keys.Commit(ctx, g.txn(first))
		is.NoErr(err)
		is.True(r.Succeeded)

		stale := placement.Commit{Record: placement.Record{Group: "g", Epoch: 2}, Guard: r.Revision - 1}
		refused, err := keys.Commit(ctx, g.txn(stale))
		is.NoErr(err)
		is.True(!refused.Succeeded) // the record changed since it was read

		taken := placement.Commit{Record: placement.Record{Group: "other", Epoch: 3}, Take: []ring.VM{"v"}}
		refused, err = keys.Commit(ctx, g.txn(taken))
		is.NoErr(err)
		is.True(!refused.Succeeded) // the VM has an owner

		is.NoErr(keys.Revoke(ctx, own.lease))
		_, won = newCandidate(keys, "b").campaign(ctx)
		is.True(won)
		late := placement.Commit{Record: placement.Record{Group: "g", Epoch: 4}, Guard: r.Revision}
		refused, err = keys.Commit(ctx, g.txn(late))
		is.NoErr(err)
		is.True(!refused.Succeeded) // another term rules
		_, held, err := keys.Get(ctx, catalog.GroupKey("g"))
		is.NoErr(err)
		is.True(held)
	})
}
