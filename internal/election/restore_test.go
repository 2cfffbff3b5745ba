package election

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/standin/platform"
)

// seedCount is the number of seeds that the randomized test plays.
var seedCount = flag.Uint64("seeds", 100, "seeds per randomized test")

// TestTermsAreExclusiveAcrossRestores plays restores of the store from copies that are
// up to 5 s old, in series and seconds apart, while candidates lose the store, and
// others start. At no time may two of them lead, and no term may have a smaller number
// than an earlier one: the fencing numbers of orders derive from it.
func TestTermsAreExclusiveAcrossRestores(t *testing.T) {
	restores, terms := 0, 0
	for seed := range *seedCount {
		synctest.Test(t, func(t *testing.T) {
			r, n := playRestores(t, seed)
			restores += r
			terms += n
		})
	}
	if restores == 0 || terms == 0 {
		t.Errorf("%d restores and %d terms were played, want some of both", restores, terms)
	}
}

// playRestores plays 30 s of restores and faults by a seed. It returns how many
// restores there were and how many terms began.
func playRestores(t *testing.T, seed uint64) (restores, terms int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	keys := platform.NewKeyspace()
	runLeaseExpiry(ctx, &wait, keys)
	copies := []platform.Copy{keys.Copy()}
	candidates := []*candidate{startCandidate(ctx, &wait, keys, "a"), startCandidate(ctx, &wait, keys, "b"), startCandidate(ctx, &wait, keys, "c")}
	seen := map[*Term]bool{}
	newest := ring.Revision(0)
	for tick := range 3000 {
		time.Sleep(10 * time.Millisecond)
		if tick%50 == 0 {
			copies = append(copies, keys.Copy())
		}
		if tick%20 == 0 && random.IntN(4) == 0 {
			switch c := candidates[random.IntN(len(candidates))]; random.IntN(8) {
			case 0:
				keys.Restore(copies[max(len(copies)-1-random.IntN(10), 0)])
				restores++
			case 1:
				c.store.SetFault(platform.FaultDown)
			case 2:
				c.store.SetFault(platform.FaultSilent)
			case 3:
				c.store.SetFault(platform.FaultResponseLost)
			case 4: // A node that starts now does not know whether there was a restore.
				candidates = append(candidates, startCandidate(ctx, &wait, keys, "new"))
			default:
				c.store.SetFault(platform.FaultNone)
			}
		}
		leading := 0
		for _, c := range candidates {
			term := c.term.Load()
			if term == nil {
				continue
			}
			if !seen[term] {
				seen[term] = true
				terms++
				if term.Number() <= newest {
					t.Errorf("seed %d: the number of a later term is not larger", seed)
				}
				newest = max(newest, term.Number())
			}
			if c.leading.Load() && term.HoldsLease() && !time.Now().Before(term.ExclusiveFrom()) {
				leading++
			}
		}
		if leading > 1 {
			t.Errorf("seed %d: %d candidates lead %s after the start", seed, leading, time.Duration(tick)*10*time.Millisecond)
			break
		}
	}
	cancel()
	wait.Wait()
	return restores, terms
}
