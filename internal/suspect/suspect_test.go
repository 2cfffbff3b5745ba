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
				_, isNew := r.Add(Strike{Request: 7, Server: ring.VM(fmt.Sprint("s", i)), Incarnation: "1", IsStrong: isStrong}, now)
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
	weak := Strike{Request: 7, Server: "s", Incarnation: "1"}
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
	for i := range 3 * maxRequests {
		r.Add(Strike{Request: Digest(i), Server: "s"}, now.Add(time.Duration(i)))
	}
	is.Equal(len(r.List(now)), maxRequests)
	is.Equal(len(r.Find(3*maxRequests-1, now).Servers), 1) // the latest are kept
	for i := range 10 * maxServers {
		r.Add(Strike{Request: 5, Server: ring.VM(fmt.Sprint(i))}, now)
	}
	is.Equal(len(r.Find(5, now).Servers), maxServers)
	is.True(!r.IsEmpty(now))
	r.Clear()
	is.True(r.IsEmpty(now))
}

// TestRegistryIsEmptyAfterTheRetention guards against digests that are computed for each
// request for ever after one strike.
func TestRegistryIsEmptyAfterTheRetention(t *testing.T) {
	is := is.New(t)
	var r Registry
	now := time.Unix(1, 0)
	is.True(r.IsEmpty(now))
	r.Add(Strike{Request: 1, Server: "s"}, now)
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
