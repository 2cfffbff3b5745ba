package agent

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/digest"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/fleet"
	"eelgrassring.dev/internal/mirror"
	"eelgrassring.dev/internal/standin/platform"
)

const (
	leavingNodes = 90
	// leavingBound is the time from the store's acknowledgement that a server leaves or
	// is gone until no node sends to it. A request may reach the server no later than
	// 3 s after the acknowledgement; the difference is for requests on their way.
	leavingBound = 2500 * time.Millisecond
)

// removeServer deletes the registry entry of the head of the replica with the given
// index.
func (tc *testCluster) removeServer(i int) {
	tc.deleteKey("server/" + string(headOfReplica(i).ID))
}

// timeUntilUnused returns the time until no node sends to the replica, apart from the
// isolated nodes. It waits for leavingBound at most.
func (tc *testCluster) timeUntilUnused(g ring.Group) time.Duration {
	start := time.Now()
	for time.Since(start) <= leavingBound && tc.connectedNodesSendingTo(g) > 0 {
		tc.streamFor(20 * time.Millisecond)
	}
	return time.Since(start)
}

// TestServerThatIsGoneBetweenTwoRootsIsUnused guards against nodes, and so the next
// root, that keep a server which they know from the previous root only: its removal is
// in the store, but their mirrors never had the key.
func TestServerThatIsGoneBetweenTwoRootsIsUnused(t *testing.T) {
	for _, offset := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		runCluster(t, leavingNodes, func(is *is.I, tc *testCluster) {
			const replica = 18
			tc.writeConfig(1)
			tc.startRequests(replica)
			tc.stopRegistryWatches()
			tc.putServer(headOfReplica(replica))
			tc.streamFor(time.Second)
			is.Equal(tc.nodesSendingTo("g18"), leavingNodes)
			tc.isolateRoot()
			tc.streamFor(offset)
			tc.removeServer(replica)
			if unused := tc.timeUntilUnused("g18"); unused > leavingBound {
				t.Errorf("%d nodes send to the server %s after it was removed, which was %s after the root was lost", tc.connectedNodesSendingTo("g18"), unused, offset)
			}
		})
	}
}

// TestNewRootKnowsWhenItHasListedTheRegistry guards against a root that does not count
// the listing which begins with its term. Until the next one, it sends no checksums.
func TestNewRootKnowsWhenItHasListedTheRegistry(t *testing.T) {
	runCluster(t, leavingNodes, func(_ *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		tc.isolateRoot()
		tc.streamFor(5 * time.Second)
		for _, a := range tc.agents {
			if a.IsController() && a.hasFullRegistry.Load() {
				return
			}
		}
		t.Error("no root has listed the registry in its term")
	})
}

// TestLostRemovalOfTheNewestServerIsRecovered guards against a bucket listing that says
// nothing about the newest entry of the registry: after its removal, the newest entry
// that is left is older than the one that a node must drop.
func TestLostRemovalOfTheNewestServerIsRecovered(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		const replica = 2
		tc.writeConfig(1)
		tc.startRequests(replica)
		tc.stopRegistryWatches()
		tc.putServer(headOfReplica(replica))
		tc.streamFor(time.Second)
		lossyUntil := time.Now().Add(300 * time.Millisecond)
		tc.network.setDrops(func(_ string, m digest.Message) bool { return len(m.Entries) > 0 && time.Now().Before(lossyUntil) })
		tc.removeServer(replica)
		if unused := tc.timeUntilUnused("g2"); unused > leavingBound {
			t.Errorf("%d nodes send to the server %s after it was removed", tc.nodesSendingTo("g2"), unused)
		}
	})
}

// controllerIndex returns the index of the node that is the controller, or -1.
func (tc *testCluster) controllerIndex() int {
	return slices.IndexFunc(tc.agents, (*Agent).IsController)
}

// endTerm makes the controller send no more summaries and lose the store. It stays a
// node of the tree.
func (tc *testCluster) endTerm() {
	root := tc.controllerIndex()
	name := tc.agents[root].config.Name
	tc.stores[root].SetFault(platform.FaultDown)
	tc.network.setDrops(func(_ string, m digest.Message) bool { return m.Summary != nil && m.Summary.Root == name })
}

// summaryTerm returns the term of the last summary that the node applied or sent.
func (a *Agent) summaryTerm() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tree.term
}

