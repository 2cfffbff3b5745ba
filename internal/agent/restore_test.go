package agent

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/standin/platform"
)

// seedCount is the number of seeds that the randomized test plays.
var seedCount = flag.Uint64("seeds", 20, "seeds per randomized test")

// activeNumber returns the number of a node's active configuration, or 0.
func activeNumber(a *Agent) int64 {
	if t := a.Routing(); t != nil {
		return t.Number()
	}
	return 0
}

// TestRestoredStoreConfirmsNothingAtFirst guards against a node that takes an older
// configuration for confirmed: the store had acknowledged a newer one, without a key,
// and lost it. The key must not be accepted longer than if there had been no restore.
func TestRestoredStoreConfirmsNothingAtFirst(t *testing.T) {
	runCluster(t, 3, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(3 * time.Second)
		old := tc.keys.Copy()
		for _, s := range tc.stores { // No node reads the new version before the restore.
			s.SetFault(platform.FaultDown)
		}
		tc.writeConfig(2)
		revokedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		tc.keys.Restore(old)
		for _, s := range tc.stores {
			s.SetFault(platform.FaultNone)
		}
		for time.Since(revokedAt) < 2300*time.Millisecond {
			time.Sleep(100 * time.Millisecond)
			for _, a := range tc.agents {
				age, _ := a.ConfirmedAge()
				is.True(age >= time.Since(revokedAt))
			}
		}
		tc.writeConfig(2) // The operator writes it again.
		time.Sleep(2 * time.Second)
		for _, a := range tc.agents {
			is.Equal(activeNumber(a), int64(2))
			is.True(a.acceptsActiveKeys())
		}
	})
}

// TestNodesKnowEachOtherAcrossARestore checks that the nodes still count each other
// while their membership records are lost, and write them again.
func TestNodesKnowEachOtherAcrossARestore(t *testing.T) {
	for _, nodes := range []int{6, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			old := tc.keys.Copy()
			time.Sleep(12 * time.Second)
			tc.keys.Restore(old)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, a := range tc.agents {
					is.Equal(len(a.peerAddresses()), nodes-1)
				}
			}
			entries, _, err := tc.keys.List(t.Context(), "")
			is.NoErr(err)
			is.Equal(len(entries), nodes+3) // the nodes, the controller, the configuration and the settled era
		})
	}
}

// TestAnnouncedEraEndsTheTermOfANodeWithoutStore checks that a controller that cannot
// reach the store stops as soon as a peer tells it of a restore.
func TestAnnouncedEraEndsTheTermOfANodeWithoutStore(t *testing.T) {
	runCluster(t, 3, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		time.Sleep(5 * time.Second)
		old := tc.keys.Copy()
		time.Sleep(time.Second)
		for i, a := range tc.agents {
			if !a.IsController() {
				continue
			}
			tc.stores[i].SetFault(platform.FaultSilent)
			tc.keys.Restore(old)
			time.Sleep(1200 * time.Millisecond) // less than what is left of its lease
			is.Equal(tc.stores[i].Era().Number, ring.Era(2))
			is.True(!a.IsController())
			return
		}
		t.Error("there was no controller")
	})
}

// TestPromisesHoldAcrossRestores plays restores of the store from copies of up to 4 s
// of age, with lost and silent connections to it and isolated nodes, while the operator
// writes versions that each revoke the key of the one before and writes them again when
// they were lost. No configuration in force may go back, and no key may be accepted
// later than 5 s after the acknowledgement of the version that revoked it.
func TestPromisesHoldAcrossRestores(t *testing.T) {
	for seed := range *seedCount {
		runCluster(t, 4, func(is *is.I, tc *testCluster) { playRestores(t, tc, seed) })
	}
}

// playRestores plays 40 s of TestPromisesHoldAcrossRestores by a seed.
func playRestores(t *testing.T, tc *testCluster, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	const revocation = 5 * time.Second
	number := int64(1)
	tc.writeConfig(number)
	acknowledgedAt := map[int64]time.Time{number: time.Now()}
	time.Sleep(4 * time.Second)
	copies := []platform.Copy{tc.keys.Copy()}
	highest := make([]int64, len(tc.agents))
	rewriteAt := time.Time{}
	for range 800 {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		switch random.IntN(60) {
		case 0:
			tc.keys.Restore(copies[max(len(copies)-1-random.IntN(8), 0)])
			rewriteAt = now.Add(time.Duration(random.IntN(1800)) * time.Millisecond)
		case 1:
			number++
			tc.writeConfig(number)
			acknowledgedAt[number] = now
		case 2:
			tc.stores[random.IntN(len(tc.stores))].SetFault(platform.FaultDown)
		case 3:
			tc.stores[random.IntN(len(tc.stores))].SetFault(platform.FaultSilent)
		case 4, 5, 6:
			tc.stores[random.IntN(len(tc.stores))].SetFault(platform.FaultNone)
		case 7:
			tc.network.isolate(nodeName(random.IntN(len(tc.agents))))
		case 8, 9:
			tc.network.rejoin(nodeName(random.IntN(len(tc.agents))))
		case 10:
			copies = append(copies, tc.keys.Copy())
		}
		if !rewriteAt.IsZero() && now.After(rewriteAt) {
			rewriteAt = time.Time{}
			tc.writeConfig(number)
		}
		for i, a := range tc.agents {
			active := activeNumber(a)
			if active < highest[i] {
				t.Fatalf("seed %d: the configuration of node %d went from %d back to %d", seed, i, highest[i], active)
			}
			highest[i] = active
			revokedAt, isRevoked := acknowledgedAt[active+1]
			if isRevoked && a.acceptsActiveKeys() && now.Sub(revokedAt) > revocation {
				t.Fatalf("seed %d: node %d accepts the key of version %d %s after its revocation", seed, i, active, now.Sub(revokedAt))
			}
		}
	}
}
