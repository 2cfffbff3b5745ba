package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// kind is a kind of fault or planned event.
type kind string

const (
	pause      kind = "pause" // SIGSTOP, later SIGCONT
	kill       kind = "kill"  // SIGKILL, later a restart
	stop       kind = "stop"  // SIGTERM, and a restart when the node has stopped
	hangUp     kind = "hup"   // SIGHUP
	link       kind = "link"
	storeFault kind = "store"
	configure  kind = "apply"
	limit      kind = "limit" // a rate limit that a service names
)

const (
	// minFault and maxFault bound how long a fault lasts.
	minFault = 500 * time.Millisecond
	maxFault = 2500 * time.Millisecond
	// maxPause bounds the time between the begins of two faults.
	maxPause = 600 * time.Millisecond
	// settleTime is the time for which a target has no other fault after one ended.
	settleTime = 500 * time.Millisecond
	// stopTime is how long a target counts as busy after SIGTERM.
	stopTime = 5 * time.Second
	// lateCallers is how many callers with an idle connection send a request at the end
	// of a stopping node's lag, and lateInterval is the time between them.
	lateCallers  = 40
	lateInterval = 300 * time.Microsecond
	// limitTime is how long a service names a limit, limitPerSecond.
	limitTime      = 9 * time.Second
	limitPerSecond = 1.5
)

// event is one fault or planned event. Begin and End are relative to the begin of the
// series.
type event struct {
	Begin, End time.Duration
	Kind       kind
	Target     string
	// Argument is the command to a relay or the fault of the store.
	Argument string
}

func (e event) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s %s %s", e.Begin.Seconds(), e.End.Seconds(), e.Kind, e.Target, e.Argument)
}

// choice is a kind of event that a schedule draws.
type choice struct {
	kind    kind
	target  string
	targets int
	// arguments are drawn from; empty means none.
	arguments []string
}

// linkFaults are commands to a relay.
var linkFaults = []string{"cut", "mute", "reset", "delay/150ms"}

// choices are drawn from with equal probability.
var choices = []choice{
	{pause, "node", nodeCount, nil}, {pause, "node", nodeCount, nil},
	{kill, "node", nodeCount, nil},
	{stop, "node", nodeCount, nil}, {stop, "node", nodeCount, nil}, {stop, "node", nodeCount, nil},
	{hangUp, "node", nodeCount, nil},
	{pause, "engine", engineCount, nil}, {pause, "engine", engineCount, nil},
	{kill, "engine", engineCount, nil}, {kill, "engine", engineCount, nil},
	{pause, "records", recordsCount, nil},
	{pause, "platform", 0, nil},
	{link, "link-engine", engineCount, linkFaults}, {link, "link-engine", engineCount, linkFaults}, {link, "link-engine", engineCount, linkFaults},
	{link, "link-records", recordsCount, linkFaults}, {link, "link-records", recordsCount, linkFaults},
	{link, "link-store", nodeCount, linkFaults}, {link, "link-store", nodeCount, linkFaults},
	{storeFault, "store", 0, []string{"down", "silent", "ambiguous", "lost", "deafwatch"}},
	{storeFault, "store", 0, []string{"down", "silent", "ambiguous", "lost", "deafwatch"}},
	{configure, "operator", 0, nil}, {configure, "operator", 0, nil},
}

// schedule draws the events of a series. It is a pure function of its arguments.
func schedule(seed uint64, length time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 1))
	freeAt := map[string]time.Duration{}
	var out []event
	for at := time.Duration(0); at < length; at += randomTime(rng, 0, maxPause) {
		c := choices[rng.IntN(len(choices))]
		e := event{Begin: at, End: at + randomTime(rng, minFault, maxFault), Kind: c.kind, Target: c.target}
		if c.targets > 0 {
			e.Target = numbered(c.target, rng.IntN(c.targets))
		}
		if len(c.arguments) > 0 {
			e.Argument = c.arguments[rng.IntN(len(c.arguments))]
		}
		if e.Kind == stop {
			e.End = at + stopTime
		}
		if at < freeAt[e.Target] {
			continue
		}
		freeAt[e.Target] = e.End + settleTime
		out = append(out, e)
	}
	return append(out, scheduleLimits(seed, length)...)
}

// scheduleLimits draws when each server of the service names a limit.
func scheduleLimits(seed uint64, length time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []event
	for i := range recordsCount {
		begin := randomTime(rng, 0, length/2)
		out = append(out, event{Begin: begin, End: begin + limitTime, Kind: limit, Target: numbered("limit-records", i), Argument: fmt.Sprint(limitPerSecond)})
	}
	return out
}