// TestNewRootReachesAllNodesAtOnce guards against a new root that sends its summaries
// along the tree of the previous one until its watch reports that it is the controller.
// With many nodes the watch is read every 2 s.
func TestNewRootReachesAllNodesAtOnce(t *testing.T) {
	const step = 100 * time.Millisecond
	for phase := time.Duration(0); phase < DefaultTiming().ControllerRenewal; phase += step {
		runCluster(t, leavingNodes, func(_ *is.I, tc *testCluster) {
			tc.writeConfig(1)
			tc.startRequests(18)
			tc.stopRegistryWatches()
			time.Sleep(phase)
			oldRoot := tc.controllerIndex()
			tc.endTerm()
			for tc.controllerIndex() == oldRoot || tc.controllerIndex() < 0 {
				time.Sleep(10 * time.Millisecond)
			}
			term := tc.agents[tc.controllerIndex()].summaryTerm()
			tc.streamFor(2 * heartbeatInterval)
			late := 0
			for _, a := range tc.agents {
				if a.summaryTerm() != term {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d nodes have no summary of the new root after %s", late, 2*heartbeatInterval)
			}
		})
	}
}

// TestEntryThatCannotBeReadNamesNoServer guards against nodes that keep the entry as it
// was: the root dropped it but did not tell them.
func TestEntryThatCannotBeReadNamesNoServer(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.stopRegistryWatches()
		is.Equal(tc.nodesSendingTo("g0"), 30)
		tc.writeKey("server/h0", []byte("{"))
		tc.streamFor(300 * time.Millisecond) // too short for the checksums to reveal the change
		if n := tc.nodesSendingTo("g0"); n > 0 {
			t.Errorf("%d nodes send to a server whose entry cannot be read", n)
		}
	})
}

// TestOddEntryTakesOnlyItsServerOut guards against an entry of another writer that stops the
// nodes from following the others, uses up the epochs of replicas, or is logged with each of
// its heartbeats.
func TestOddEntryTakesOnlyItsServerOut(t *testing.T) {
	odd := map[string]string{
		"nested": strings.Repeat("[", 100_000), "epoch": `{"ID":"epoch","Service":"s","Membership":{"Group":"g","Epoch":18446744073709551615}}`,
		"number": `{"Slots":92233720368547758080}`, "text": `{"ID":"text","Service":"` + strings.Repeat("s", 3000) + `"}`,
	}
	for _, nodes := range []int{3, 30} {
		runCluster(t, nodes, func(is *is.I, tc *testCluster) {
			tc.writeConfig(1)
			tc.startRequests(2)
			for range 5 {
				for name, value := range odd {
					tc.writeKey("server/"+name, []byte(value))
				}
				tc.streamFor(500 * time.Millisecond)
			}
			tc.putServer(headOfReplica(2))
			tc.streamFor(2500 * time.Millisecond)
			is.Equal(tc.nodesSendingTo("g0"), nodes)
			is.Equal(tc.nodesSendingTo("g2"), nodes)
			for _, a := range tc.agents {
				for name := range odd {
					_, known := a.fleet.Server(ring.VM(name))
					is.True(!known)
				}
			}
			if lines := tc.decisions.count(event.ServerInvalid.Name); lines > nodes*len(odd) {
				t.Errorf("%d nodes: %d log lines for %d invalid entries", nodes, lines, len(odd))
			}
		})
	}
}

// TestLargeEntriesReachAllNodes guards against entries that fill a datagram one by one, and
// whose messages would be too large together.
func TestLargeEntriesReachAllNodes(t *testing.T) {
	is := is.New(t)
	network := &testNetwork{transports: map[string]*testTransport{}, bytes: map[string]int{}, messages: map[string]int{}}
	a := New(Config{Transport: &testTransport{network: network, address: "a"}, Store: fake.NewStore(platform.NewKeyspace()), Fleet: fleet.New(), Log: event.NewLog(slog.New(slog.DiscardHandler)), Timing: DefaultTiming()})
	var entries []digest.Entry
	for i := range 12 {
		entries = append(entries, digest.Entry{ID: fmt.Sprint("i", i), Service: strings.Repeat("s", 250), Domain: strings.Repeat("d", 250), Revision: 1 << 50, Epoch: 1 << 60})
	}
	sent := a.sendEntries("b", entries)
	_, messages := network.sent("a")
	is.True(sent > 12*500)
	is.True(sent/messages <= 1400)
	is.True(messages >= 6)
}

