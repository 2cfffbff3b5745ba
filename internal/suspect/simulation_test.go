package suspect

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	ring "eelgrassring.dev"
)

// simulation plays requests at servers against a Registry, in steps of virtual time.
// Requests have a common part of their caller, some parts that others share, and one of their
// own. Servers end for no reason, one at a time or many at once; some requests have a part
// that ends their server.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	registry Registry
	servers  []simServer
	begun    int
	// deadlyShare is the share of the requests that have the part deadly. Their server ends
	// endAfter after they have begun.
	deadlyShare float64
	// deadlyParts is the number of such parts, of which a request has one.
	deadlyParts int
	endAfter    time.Duration
	rate        float64
	// isMoving makes sound requests go on at another server when theirs has ended.
	isMoving bool
	// ends are the times at which servers ended under requests with each deadly part. sendsLate
	// counts the deadly requests that were sent later than 3 s after the fifth end under their
	// part, and refused the sound requests that were refused.
	ends      map[Digest][]time.Time
	sendsLate map[Digest]int
	refused   int
}

// mostLate returns the largest of sendsLate.
func (s *simulation) mostLate() int {
	most := 0
	for _, n := range s.sendsLate {
		most = max(most, n)
	}
	return most
}

// simServer is a server with its requests.
type simServer struct {
	life     int
	downTill time.Time
	requests []simRequest
}

// simRequest is a request at a server.
type simRequest struct {
	subjects []Digest
	isDeadly bool
	// isIsolated is set if it took one of simNodes places for isolated requests.
	isIsolated bool
	begunAt    time.Time
	endsAt     time.Time
	// hasRun is set if it had run for a while at another server.
	hasRun bool
}

const (
	simStep = 10 * time.Millisecond
	// simNodes is the number of nodes, each of which sends one isolated request at a time.
	simNodes  = 6
	simDeadly = partBit | 1<<40
)

// newSimulation returns a simulation whose sizes and rates depend on the seed.
func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 31))
	return &simulation{
		random: random, now: time.Unix(1000, 0), servers: make([]simServer, 6+random.IntN(30)),
		ends: map[Digest][]time.Time{}, sendsLate: map[Digest]int{},
		deadlyParts: 1, rate: 5 + 195*random.Float64(), endAfter: time.Duration(random.IntN(300)) * time.Millisecond,
	}
}

// newRequest returns the subjects of a new request: itself, and its parts.
func (s *simulation) newRequest(isDeadly bool) []Digest {
	s.begun++
	out := []Digest{Digest(s.begun), partBit | Digest(1+s.random.IntN(5))}
	for range s.random.IntN(3) {
		// Some parts are shared by many requests, others by few.
		out = append(out, partBit|Digest(100+int(200*s.random.ExpFloat64())))
	}
	if isDeadly {
		out = slices.Insert(out, 1+s.random.IntN(len(out)-1), simDeadly+Digest(s.random.IntN(s.deadlyParts)))
	}
	return append(out, partBit|Digest(1_000_000+s.begun))
}

// deadlyPartOf returns the deadly part among subjects, or 0.
func deadlyPartOf(subjects []Digest) Digest {
	for _, d := range subjects {
		if d == simDeadly || d == simDeadly+1 {
			return d
		}
	}
	return 0
}

// end ends a server's process under its requests.
func (s *simulation) end(i int) {
	server := &s.servers[i]
	if s.now.Before(server.downTill) {
		return
	}
	name := ring.VM(fmt.Sprint(i))
	for _, r := range server.requests {
		for _, d := range r.subjects {
			s.registry.Add(Strike{Subject: d, Server: name, Incarnation: fmt.Sprint(server.life), IsStrong: !r.hasRun && s.now.Sub(r.begunAt) < 500*time.Millisecond}, s.now)
		}
	}
	broken := server.requests
	server.requests, server.downTill = nil, s.now.Add(3*time.Second)
	server.life++
	for _, r := range broken {
		if s.isMoving && !r.isDeadly {
			s.resume(r)
		}
	}
}

