package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
)

// TestRequestIsRefusedAfterItsStrikes checks the bounds on the servers that may end under
// one request: two while it had just begun to run, three in all.
func TestRequestIsRefusedAfterItsStrikes(t *testing.T) {
	for _, test := range []struct {
		strong    []bool
		isRefused bool
	}{
		{nil, false},
		{[]bool{true}, false},
		{[]bool{true, true}, true},
		{[]bool{true, false}, false},
		{[]bool{false, false}, false},
		{[]bool{false, false, false}, true},
	} {
		t.Run(fmt.Sprint(test.strong), func(t *testing.T) {
			is := is.New(t)
			var r Registry
			now := time.Unix(1, 0)
			for i, isStrong := range test.strong {
				_, isNew := r.Add(Strike{Subject: 7, Server: ring.VM(fmt.Sprint("s", i)), Incarnation: "1", IsStrong: isStrong}, now)
				is.True(isNew)
			}
			is.Equal(r.Find(7, now).IsRefused(), test.isRefused)
			is.True(!r.Find(8, now).IsRefused())
			is.True(!r.Find(7, now.Add(retention)).IsRefused()) // forgotten
		})
	}
}

// TestServerCountsOnceForARequest guards against counting the end of one process twice,
// because two nodes report it or a report is repeated.
func TestServerCountsOnceForARequest(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	weak := Strike{Subject: 7, Server: "s", Incarnation: "1"}
	strong := weak
	strong.IsStrong = true
	for _, step := range []struct {
		strike Strike
		isNew  bool
	}{{weak, true}, {weak, false}, {strong, true}, {strong, false}, {weak, false}} {
		_, isNew := r.Add(step.strike, now)
		is.Equal(isNew, step.isNew)
	}
	record := r.Find(7, now)
	is.Equal(len(record.Servers), 1)
	is.Equal(record.Strong, 1)
	again := strong
	again.Incarnation = "2" // The server has started again.
	record, _ = r.Add(again, now)
	is.True(record.IsRefused())
}

// TestRegistryIsBounded guards against memory that grows with the number of requests or
// of servers.
func TestRegistryIsBounded(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	for i := range 3 * maxSubjects {
		r.Add(Strike{Subject: Digest(i), Server: "s"}, now.Add(time.Duration(i)))
	}
	is.Equal(len(r.List(now)), maxSubjects)
	is.Equal(len(r.Find(3*maxSubjects-1, now).Servers), 1) // the latest are kept
	for i := range 10 * maxServers {
		r.Add(Strike{Subject: 5, Server: ring.VM(fmt.Sprint(i))}, now)
	}
	is.Equal(len(r.Find(5, now).Servers), maxServers)
	is.True(!r.IsEmpty(now))
	r.Clear(now)
	is.True(r.IsEmpty(now))
}

// TestRegistryIsEmptyAfterTheRetention guards against digests that are computed for each
// request for ever after one strike.
func TestRegistryIsEmptyAfterTheRetention(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	is.True(r.IsEmpty(now))
	r.Add(Strike{Subject: 1, Server: "s"}, now)
	is.True(!r.IsEmpty(now.Add(retention - 1)))
	is.True(r.IsEmpty(now.Add(retention)))
}

// TestDigestTellsRequestsApart checks that a digest depends on each part and on the
// secret, and not on how the parts are joined.
func TestDigestTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	d := NewDigest("k", "a", "bc")
	is.Equal(d, NewDigest("k", "a", "bc"))
	is.True(d != NewDigest("k", "ab", "c"))
	is.True(d != NewDigest("l", "a", "bc"))
	is.True(d != NewDigest("k", "a", "bd"))
}

// TestClearedSubjectIsNotAdoptedAgain guards against an operator who ends a refusal at one node
// and gets it back from the others.
func TestClearedSubjectIsNotAdoptedAgain(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	refusal := Refusal{Subjects: []Digest{partBit | 1, partBit | 2}, Since: now, DecidedAt: now, Until: now.Add(retention)}
	_, isNew := r.Adopt(refusal, now)
	is.True(isNew)
	is.True(r.Judge([]Digest{7, partBit | 1, partBit | 2}, now).Refusal != nil)
	is.Equal(r.Judge([]Digest{7, partBit | 1}, now).Trial, []Digest{partBit | 1}) // only some of the subjects
	is.Equal(r.Clear(now.Add(time.Second)), refusal.Subjects)
	sound, isNew := r.Adopt(refusal, now.Add(2*time.Second))
	is.True(!isNew)
	is.Equal(sound, refusal.Subjects)
	is.True(r.Judge([]Digest{7, partBit | 1, partBit | 2}, now.Add(2*time.Second)).Refusal == nil)
}

// TestRefusalEnds guards against a refusal that ends while such requests still come, and against one
// that never does.
func TestRefusalEnds(t *testing.T) {
	is := is.New(t)
	var r Registry
	start := time.Unix(1, 0)
	r.Adopt(Refusal{Subjects: []Digest{partBit | 1}, Since: start, DecidedAt: start, Until: start.Add(retention)}, start)
	request := []Digest{7, partBit | 1}
	now := start
	for now.Before(start.Add(maxRefusalTime - retention)) {
		now = now.Add(retention - time.Second)
		is.True(r.Judge(request, now).Refusal != nil)
	}
	is.True(r.Judge(request, start.Add(maxRefusalTime)).Refusal == nil)
	r.Adopt(Refusal{Subjects: []Digest{partBit | 1}, Since: now, DecidedAt: now, Until: now.Add(retention)}, now)
	is.True(r.Judge(request, now.Add(retention)).Refusal == nil) // no request came
}