// formerParent is a node that is not run, with a root and a node that asks the node for
// registry entries although it is no child of the node any more. heads are the servers that
// the root knows, each in a bucket of its own, and former receives what is sent to the node
// that asks.
type formerParent struct {
	*Agent
	root   *Agent
	heads  []ring.Server
	former *testTransport
}

// newFormerParent returns a former parent that has a summary of a root with two servers that
// it lacks.
func newFormerParent(is *is.I) *formerParent {
	network := &testNetwork{transports: map[string]*testTransport{}, bytes: map[string]int{}, messages: map[string]int{}}
	node := func(name string) *Agent {
		return New(Config{Name: name, Directory: testDirectory{}, Transport: &testTransport{network: network, address: name}, Store: fake.NewStore(platform.NewKeyspace()), Fleet: fleet.New(), Log: event.NewLog(slog.New(slog.DiscardHandler)), Timing: DefaultTiming()})
	}
	p := &formerParent{Agent: node("parent"), root: node("root"), former: &testTransport{network: network, address: "former", queue: make(chan func(), 100)}}
	network.transports["former"] = p.former
	p.serversMirror = p.newMirror(mirror.Config{})
	p.heads = []ring.Server{headOfReplica(0)}
	for i := 1; len(p.heads) < 2; i++ {
		if head := headOfReplica(i); bucketOf(head.ID) != bucketOf(p.heads[0].ID) {
			p.heads = append(p.heads, head)
		}
	}
	for i, head := range p.heads {
		is.True(p.root.fleet.Put(head, ring.Revision(i+1)))
	}
	p.dispatchMessage("root", digest.Message{Summary: &digest.Summary{Root: "root", Term: 1, Sequence: 1, HasRegistry: true, IsPartial: true, Checksums: p.root.registryChecksums()}})
	return p
}

// askFor asks the node for the bucket of a head, and learn sends the node the head's entry.
func (p *formerParent) askFor(head int) {
	p.dispatchMessage("former", digest.Message{EntriesRequest: &digest.EntriesRequest{Buckets: []int{bucketOf(p.heads[head].ID)}}})
}

func (p *formerParent) learn(head int) {
	p.dispatchMessage("root", digest.Message{Entries: []digest.Entry{entryFromServer(p.heads[head], ring.Revision(head+1))}})
}

// answers returns the entries and the listings that were sent since the last call.
func (p *formerParent) answers() (ids []string, listed []int) {
	p.former.handle = func(_ string, m digest.Message) {
		for _, e := range m.Entries {
			ids = append(ids, e.ID)
		}
		if m.BucketListing != nil {
			listed = append(listed, m.BucketListing.Bucket)
		}
	}
	for len(p.former.queue) > 0 {
		(<-p.former.queue)()
	}
	return ids, listed
}

// TestRequestOfAFormerChildIsAnswered guards against a node that requests entries from its
// parent of the tree before the last root, which lacks them itself for a moment, and then
// waits for the next summary: the parent told only its children by the new tree.
func TestRequestOfAFormerChildIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFormerParent(is)
		p.askFor(0)
		p.askFor(1)
		is.Equal(len(p.former.queue), 0)
		for head := range p.heads {
			p.learn(head)
			ids, listed := p.answers()
			is.Equal(ids, []string{string(p.heads[head].ID)})
			is.Equal(listed, []int{bucketOf(p.heads[head].ID)})
		}
	})
}

// TestKeptRequestExpires guards against an answer to a request that the node which sent it
// has repeated to another node.
func TestKeptRequestExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFormerParent(is)
		p.askFor(0)
		time.Sleep(requestInterval)
		p.learn(0)
		is.Equal(len(p.former.queue), 0)
	})
}

// announceLeaving writes that the head of the replica with the given index is about to
// stop.
func (tc *testCluster) announceLeaving(i int) {
	head := headOfReplica(i)
	head.Leaving = true
	tc.putServer(head)
}

// setThirdFault makes the store fail, or work again, for a third of the nodes, which do
// not include the controller.
func (tc *testCluster) setThirdFault(fault platform.Fault) {
	for i, a := range tc.agents {
		if i%3 == 0 && !a.IsController() {
			tc.stores[i].SetFault(fault)
		}
	}
}

