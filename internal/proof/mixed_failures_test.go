package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/fake"
	"eelgrassring.dev/internal/standin/platform"
)

// mixedFaultSeeds is the number of seeds that TestInvariantsUnderMixedFailures
// runs.
const mixedFaultSeeds = 24

// faultInjector injects faults drawn from a seed and removes them all at the
// end.
type faultInjector struct {
	system *fake.System
	rng    *rand.Rand
	// down and paused hold the VMs whose servers have crashed or are paused.
	down   map[ring.VM]bool
	paused map[ring.VM]bool
	// configNumber is the number of the active configuration.
	configNumber int64
}

// storeFaults are the faults that injectFault draws from; FaultNone ends an
// earlier one.
var storeFaults = []platform.Fault{
	platform.FaultDown, platform.FaultSilent, platform.FaultResponseLost, platform.FaultWriteLost, platform.FaultSilentWatch, platform.FaultNone,
}

// randomVM returns the name of a random declared VM.
func (f *faultInjector) randomVM() ring.VM {
	vms := mixedFencingDocument(0).VMs
	return vms[f.rng.IntN(len(vms))].Name
}

// randomNode returns the name of one of the nodes n1 to n3.
func (f *faultInjector) randomNode() string { return fmt.Sprintf("n%d", f.rng.IntN(3)+1) }

// mixedFencingDocument returns a configuration in which every second VM's
// server ignores epochs. number changes the limit of a workspace, so that each
// number gives another configuration.
func mixedFencingDocument(number int64) deployment.Document {
	d := newDocument(3, 2, 2, 5)
	d.Workspaces[0].Limit = int(100 + number)
	for i := range d.VMs {
		if i%2 == 0 {
			d.VMs[i].Fencing = deployment.FencingIgnored
		}
	}
	return d
}

// injectFault injects or removes one random fault, or applies a new
// configuration.
func (f *faultInjector) injectFault() {
	vm, node := f.randomVM(), f.randomNode()
	switch f.rng.IntN(9) {
	case 0:
		if !f.down[vm] {
			f.system.CrashEngine(vm)
			f.down[vm] = true
		}
	case 1:
		if f.down[vm] {
			f.system.StartEngine(vm)
			f.down[vm], f.paused[vm] = false, false
		}
	case 2:
		if !f.down[vm] && !f.paused[vm] {
			f.system.PauseEngine(vm)
			f.paused[vm] = true
		}
	case 3:
		f.resumeEngine(vm)
	case 4, 5:
		f.system.Node(node).Store.SetFault(storeFaults[f.rng.IntN(len(storeFaults))])
	case 6:
		f.system.Net.BlockResponses(node, mixedFencingDocument(0).VMs[f.rng.IntN(10)].Address, f.rng.IntN(2) == 0)
	case 7:
		other := f.randomNode()
		blocked := f.rng.IntN(2) == 0
		f.system.Net.BlockLink(node, other, blocked)
		f.system.Net.BlockLink(other, node, blocked)
	case 8:
		f.applyNextConfiguration()
	}
}

// resumeEngine resumes the backend server of a VM if it is paused and has not
// crashed.
func (f *faultInjector) resumeEngine(vm ring.VM) {
	if f.paused[vm] && !f.down[vm] {
		f.system.ResumeEngine(vm)
		f.paused[vm] = false
	}
}

// applyNextConfiguration applies a configuration that differs from the one
// before.
func (f *faultInjector) applyNextConfiguration() {
	f.system.Apply(f.configNumber, mixedFencingDocument(f.configNumber))
	f.configNumber++
}

// removeFaults restarts or resumes all servers, unblocks all links and makes
// the store available.
func (f *faultInjector) removeFaults() {
	for _, vm := range mixedFencingDocument(0).VMs {
		f.resumeEngine(vm.Name)
		if f.down[vm.Name] {
			f.system.StartEngine(vm.Name)
		}
		for _, name := range f.system.NodeNames() {
			f.system.Net.BlockResponses(name, vm.Address, false)
		}
	}
	for _, name := range f.system.NodeNames() {
		f.system.Node(name).Store.SetFault(platform.FaultNone)
		for _, other := range f.system.NodeNames() {
			f.system.Net.BlockLink(name, other, false)
		}
	}
}