// randomTime draws a time in whole milliseconds.
func randomTime(rng *rand.Rand, from, to time.Duration) time.Duration {
	return (from + time.Duration(rng.Int64N(int64(to-from)))).Truncate(time.Millisecond)
}

// printSchedule returns the schedule with one line for each event.
func printSchedule(events []event) string {
	var out strings.Builder
	for _, e := range events {
		fmt.Fprintln(&out, e)
	}
	return out.String()
}

// A violation can be traced only if its seed repeats the schedule, and a target has at
// most one fault at a time, so that a planned stop is not mixed with other faults of
// the node.
func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	is := is.New(t)
	kinds := map[string]bool{}
	for seed := range uint64(20) {
		events := schedule(seed, 20*time.Second)
		is.Equal(printSchedule(events), printSchedule(schedule(seed, 20*time.Second)))
		busyUntil := map[string]time.Duration{}
		for _, e := range events {
			is.True(e.Begin >= busyUntil[e.Target]) // one fault at a time
			busyUntil[e.Target] = e.End
			kinds[string(e.Kind)+e.Argument] = true
		}
	}
	is.Equal(len(kinds), 5+len(linkFaults)+5+1) // every kind with every argument
	is.True(printSchedule(schedule(1, time.Second)) != printSchedule(schedule(2, time.Second)))
}

// play plays the events and returns when all faults have been removed. The events of
// one target follow one another, those of different targets overlap.
func (s *soak) play(events []event, begin time.Time) {
	byTarget := map[string][]event{}
	for _, e := range events {
		byTarget[e.Target] = append(byTarget[e.Target], e)
	}
	var wait sync.WaitGroup
	for _, series := range byTarget {
		wait.Go(func() {
			for _, e := range series {
				time.Sleep(time.Until(begin.Add(e.Begin)))
				if err := s.inject(e, begin.Add(e.End)); err != nil {
					s.report("event %q failed: %v", e, err)
				}
			}
		})
	}
	wait.Wait()
}

// inject causes one event and removes its fault at the end.
func (s *soak) inject(e event, end time.Time) error {
	c := s.cluster
	first, second := func() error { return nil }, func() error { return nil }
	switch e.Kind {
	case pause:
		first = func() error { return c.signal(e.Target, syscall.SIGSTOP) }
		second = func() error { return c.signal(e.Target, syscall.SIGCONT) }
	case hangUp:
		first = func() error { return c.signal(e.Target, syscall.SIGHUP) }
	case kill:
		first = func() error { return c.stop(e.Target, syscall.SIGKILL, time.Now().Add(startBound)) }
		second = func() error { return c.restart(e.Target) }
	case stop:
		first = func() error { return s.stopNode(e.Target) }
		second = func() error { return c.restart(e.Target) }
	case link:
		first = func() error { return control(c.address(e.Target+" control"), "/"+e.Argument) }
		second = func() error { return control(c.address(e.Target+" control"), "/heal") }
	case storeFault:
		first = func() error { return control(c.address("lists"), "/fault/"+e.Argument) }
		second = func() error { return control(c.address("lists"), "/fault/none") }
	case limit:
		server := c.address(strings.TrimPrefix(e.Target, "limit-"))
		first = func() error { return control(server, "/control/limit/"+e.Argument) }
		second = func() error { return control(server, "/control/limit/none") }
	case configure:
		first = s.applyNext
	}
	if err := first(); err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	return second()
}

// stopNode stops a node as planned. Callers whose connections are idle send a request
// just before the lag ends.
func (s *soak) stopNode(name string) error {
	callers := s.idleCallers(name)
	begin := time.Now()
	var wait sync.WaitGroup
	for i, c := range callers {
		wait.Go(func() {
			time.Sleep(time.Until(begin.Add(balancerLag - time.Duration(i)*lateInterval)))
			c.call(echo)
			c.disconnect()
		})
	}
	err := s.cluster.stop(name, syscall.SIGTERM, begin.Add(balancerLag+drainTimeout+stopMargin))
	wait.Wait()
	return err
}

// Exit codes of eelgrass apply.
const (
	exitAccepted = 0
	exitConflict = 2
)

// applyNext applies the next configuration. After a conflict, it learns the number of
// the active one, as an operator would.
func (s *soak) applyNext() error {
	code, out := s.cluster.apply(s.configNumber)
	switch code {
	case exitAccepted:
		s.configNumber++
	case exitConflict:
		_, err := fmt.Sscanf(out, "not accepted: configuration %d is active", &s.configNumber)
		return err
	}
	return nil
}
