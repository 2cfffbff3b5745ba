package agent

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/event"
)

// eraRecordInterval is how often the controller checks whether the store names the settled era.
const eraRecordInterval = 500 * time.Millisecond

// routingRead is a listing of the routing prefix, which began at start.
type routingRead struct {
	start    clock.Instant
	listed   []ring.Entry
	revision ring.Revision
}

// settledEra returns the newest era of the store if this node knows it to be settled: it was
// told so, or has known the era for RestoreGrace. Otherwise it returns 0.
func (a *Agent) settledEra() ring.Era {
	era := a.config.Store.Era()
	if !era.IsSettled(a.config.Timing.RestoreGrace, time.Now()) {
		return 0
	}
	return era.Number
}

// settleEra records that an era is settled, as a peer or the store says. If that is news, it
// takes up the last read of the configuration again, which confirmed nothing.
func (a *Agent) settleEra(e ring.Era) {
	if !a.config.Store.SettleEra(e) {
		return
	}
	a.log.Write(event.EraSettled, slog.Int64("era", int64(e)))
	a.mu.Lock()
	read := a.unsettledRead
	a.unsettledRead = nil
	a.mu.Unlock()
	if read != nil && read.revision.Era() == e {
		a.recordRoutingRead(read.start, read.listed, read.revision)
	}
}

// keepUnsettledRead keeps a read of the configuration while its era is not settled.
func (a *Agent) keepUnsettledRead(r routingRead) {
	isSettled := a.settledEra() != 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsettledRead = nil
	if !isSettled {
		a.unsettledRead = &r
	}
}

// applyEraRecord applies a change of the key that names a settled era. After a restore the
// key is a copy and names an earlier era than the store does.
func (a *Agent) applyEraRecord(c ring.Change) {
	number, err := strconv.ParseInt(string(c.Entry.Value), 10, 64)
	if c.Deleted || err != nil {
		number = 0
	}
	a.mu.Lock()
	a.recordedEra = ring.Era(number)
	a.mu.Unlock()
	a.settleEra(ring.Era(number))
}

// recordSettledEra writes the settled era to the store as soon as there is one, once for each
// era, so that a node that starts later need not wait for RestoreGrace.
func (a *Agent) recordSettledEra(ctx context.Context) {
	clock.Every(ctx, eraRecordInterval, func(ctx context.Context) {
		settled := a.settledEra()
		a.mu.Lock()
		isRecorded := a.recordedEra == settled
		a.mu.Unlock()
		if settled == 0 || isRecorded {
			return
		}
		write := ring.Write{Key: catalog.EraKey, Value: strconv.AppendInt(nil, int64(settled), 10)}
		result, err := a.config.Store.Commit(ctx, ring.Txn{Writes: []ring.Write{write}})
		if err == nil && result.Succeeded {
			a.mu.Lock()
			a.recordedEra = settled
			a.mu.Unlock()
		}
		if err != nil && ctx.Err() == nil {
			a.log.Write(event.StoreCallFailed, slog.String("doing", "record the settled era"), slog.Any("error", err))
		}
	})
}
