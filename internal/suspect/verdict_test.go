package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// verdictWorld is a set of nodes that tell each other of strikes and refusals, with delays. A
// culprit ends each server that it is sent to, and a bystander moves with it from server to
// server at first.
type verdictWorld struct {
	random     *rand.Rand
	now        time.Time
	registries []*Registry
	// told holds the decisions that each node has announced.
	told     []int
	messages []verdictMessage
	// ends counts the servers that ended under the culprit.
	ends int
}

// verdictMessage is a call at a later time.
type verdictMessage struct {
	at      time.Time
	deliver func()
}

var (
	culprit   = []Digest{1, partBit | 100, partBit | 1}
	bystander = []Digest{2, partBit | 101, partBit | 2}
)

func newVerdictWorld(seed uint64, nodes int) *verdictWorld {
	w := &verdictWorld{random: rand.New(rand.NewPCG(seed, 35)), now: time.Unix(1000, 0), told: make([]int, nodes)}
	for range nodes {
		w.registries = append(w.registries, &Registry{})
	}
	return w
}

// run lets time pass, delivers messages and lets nodes decide and announce.
func (w *verdictWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(verdictStep) {
		kept := w.messages[:0]
		var due []verdictMessage
		for _, m := range w.messages {
			if m.at.After(w.now) {
				kept = append(kept, m)
			} else {
				due = append(due, m)
			}
		}
		w.messages = kept
		for _, m := range due {
			m.deliver()
		}
		isRepeat := w.now.Sub(time.Unix(0, 0))%(500*time.Millisecond) == 0
		for i, r := range w.registries {
			if refusals, decisions := r.Decide(w.now); decisions != w.told[i] || isRepeat {
				w.told[i] = decisions
				w.tell(i, func(other *Registry) {
					for _, refusal := range refusals {
						other.Adopt(*refusal.clone(), w.now)
					}
				})
			}
		}
	}
}

const (
	// maxVerdictDelay is the longest time that a message between nodes takes, and verdictStep
	// a step of time.
	maxVerdictDelay = 70 * time.Millisecond
	verdictStep     = 5 * time.Millisecond
)

// tell delivers a message to the other nodes, each after a delay.
func (w *verdictWorld) tell(from int, deliver func(other *Registry)) {
	for i, r := range w.registries {
		if i != from {
			w.messages = append(w.messages, verdictMessage{w.now.Add(time.Duration(w.random.Int64N(int64(maxVerdictDelay)))), func() { deliver(r) }})
		}
	}
}

// strike records the end of a server under the subjects of a request at a node after a delay.
func (w *verdictWorld) strike(node int, subjects []Digest, server string, isStrong bool, delay time.Duration) {
	w.messages = append(w.messages, verdictMessage{w.now.Add(delay), func() {
		for _, d := range subjects {
			s := Strike{Subject: d, Server: ring.VM(server), Incarnation: "1", IsStrong: isStrong}
			w.registries[node].Add(s, w.now)
			w.tell(node, func(other *Registry) { other.Add(s, w.now) })
		}
	}})
}

// judge lets a request come at a node. It waits while the node has not decided.
func (w *verdictWorld) judge(node int, subjects []Digest) Judgement {
	for {
		j := w.registries[node].Judge(subjects, w.now)
		if !j.IsPending {
			return j
		}
		w.run(10 * time.Millisecond)
	}
}

// TestLaterEndLiftsAWrongRefusal guards against a wrong refusal that is never revised: the strikes
// of the request to blame came too late, and servers go on ending under it.
func TestLaterEndLiftsAWrongRefusal(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	add := func(d Digest, server ring.VM) { r.Add(Strike{Subject: d, Server: server, IsStrong: true}, now) }
	add(2, "a")
	add(2, "b")
	now = now.Add(SettleTime)
	refusal := r.Judge([]Digest{2}, now).Refusal
	is.True(refusal != nil)
	add(1, "a")
	add(1, "b")
	now = now.Add(SettleTime)
	is.True(r.Judge([]Digest{1}, now).Refusal == nil) // The refusal accounts for both ends.
	now = now.Add(time.Second)
	add(1, "c")
	now = now.Add(SettleTime)
	is.True(r.Judge([]Digest{1}, now).Refusal != nil)
	is.True(r.Judge([]Digest{2}, now).Refusal == nil)
	sound, isNew := r.Adopt(*refusal, now) // from a node that knows less
	is.Equal(sound, []Digest{2})
	is.True(!isNew)
}