// resume lets a sound request go on at another server.
func (s *simulation) resume(r simRequest) {
	judgement := s.registry.Judge(r.subjects, s.now)
	if judgement.Refusal != nil {
		s.refused++
		return
	}
	if judgement.IsPending || judgement.IsRare {
		return // Its caller gets a failure, and may repeat it.
	}
	i := s.random.IntN(len(s.servers))
	if s.now.Before(s.servers[i].downTill) {
		return
	}
	r.hasRun = r.hasRun || s.now.Sub(r.begunAt) >= 500*time.Millisecond
	r.begunAt, r.endsAt = s.now.Add(50*time.Millisecond), s.now.Add(time.Duration(100+s.random.IntN(2000))*time.Millisecond)
	s.servers[i].requests = append(s.servers[i].requests, r)
}

// step plays simStep: new requests, responses that are complete or go on, and ends.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for range poisson(s.random, s.rate*simStep.Seconds()) {
		s.send()
	}
	for i := range s.servers {
		server := &s.servers[i]
		for _, r := range server.requests {
			switch {
			case r.isDeadly && s.now.Sub(r.begunAt) >= s.endAfter:
				part := deadlyPartOf(r.subjects)
				s.ends[part] = append(s.ends[part], s.now)
				s.end(i)
			case !s.now.Before(r.endsAt):
				s.registry.Acquit(r.subjects, true, s.now)
			case s.now.Sub(r.begunAt) >= 500*time.Millisecond:
				s.registry.Acquit(r.subjects, false, s.now)
			}
		}
		server.requests = slices.DeleteFunc(server.requests, func(r simRequest) bool { return !s.now.Before(r.endsAt) })
	}
}

// send sends a new request to a server, unless it is refused. Isolated requests go to the first
// server that runs.
func (s *simulation) send() {
	isDeadly := s.random.Float64() < s.deadlyShare
	subjects := s.newRequest(isDeadly)
	judgement := s.registry.Judge(subjects, s.now)
	if judgement.Refusal != nil {
		if !isDeadly {
			s.refused++
		}
		return
	}
	up := func(i int) bool { return !s.now.Before(s.servers[i].downTill) }
	i := s.random.IntN(len(s.servers))
	if judgement.IsIsolated {
		if s.isolated() == simNodes || judgement.IsRare && !(Window{Start: time.Unix(0, 0)}).IsOpen(s.now, 1) {
			return
		}
		i = 0
		for i < len(s.servers)-1 && !up(i) {
			i++
		}
	}
	if !up(i) {
		return
	}
	if part := deadlyPartOf(subjects); isDeadly && len(s.ends[part]) >= 5 && s.now.Sub(s.ends[part][4]) > 3*time.Second {
		s.sendsLate[part]++
	}
	begunAt := s.now.Add(time.Duration(s.random.IntN(200)) * time.Millisecond)
	endsAt := begunAt.Add(time.Duration(100+s.random.IntN(2000)) * time.Millisecond)
	if isDeadly {
		endsAt = endsAt.Add(s.endAfter) // No response to it is complete.
	}
	s.servers[i].requests = append(s.servers[i].requests, simRequest{
		subjects: subjects, isDeadly: isDeadly, isIsolated: judgement.IsIsolated, begunAt: begunAt, endsAt: endsAt,
	})
}

// isolated counts the isolated requests at servers.
func (s *simulation) isolated() int {
	count := 0
	for _, server := range s.servers {
		for _, r := range server.requests {
			if r.isIsolated {
				count++
			}
		}
	}
	return count
}

// poisson returns a Poisson random number.
func poisson(random *rand.Rand, mean float64) int {
	n, sum := 0, random.ExpFloat64()
	for sum < mean {
		n++
		sum += random.ExpFloat64()
	}
	return n
}

