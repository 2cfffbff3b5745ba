package agent

import (
	"log/slog"
	"time"

	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/echo"
	"eelgrassring.dev/internal/event"
)

const (
	// fromStore names the store as the source of a configuration or a confirmation in the
	// log. Other sources are the addresses of peers.
	fromStore = "store"
	// confirmationGap is the age from which a confirmation is logged when a later one
	// replaces it.
	confirmationGap = 2500 * time.Millisecond
	// treeConfirmAge is the time since the active configuration was confirmed after
	// which a node below the root reads it from the store itself. The root reads it
	// every 0.4 s and sends a summary every 0.3 s, of which one or two may be lost.
	treeConfirmAge = 1500 * time.Millisecond
	// maxLagMillis bounds the lags that are taken from messages: nothing that a peer knew so
	// long ago is of use.
	maxLagMillis = int64(time.Hour / time.Millisecond)
)

// confirmation is the latest moment at which no version of the routing configuration was
// newer than number. It also holds for any later version: a version above number that took a
// key away was written after that moment.
type confirmation struct {
	number int64
	at     clock.Instant
}

// ConfirmedAge returns how long ago the active configuration was last known to be
// the newest one. The bool is false if that was never known.
func (a *Agent) ConfirmedAge() (time.Duration, bool) {
	confirmed := a.confirmed.Load()
	if confirmed == nil {
		return 0, false
	}
	return confirmed.at.Age(), true
}

// MayAcceptAPIKeys reports whether the API keys of the configuration with the given number
// may be accepted: none of them can have been revoked longer ago than Config.Revocation.
// The number is that of the configuration in which the caller looks a key up. It may have
// been replaced by now, and a confirmation of its successor says nothing of its keys.
func (a *Agent) MayAcceptAPIKeys(number int64) bool {
	confirmed := a.confirmed.Load()
	if confirmed == nil || number < confirmed.number {
		return false
	}
	age := confirmed.at.Age()
	accepts := age < a.config.Revocation-a.config.Timing.RevocationMargin
	if a.acceptsKeys.Swap(accepts) != accepts {
		kind := event.KeysNotAccepted
		if accepts {
			kind = event.KeysAccepted
		}
		a.log.Write(kind, slog.Int64("number", number), slog.Int64("age_ms", age.Milliseconds()))
	}
	return accepts
}

// recordConfirmation records that a read of the store, by this node or a peer, found the
// configuration with a number to be the newest one; readStart is when the read began. It
// counts if this configuration is still the active one and readStart is later than the
// confirmation so far. A read that began within RestoreGrace after a restore of the store
// confirms nothing: what the operator wrote last may be missing. from names the source for
// the log: fromStore or a peer's address.
func (a *Agent) recordConfirmation(number int64, readStart clock.Instant, from string) {
	if number == 0 || number != a.configNumber() {
		return
	}
	restoredAt := a.config.Store.Era().ChangedAt
	if !restoredAt.IsZero() && readStart.Age() > time.Since(restoredAt)-a.config.Timing.RestoreGrace {
		return
	}
	before, isLater := a.replaceConfirmation(&confirmation{number: number, at: readStart})
	if isLater && (before.IsZero() || before.Age() > confirmationGap) {
		a.logConfirmation(number, readStart.Age(), before, from)
	}
}

// replaceConfirmation makes next the confirmation if it is later than the one before. It
// returns when that was, or zero.
func (a *Agent) replaceConfirmation(next *confirmation) (before clock.Instant, isLater bool) {
	for {
		confirmed := a.confirmed.Load()
		if confirmed != nil {
			before = confirmed.at
		}
		if !before.IsZero() && next.at.Age() >= before.Age() {
			return before, false
		}
		if a.confirmed.CompareAndSwap(confirmed, next) {
			return before, true
		}
	}
}

// logConfirmation logs a confirmation of the given age that ends a gap: the one before was
// old, or there was none.
func (a *Agent) logConfirmation(number int64, age time.Duration, before clock.Instant, from string) {
	attributes := []slog.Attr{slog.Int64("number", number), slog.String("from", from), slog.Int64("age_ms", age.Milliseconds())}
	if !before.IsZero() {
		attributes = append(attributes, slog.Int64("before_ms", before.Age().Milliseconds()))
	}
	a.log.Write(event.ConfigurationConfirmed, attributes...)
}

