package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"eelgrassring.dev/internal/standin/service"
)

var (
	seeds  = flag.Int("soak.seeds", 2, "number of seeds to play")
	from   = flag.Uint64("soak.from", 231, "first seed")
	length = flag.Duration("soak.length", 10*time.Second, "length of each series of faults")
)

// recoveryBound is the time within which all nodes and groups serve again after the last
// fault, as in TestInvariantsUnderMixedFailures.
const recoveryBound = 60 * time.Second

// probeNumber is the number of the callers that probe the nodes after the faults.
const probeNumber = 1000

// TestPromisesHoldUnderFaults guards against faults that only real processes and
// connections have, several at a time.
func TestPromisesHoldUnderFaults(t *testing.T) {
	bin := buildPrograms(t)
	for i := range uint64(*seeds) {
		seed := *from + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, bin, seed)
		})
	}
}

// soak is the run of one seed.
type soak struct {
	cluster *cluster
	seed    uint64
	begin   time.Time
	// configNumber is the number of the newest configuration that the operator knows
	// to be accepted.
	configNumber int64

	mu         sync.Mutex
	violations []string
	records    []record
}

// record checks and keeps what a caller saw.
func (s *soak) record(r record) {
	if what := checkRecord(r); what != "" {
		s.report("%s: %s", what, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, r)
}

// report records a violation.
func (s *soak) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.2fs: ", time.Since(s.begin).Seconds())+fmt.Sprintf(format, args...))
}