// strikePart adds strong strikes against a part, one for each server, 100 ms apart. It returns
// the time after them.
func strikePart(r *Registry, part Digest, now time.Time, servers ...string) time.Time {
	for _, server := range servers {
		now = now.Add(100 * time.Millisecond)
		r.Add(Strike{Subject: part, Server: ring.VM(server), IsStrong: true}, now)
		r.Decide(now)
	}
	return now
}

// isRefused reports whether a request with the part is refused after SettleTime, in which another
// response is complete if hasOther is set.
func isRefused(r *Registry, part Digest, now time.Time, hasOther bool) bool {
	if hasOther {
		r.Acquit([]Digest{5}, true, now.Add(SettleTime/2))
	}
	return r.Judge([]Digest{7, part}, now.Add(SettleTime)).Refusal != nil
}

// TestPartIsNotRefusedWhileNothingIsServed guards against refusing the parts that all requests
// have when all servers end at once, and so no response could show that they are sound.
func TestPartIsNotRefusedWhileNothingIsServed(t *testing.T) {
	is := is.New(t)
	part, start := partBit|1, time.Unix(1, 0)
	var r Registry
	now := strikePart(&r, part, start, "a", "b", "c")
	is.True(!isRefused(&r, part, now, false))
	is.True(isRefused(&r, part, now, true))
	var blind Registry
	now = strikePart(&blind, part, start, "a", "b", "c", "d", "e")
	is.True(isRefused(&blind, part, now, false)) // It goes on for too long.
}

// TestPartAmongOtherEndsNeedsMoreStrikes guards against refusing a part that was by chance
// at some of many servers that ended.
func TestPartAmongOtherEndsNeedsMoreStrikes(t *testing.T) {
	is := is.New(t)
	part, start := partBit|1, time.Unix(1, 0)
	var r Registry
	now := strikePart(&r, partBit|2, start, "x1", "x2")
	r.Acquit([]Digest{partBit | 2}, true, now)
	now = strikePart(&r, partBit|3, now, "x3", "x4")
	r.Acquit([]Digest{partBit | 3}, true, now)
	now = strikePart(&r, part, now, "a", "b", "c")
	is.True(!isRefused(&r, part, now, true)) // three of seven
	now = strikePart(&r, part, now.Add(SettleTime), "d")
	is.True(isRefused(&r, part, now, true))
}

// TestTwoStrikesDoNotRefuseARequestBesideARival guards against refusing a request that was at two
// servers together with another one, or while servers end where it was not.
func TestTwoStrikesDoNotRefuseARequestBesideARival(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	add := func(r *Registry, d Digest, servers ...ring.VM) {
		for _, server := range servers {
			r.Add(Strike{Subject: d, Server: server, IsStrong: true}, now)
		}
	}
	var alone, rival, others Registry
	settled := now.Add(SettleTime) // The strikes of others have arrived.
	add(&alone, 7, "a", "b")
	is.True(alone.Judge([]Digest{7}, now).IsPending)
	is.True(alone.Judge([]Digest{7}, now).Refusal == nil)
	is.True(alone.Judge([]Digest{7}, settled).Refusal != nil)
	add(&rival, 7, "a", "b")
	add(&rival, 8, "a", "b")
	is.True(rival.Judge([]Digest{7}, settled).Refusal == nil)
	is.True(rival.Judge([]Digest{7}, settled).IsIsolated)
	add(&others, 7, "a", "b")
	add(&others, 8, "c")
	is.True(others.Judge([]Digest{7}, settled).Refusal == nil)
	add(&others, 7, "d")
	is.True(others.Judge([]Digest{7}, settled).Refusal != nil)
}

// TestSubjectsThatNothingTellsApartAreTried guards against refusing requests with only one
// of several subjects that were at the same servers. Further ends, or a complete response,
// tell them apart.
func TestSubjectsThatNothingTellsApartAreTried(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	first, second := partBit|1, partBit|2
	var r Registry
	for _, server := range []ring.VM{"a", "b", "c"} {
		now = now.Add(100 * time.Millisecond)
		r.Add(Strike{Subject: first, Server: server, IsStrong: true}, now)
		r.Add(Strike{Subject: second, Server: server, IsStrong: true}, now)
		r.Decide(now)
	}
	r.Acquit([]Digest{5}, true, now.Add(time.Millisecond))
	now = now.Add(SettleTime)
	is.True(r.Judge([]Digest{7, first, second}, now).Refusal != nil)
	is.Equal(r.Judge([]Digest{8, first}, now).Trial, []Digest{first})
	r.Acquit([]Digest{first}, true, now)
	is.True(r.Judge([]Digest{8, first}, now).Refusal == nil)
	is.True(r.Judge([]Digest{9, second}, now).Refusal != nil)
}

// TestRefusalKeepsItsOwnSubjects guards against a refusal that shares the subjects of the request which
// met it, and changes them when it ends.
func TestRefusalKeepsItsOwnSubjects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	var r Registry
	for _, server := range []ring.VM{"a", "b"} {
		r.Add(Strike{Subject: 7, Server: server, IsStrong: true}, now)
	}
	subjects := []Digest{7, partBit | 1}
	refusal := r.Judge(subjects, now.Add(SettleTime)).Refusal
	is.Equal(refusal.Subjects, []Digest{7})
	r.Acquit([]Digest{7}, true, now)
	is.Equal(subjects, []Digest{7, partBit | 1})
	is.Equal(refusal.Subjects, []Digest{7})
}