// isConfirmationFresh reports whether this node can skip the next read of the
// configuration from the store. It can if the active configuration was confirmed
// recently, or if there is none yet and the root of the tree of nodes will announce
// one. It returns false at the root, on whose reads the other nodes rely.
func (a *Agent) isConfirmationFresh() bool {
	age, ok := a.ConfirmedAge()
	switch {
	case a.rootSendsChanges():
		return !ok || (age < treeConfirmAge && a.areEvacuationsFresh(treeConfirmAge))
	case a.IsController() && a.usesTree():
		return false // The other nodes rely on this node's reads.
	default:
		return ok && age < a.config.Timing.ConfirmInterval && a.areEvacuationsFresh(a.config.Timing.ConfirmInterval)
	}
}

// applyConfigNumber compares a peer's configuration number with this node's. If the
// peer's is larger, the configuration is read from the store or fetched from the peer
// in the background.
func (a *Agent) applyConfigNumber(from string, number int64) {
	if number <= a.configNumber() {
		return
	}
	if !a.usesTree() || a.configReadLimiter.Allow() {
		a.routingMirror.RequestSync()
	}
	a.fetchConfigLater(from, number)
}

// exchangeFor returns the exchange for a message to a peer that is sent now. registryAt is the
// moment up to which the checksums of a summary cover the registry; in other messages it is
// zero.
func (a *Agent) exchangeFor(address string, registryAt clock.Instant) *digest.Exchange {
	out, _ := a.exchangeAndZonesFor(address, registryAt)
	return out
}

// exchangeAndZonesFor is exchangeFor, and returns what this node knows of the evacuated zones
// for the same message, nil if no zone can be evacuated.
func (a *Agent) exchangeAndZonesFor(address string, registryAt clock.Instant) (*digest.Exchange, *digest.Evacuations) {
	now := a.moment()
	out := &digest.Exchange{}
	a.mu.Lock()
	if a.echoes.IsStampDue(address, now) {
		out.Stamp = uint64(a.echoClock.Stamp(now))
	}
	arrival, ok := a.echoes.Last(address, now)
	a.mu.Unlock()
	zones := a.evacuationsFor(arrival, ok)
	if !ok {
		return out, zones
	}
	confirmed := confirmation{}
	if c := a.confirmed.Load(); c != nil {
		confirmed = *c
	}
	out.Echo = uint64(arrival.Stamp)
	out.ConfirmedNumber, out.ConfirmedLagMillis = confirmed.number, a.lagMillis(confirmed.at, arrival)
	out.RegistryLagMillis = a.lagMillis(registryAt, arrival)
	return out, zones
}

// lagMillis returns the lag of an instant, or nil if it is zero.
func (a *Agent) lagMillis(i clock.Instant, arrival echo.Arrival) *int64 {
	if i.IsZero() {
		return nil
	}
	lag := echo.Lag(a.momentOf(i), arrival.At).Milliseconds()
	return &lag
}

// applyExchange records the stamp of a peer and what the peer's confirmation proves of this
// node's configuration. It returns the instant up to which the checksums of a summary cover
// the registry, or zero if that is not known.
func (a *Agent) applyExchange(from string, x *digest.Exchange) (registryAt clock.Instant) {
	now := a.moment()
	if x.Stamp != 0 {
		a.mu.Lock()
		a.echoes.Record(from, echo.Arrival{Stamp: echo.Stamp(x.Stamp), At: now})
		a.mu.Unlock()
	}
	if confirmedAt := a.instantFromLag(x.Echo, x.ConfirmedLagMillis, now); !confirmedAt.IsZero() {
		a.recordConfirmation(x.ConfirmedNumber, confirmedAt, from)
	}
	return a.instantFromLag(x.Echo, x.RegistryLagMillis, now)
}

// instantFromLag returns the instant that a peer's lag means by this node's clock, or zero if
// the lag is missing or the returned stamp is not of this start of the node.
func (a *Agent) instantFromLag(returned uint64, lagMillis *int64, now time.Duration) clock.Instant {
	if lagMillis == nil || *lagMillis > maxLagMillis || *lagMillis < -maxLagMillis {
		return clock.Instant{}
	}
	moment, ok := a.echoClock.Moment(echo.Stamp(returned), time.Duration(*lagMillis)*time.Millisecond, now)
	if !ok {
		return clock.Instant{}
	}
	return a.startedAt.Earlier(-moment)
}

// moment returns the time since the start of this node, standstills included.
func (a *Agent) moment() time.Duration { return a.startedAt.Age() }

// momentOf returns the time from the start of this node to an instant. If the process stands
// still meanwhile, the result is too early.
func (a *Agent) momentOf(i clock.Instant) time.Duration {
	now := a.moment()
	return now - i.Age()
}