// runSeed plays one seed on a new deployment and fails the test if a promise is broken.
func runSeed(t *testing.T, bin string, seed uint64) {
	s := &soak{cluster: newCluster(t, bin, t.ArtifactDir()), seed: seed, begin: time.Now()}
	if err := s.form(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	s.startCallers(ctx, &wait)
	s.begin = time.Now()
	events := schedule(seed, *length)
	s.play(events, s.begin)
	faultsEnded := time.Now()
	s.checkRecovery()
	recovered := time.Now()
	cancel()
	wait.Wait()
	s.checkAll()
	s.checkLimits(events)
	t.Logf("seed %d: serves after %s, %s", seed, recovered.Sub(faultsEnded).Round(time.Millisecond), s.summary(events))
	if len(s.violations) > 0 {
		path := filepath.Join(t.ArtifactDir(), "violations.txt")
		text := fmt.Sprintf("seed %d, length %s, series began at %s\n%s\n%s\n", seed, *length, s.begin.Format("15:04:05.000"), strings.Join(s.violations, "\n"), printSchedule(events))
		_ = os.WriteFile(path, []byte(text), 0o600)
		t.Error(text)
	}
}

// form applies the first configuration and waits until every node serves.
func (s *soak) form() error {
	deadline := time.Now().Add(recoveryBound)
	for s.configNumber == 0 {
		if err := s.applyNext(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration was not accepted")
		}
	}
	return s.awaitStatus(s.configNumber, deadline)
}

// awaitStatus waits until every node shows a deployment without faults.
func (s *soak) awaitStatus(number int64, deadline time.Time) error {
	for node := range nodeCount {
		for {
			status, err := s.cluster.status(numbered("node", node))
			what := fmt.Sprint(err)
			if err == nil {
				what = checkStatus(status, number)
			}
			if what == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("the deployment does not serve: %s", what)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// startCallers starts the callers of all nodes.
func (s *soak) startCallers(ctx context.Context, wait *sync.WaitGroup) {
	for node := range nodeCount {
		for i, kind := range callersOfNode {
			name := fmt.Sprintf("%s-%d-%d", kind, node, i)
			c := s.newCaller(name, node, uint64(node*len(callersOfNode)+i))
			wait.Go(func() { c.run(ctx, kind) })
		}
	}
}

// newCaller returns a caller that begins at a node and draws from its own random
// numbers.
func (s *soak) newCaller(name string, node int, number uint64) *caller {
	return &caller{cluster: s.cluster, record: s.record, name: name, node: node, key: callerKeys[node%len(callerKeys)], rng: rand.New(rand.NewPCG(s.seed, number))}
}

// idleCallers returns callers that have just sent a request to a node.
func (s *soak) idleCallers(name string) []*caller {
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "node-"))
	var out []*caller
	for i := range lateCallers {
		c := s.newCaller(fmt.Sprintf("late-%d-%d", number, i), number, uint64(probeNumber+i))
		if c.call(echo).Outcome == answered {
			out = append(out, c)
		}
	}
	return out
}

// checkRecovery checks that all nodes and groups serve again within recoveryBound, with
// the newest configuration.
func (s *soak) checkRecovery() {
	deadline := time.Now().Add(recoveryBound)
	var wait sync.WaitGroup
	for node := range nodeCount {
		wait.Go(func() { s.checkServes(node, deadline) })
	}
	wait.Wait()
	if err := s.awaitStatus(s.configNumber, deadline); err != nil {
		s.report("%v", err)
	}
}

// checkServes checks that a node completes a stream and a sign-off before the deadline.
func (s *soak) checkServes(node int, deadline time.Time) {
	c := s.newCaller(fmt.Sprintf("probe-%d", node), node, probeNumber)
	defer c.disconnect()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for streamed, signed := false, false; !streamed || !signed; {
		if ctx.Err() != nil {
			s.report("node-%d does not serve within %s (stream %t, sign-off %t)", node, recoveryBound, streamed, signed)
			return
		}
		c.node = node
		time.Sleep(repeatPause)
		if !streamed {
			r := c.call(stream)
			streamed = r.Outcome == answered && r.isWhole()
		}
		if !signed {
			signed = c.signOff(ctx) && c.node == node
		}
	}
}

// checkAll checks the records of all callers together, and those of the service.
func (s *soak) checkAll() {
	exits := s.cluster.ends()
	for _, what := range slices.Concat(checkExits(exits), checkCuts(s.records, exits), checkSignOffs(s.records, s.runs)) {
		s.report("%s", what)
	}
}

// checkLimits checks that the servers of the service got no more requests than their limits
// allow, from the time on from which the users' rule holds.
func (s *soak) checkLimits(events []event) {
	for _, e := range events {
		if e.Kind != limit {
			continue
		}
		var nanos []int64
		if err := getJSON(s.cluster.address(strings.TrimPrefix(e.Target, "limit-")), "/control/arrivals", &nanos); err != nil {
			s.report("read the requests of %s: %v", e.Target, err)
		}
		var arrivals []time.Time
		for _, n := range nanos {
			arrivals = append(arrivals, time.Unix(0, n))
		}
		if what := checkLimit(arrivals, s.begin.Add(e.Begin+limitContact), s.begin.Add(e.End)); what != "" {
			s.report("%s: %s", e.Target, what)
		}
	}
}

// runs returns how often the services ran the sign-off of a sample.
func (s *soak) runs(sample string) int {
	total := 0
	for i := range recordsCount {
		var c service.Certificate
		if err := getJSON(s.cluster.address(numbered("records", i)), "/signoffs/"+sample, &c); err != nil {
			s.report("read the runs of %s: %v", sample, err)
		}
		total += c.Run
	}
	return total
}

// summary counts the faults, what the callers saw, and the requests in flight at a
// planned stop.
func (s *soak) summary(events []event) string {
	counts := map[string]int{}
	for _, e := range events {
		target, _, _ := strings.Cut(e.Target, "-")
		counts[fmt.Sprintf("fault/%s/%s/%s", e.Kind, target, e.Argument)]++
	}
	exits := s.cluster.ends()
	for _, r := range s.records {
		result := string(r.Outcome)
		if r.Outcome == answered && (r.Status >= http.StatusBadRequest || r.Operation == stream && !r.isWhole()) {
			result = "failed" + r.Header.Get(headerCode)
		}
		counts[fmt.Sprintf("result/%s/%s", r.Operation, result)]++
		if slices.ContainsFunc(exits, func(e exit) bool { return !e.killed && e.overlaps(r) }) {
			counts["atstop/"+string(r.Outcome)]++
		}
	}
	out := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out += fmt.Sprintf(" %s=%d", name, counts[name])
	}
	return out
}
