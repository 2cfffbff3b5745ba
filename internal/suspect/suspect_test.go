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