// TestSetThatNoRequestMatchesAccountsForNothingElse guards against a refusal of several parts,
// which no request has together, that accounts for the ends under the one to blame.
func TestSetThatNoRequestMatchesAccountsForNothingElse(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	guilty, other := partBit|1, partBit|2
	for _, server := range []ring.VM{"a", "b", "c"} {
		now = strikePart(&r, guilty, now, string(server))
		r.Add(Strike{Subject: other, Server: server, IsStrong: true}, now)
	}
	is.True(isRefused(&r, guilty, now, true) == false) // Only requests with both are.
	refusals, _ := r.Decide(now.Add(time.Second))
	is.Equal(refusals[0].Subjects, []Digest{guilty, other})
	now = now.Add(2 * time.Second)
	r.Acquit([]Digest{5}, true, now)
	for _, server := range []string{"d", "e"} {
		now = strikePart(&r, guilty, now.Add(time.Second), server)
	}
	is.True(isRefused(&r, guilty, now, true)) // after the fifth end, at the latest
}

// TestSetDoesNotAccountForEndsOfOneOfItsSubjects guards against a request that ends servers and
// is not refused, because at each of them there was one subject of a refusal that names several.
func TestSetDoesNotAccountForEndsOfOneOfItsSubjects(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	strike := func(server ring.VM, subjects ...Digest) {
		now = now.Add(200 * time.Millisecond)
		for _, d := range subjects {
			r.Add(Strike{Subject: d, Server: server, IsStrong: true}, now)
		}
		r.Decide(now)
	}
	for _, server := range []ring.VM{"a", "b", "c"} {
		strike(server, partBit|1, partBit|2)
	}
	r.Acquit([]Digest{5}, true, now.Add(time.Millisecond))
	now = now.Add(otherEndsTime + time.Second)
	r.Decide(now)
	strike("d", 7, partBit|1)
	strike("e", 7, partBit|2)
	is.True(r.Judge([]Digest{7}, now.Add(SettleTime)).Refusal != nil)
}

// TestPartsThatAreAlwaysTogetherAreLeftInARefusal guards against a refusal that keeps the part of
// a bystander for ever, because the parts to blame always come together.
func TestPartsThatAreAlwaysTogetherAreLeftInARefusal(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	guilty := []Digest{partBit | 1, partBit | 2}
	strike := func(server ring.VM, subjects ...Digest) {
		now = now.Add(200 * time.Millisecond)
		for _, d := range subjects {
			r.Add(Strike{Subject: d, Server: server, IsStrong: true}, now)
		}
		r.Decide(now)
	}
	for _, server := range []ring.VM{"a", "b", "c"} {
		strike(server, guilty[0], guilty[1], partBit|3)
	}
	r.Acquit([]Digest{5}, true, now.Add(time.Millisecond))
	now = now.Add(time.Second)
	refusals, _ := r.Decide(now)
	is.Equal(len(refusals[0].Subjects), 3)
	strike("d", guilty...)
	strike("e", guilty...)
	is.True(r.Judge([]Digest{9, guilty[0], guilty[1]}, now.Add(SettleTime)).Refusal != nil)
}

// TestCulpritBesideABystanderIsFound guards against a wrong first verdict that frees the request
// that is to blame: a bystander moves with it from one server to the next, a node that knows only
// the bystander's strikes refuses that, and the strikes that this refusal accounts for count
// against nobody else.
func TestCulpritBesideABystanderIsFound(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		for seed := range *simulationSeeds {
			w := newVerdictWorld(seed, nodes)
			w.run(time.Second)
			isFirst := seed%2 == 0 // The bystander's strikes come first, or the culprit's.
			for attempt := range 12 {
				node := w.random.IntN(nodes)
				if w.judge(node, culprit).Refusal != nil {
					break
				}
				server := fmt.Sprint("s", attempt)
				w.run(time.Duration(20+w.random.IntN(40)) * time.Millisecond)
				w.ends++
				early, late := 2*time.Millisecond, time.Duration(5+w.random.IntN(90))*time.Millisecond
				if isFirst {
					early, late = late, early
				}
				w.strike(node, culprit, server, true, early)
				other := w.random.IntN(nodes)
				if attempt < 2 && w.judge(other, bystander).Refusal == nil {
					w.strike(other, bystander, server, true, late)
					w.run(late + 2*time.Millisecond)
					w.judge(other, bystander) // It moves on.
				}
				// The culprit's node has told of the strike before its caller can repeat it.
				w.run(early + maxVerdictDelay + 2*verdictStep + time.Duration(w.random.IntN(400))*time.Millisecond)
			}
			if w.ends > 3 {
				t.Errorf("%d nodes, seed %d: %d servers ended under the culprit, want at most 3", nodes, seed, w.ends)
			}
			w.run(3 * time.Second)
			for i := range w.registries {
				if w.judge(i, bystander).Refusal != nil {
					t.Errorf("%d nodes, seed %d: the bystander is refused at node %d", nodes, seed, i)
					break
				}
			}
		}
	}
}
