package node

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/placement"
	"eelgrassring.dev/internal/standin/platform"
)

// newCandidate returns a node that may try to become the controller: its store is the
// keyspace, and it knows of no present controller.
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

// TestOddRecordTakesOnlyItsGroupOut guards against a group record of another writer that keeps
// the controller from reading all others, or uses up the epochs.
func TestOddRecordTakesOnlyItsGroupOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := platform.NewKeyspace()
		for name, value := range map[ring.Group]string{
			"sound": `{"group":"sound","epoch":3,"slots":4}`, "nested": strings.Repeat("[", 100_000), "number": `{"group":"number","epoch":1e99}`,
			"epoch": `{"group":"epoch","epoch":18446744073709551615}`, "other": `{"group":"sound","epoch":9}`, "slots": `{"group":"slots","slots":-1}`,
		} {
			_, err := keys.Commit(t.Context(), ring.Txn{Writes: []ring.Write{{Key: catalog.GroupKey(name), Value: []byte(value)}}})
			is.NoErr(err)
		}
		c := &controllerTerm{node: newCandidate(keys, "a")}
		state, err := c.readState(t.Context())
		is.NoErr(err)
		is.Equal(len(state.Records), 1)
		is.Equal(state.Records[0].Record.Epoch, ring.Epoch(3))
	})
}