// simulationSeeds is the number of seeds that are played.
var simulationSeeds = flag.Uint64("suspect.seeds", 200, "number of seeds of the simulation")

// simulationShards is the number of seeds that are played at the same time.
const simulationShards = 8

// forSeeds calls play for each seed.
func forSeeds(t *testing.T, play func(t *testing.T, seed uint64)) {
	for shard := range uint64(simulationShards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < *simulationSeeds; seed += simulationShards {
				play(t, seed)
			}
		})
	}
}

// TestEndsWithoutACauseRefuseNothing plays servers that end for no reason within 13 s: 15 in 100
// one after the other, and a rack, of up to a third of all, at once.
func TestEndsWithoutACauseRefuseNothing(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed)
		rackAt := 200 + s.random.IntN(1200)
		for i := range 1500 {
			s.step()
			if i > 200 && s.random.Float64() < 0.15*float64(len(s.servers))/1300 {
				s.end(s.random.IntN(len(s.servers)))
			}
			if i == rackAt {
				first := s.random.IntN(len(s.servers))
				for k := range 1 + s.random.IntN(1+len(s.servers)/3) {
					s.end((first + k) % len(s.servers))
				}
			}
		}
		if s.refused > 0 {
			refusals, _ := s.registry.Decide(s.now)
			t.Errorf("seed %d: %d of %d requests were refused: %+v", seed, s.refused, s.begun, refusals)
		}
	})
}

// TestDeadlyPartIsFound plays a part that ends each server, among sound requests and servers
// that end for no reason.
func TestDeadlyPartIsFound(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed)
		for range 200 {
			s.step()
		}
		s.deadlyShare = []float64{0.01, 0.03, 0.1, 0.3}[seed%4]
		for range 1500 {
			s.step()
			if s.random.Float64() < 0.15*float64(len(s.servers))/1500 {
				s.end(s.random.IntN(len(s.servers)))
			}
		}
		if s.refused > 0 || s.mostLate() > 3 {
			refusals, _ := s.registry.Decide(s.now)
			t.Errorf("seed %d: servers ended %v, deadly requests were sent late %v, %d sound requests refused: %+v", seed, len(s.ends), s.sendsLate, s.refused, refusals)
		}
	})
}

// TestDeadlyPartIsFoundAmongMovingStreams guards against refusing sound streams, or sending on
// deadly requests, because streams move from the servers that end to others that end next.
func TestDeadlyPartIsFoundAmongMovingStreams(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed)
		s.isMoving = true
		for range 200 {
			s.step()
		}
		s.deadlyShare = []float64{0, 0.01, 0.03, 0.1}[seed%4]
		for range 1500 {
			s.step()
			if s.random.Float64() < 0.15*float64(len(s.servers))/1500 {
				s.end(s.random.IntN(len(s.servers)))
			}
		}
		if s.refused > 0 || s.mostLate() > 3 {
			refusals, _ := s.registry.Decide(s.now)
			t.Errorf("seed %d: servers ended %v, deadly requests were sent late %v, %d sound requests refused: %+v", seed, len(s.ends), s.sendsLate, s.refused, refusals)
		}
	})
}

// TestTwoDeadlyPartsAreFound plays two parts that end each server, at the same time. Requests with
// one of them do not have the other.
func TestTwoDeadlyPartsAreFound(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		s := newSimulation(seed)
		for range 200 {
			s.step()
		}
		s.deadlyParts, s.deadlyShare = 2, []float64{0.02, 0.06, 0.2}[seed%3]
		for range 1500 {
			s.step()
		}
		refusals, _ := s.registry.Decide(s.now)
		if s.refused > 0 || s.mostLate() > 3 {
			t.Errorf("seed %d: servers ended %v, deadly requests were sent late %v, %d sound requests refused: %+v", seed, len(s.ends), s.sendsLate, s.refused, refusals)
		}
	})
}