// countReverts samples the number of each node's active configuration until
// stop closes, and then sends on the returned channel how often a number
// decreased.
func countReverts(s *fake.System, stop <-chan struct{}) <-chan int {
	out := make(chan int, 1)
	go func() {
		highest := map[string]int64{}
		reverts := 0
		for {
			select {
			case <-stop:
				out <- reverts
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, name := range s.NodeNames() {
				process := s.Node(name)
				if process == nil {
					continue // It was stopped since its name was listed.
				}
				_, number := process.Node.Table().Configuration()
				if number < highest[name] {
					reverts++
				}
				highest[name] = number
			}
		}
	}()
	return out
}

// The invariants must hold under random combinations of faults, and all groups
// must serve again when the faults are removed.
func TestInvariantsUnderMixedFailures(t *testing.T) {
	for seed := range uint64(mixedFaultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSystem(t, newOptions(mixedFencingDocument(0), 3), func(is *is.I, s *fake.System) {
				injector := &faultInjector{system: s, rng: rand.New(rand.NewPCG(seed, 1)), down: map[ring.VM]bool{}, paused: map[ring.VM]bool{}, configNumber: 1}
				stop := make(chan struct{})
				reverts := countReverts(s, stop)
				responses := make(chan []fake.Result, 1)
				go func() { responses <- sendTraffic(s, 20*time.Second) }()
				signOffs := make(chan map[string][]fake.Result, 1)
				go func() { signOffs <- sendSignOffs(s, seed) }()
				for range 25 {
					time.Sleep(time.Duration(injector.rng.IntN(800)) * time.Millisecond)
					injector.injectFault()
				}
				results, signOffResults := <-responses, <-signOffs
				injector.removeFaults()
				is.NoErr(s.AwaitServingGroups(3, 60*time.Second)) // all groups serve again
				close(stop)
				is.Equal(<-reverts, 0)
				is.Equal(awaitConfiguration(s, injector.configNumber, activationBound), nil)
				is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
				is.Equal(fake.CheckExclusive(s.Keyspace), nil)
				is.Equal(fake.CheckEpochs(s.Keyspace), nil)
				is.Equal(checkResponses(results), nil)
				is.Equal(checkSignOffs(s, signOffResults), nil)
			})
		})
	}
}

// sendSignOffs sends each of 20 sign-offs through all nodes at the same time,
// with the same idempotency key, and returns the results by sample.
func sendSignOffs(s *fake.System, seed uint64) map[string][]fake.Result {
	out := map[string][]fake.Result{}
	for i := range 20 {
		sample := fmt.Sprintf("S%d-%d", seed, i)
		done := make(chan fake.Result, 3)
		for _, name := range s.NodeNames() {
			go func() { done <- s.Do(fake.SignOff(name, keyA, sample)) }()
		}
		for range 3 {
			out[sample] = append(out[sample], <-done)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return out
}

// checkSignOffs describes each sample that ran more than once, that has a
// successful result without a run, or that ran although every result says "not
// run".
func checkSignOffs(s *fake.System, signOffResults map[string][]fake.Result) []string {
	var out []string
	for sample, results := range signOffResults {
		n := runCount(s, sample)
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", sample, n))
		}
		refused := 0
		for _, r := range results {
			f, failed := r.Failure()
			if failed && f.Ran == "no" {
				refused++
			}
			if !failed && n == 0 {
				out = append(out, sample+" succeeded but did not run")
			}
		}
		if refused == len(results) && n > 0 {
			out = append(out, sample+" ran, but every result says that it did not")
		}
	}
	return out
}

// Each checker of responses must report a violation in constructed results.
func TestCheckersDetectConstructedViolations(t *testing.T) {
	truncated := fake.Result{Body: "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"}
	wrong := fake.Result{Body: truncated.Body + "data: [DONE]\n\n"}
	runSystem(t, newOptions(newDocument(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		refusal := fake.Result{Body: `{"error":{"number":2007,"ran":"no"}}`}
		is.Equal(len(checkResponses([]fake.Result{truncated, wrong})), 2)
		s.Do(fake.SignOff("n1", keyA, "ran"))
		for _, key := range []string{keyA, keyB} {
			s.Do(fake.SignOff("n1", key, "twice"))
		}
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"ran": {refusal}})), 1)
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"twice": {{Body: "{}"}}})), 1)
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"never": {{Body: "{}"}}})), 1)
	})
}