// TestServerThatLeavesAroundAChangeOfTheRootIsUnused guards against nodes that rely on a
// root which has lost the store but still sends summaries, and against nodes without the
// store that learn from differing checksums only, of which the next root sends few.
func TestServerThatLeavesAroundAChangeOfTheRootIsUnused(t *testing.T) {
	const step = 500 * time.Millisecond
	for _, thirdFault := range []platform.Fault{platform.FaultNone, platform.FaultDown} {
		for offset := time.Duration(0); offset <= 2*step; offset += step {
			runCluster(t, leavingNodes, func(_ *is.I, tc *testCluster) {
				tc.writeConfig(1)
				tc.startRequests(18)
				tc.stopRegistryWatches()
				tc.setThirdFault(thirdFault)
				tc.stores[tc.controllerIndex()].SetFault(platform.FaultDown)
				tc.streamFor(offset)
				tc.announceLeaving(3)
				if unused := tc.timeUntilUnused("g3"); unused > leavingBound {
					t.Errorf("%d nodes send to the server %s after it left, %s after the root lost the store (a third of the nodes: %q)", tc.nodesSendingTo("g3"), unused, offset, thirdFault)
				}
			})
		}
	}
}

// TestServerThatLeavesAsNodesReturnIsUnused guards against nodes that were turned away by
// the store until the others dropped them, and that get summaries from extra parents, but
// no registry changes.
func TestServerThatLeavesAsNodesReturnIsUnused(t *testing.T) {
	const step = 300 * time.Millisecond
	absence := DefaultTiming().MembershipTTL + time.Second
	for offset := -step; offset <= 2*step; offset += step {
		runCluster(t, leavingNodes, func(_ *is.I, tc *testCluster) {
			tc.writeConfig(1)
			tc.startRequests(60)
			tc.stopRegistryWatches()
			tc.setThirdFault(platform.FaultDown)
			returnTimer := time.AfterFunc(absence, func() { tc.setThirdFault(platform.FaultNone) })
			defer returnTimer.Stop()
			tc.streamFor(absence + offset)
			tc.announceLeaving(3)
			if unused := tc.timeUntilUnused("g3"); unused > leavingBound {
				t.Errorf("%d nodes send to the server %s after it left, %s after the return of a third of the nodes", tc.nodesSendingTo("g3"), unused, offset)
			}
		})
	}
}

// TestRootWithoutStoreDelaysNoElection guards against campaigners that take the
// summaries of a root that has lost the store, and its key, as a sign that it leads.
func TestRootWithoutStoreDelaysNoElection(t *testing.T) {
	runCluster(t, 30, func(_ *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(1)
		early := 0
		for _, a := range tc.agents {
			if a.IsController() {
				continue
			}
			a.mu.Lock()
			a.isControllerKeyHeld = false
			a.tree.summaryAt = time.Now()
			a.tree.registryConfirmedAt = clock.NewInstant()
			a.mu.Unlock()
			if a.mayCampaign() {
				t.Errorf("node %s campaigns against a root that confirms the registry", a.config.Name)
			}
			a.mu.Lock()
			a.tree.registryConfirmedAt = clock.NewInstant().Earlier(followTimeout)
			a.mu.Unlock()
			if a.mayCampaign() {
				early++
			}
		}
		if early == 0 || early > maxCampaigners {
			t.Errorf("%d nodes campaign against a root that has lost the store, want 1 to %d", early, maxCampaigners)
		}
	})
}

// TestServerThatIsGoneIsUnusedByALateNode guards against a node that takes the registry for
// known by summaries that it handles 3 s late, so does not watch it, and sends requests to a
// server that is gone.
func TestServerThatIsGoneIsUnusedByALateNode(t *testing.T) {
	runCluster(t, 30, func(is *is.I, tc *testCluster) {
		tc.writeConfig(1)
		tc.startRequests(2)
		tc.network.setDelay(nodeName(tc.nodeBelowRoot()), 3*time.Second)
		tc.streamFor(6 * time.Second)
		tc.stopRegistryWatches()
		tc.removeServer(0)
		is.True(tc.timeUntilUnused("g0") < leavingBound)
	})
}
