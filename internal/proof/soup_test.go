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

// mixedFaultSeeds is how many seeds of mixed failures a run of the tests tries.
const mixedFaultSeeds = 24

// faultInjector draws failures by seed while traffic runs, and heals everything.
type faultInjector struct {
	system *fake.System
	rng    *rand.Rand
	down   map[ring.VM]bool
	paused map[ring.VM]bool
	number int64
}

var storeFaults = []platform.Fault{
	platform.FaultDown, platform.FaultSilent, platform.FaultResponseLost, platform.FaultWriteLost, platform.FaultSilentWatch, platform.FaultNone,
}

func (p *faultInjector) randomVM() ring.VM {
	vms := mixedFencingDocument(0).VMs
	return vms[p.rng.IntN(len(vms))].Name
}

func (p *faultInjector) randomNode() string { return fmt.Sprintf("n%d", p.rng.IntN(3)+1) }

func mixedFencingDocument(number int64) deployment.Document {
	d := document(3, 2, 2, 5)
	d.Workspaces[0].Limit = int(100 + number)
	for i := range d.VMs {
		if i%2 == 0 {
			d.VMs[i].Fencing = deployment.FencingIgnored
		}
	}
	return d
}

// injectFault causes one failure.
func (p *faultInjector) injectFault() {
	vm, node := p.randomVM(), p.randomNode()
	switch p.rng.IntN(9) {
	case 0:
		if !p.down[vm] {
			p.system.CrashEngine(vm)
			p.down[vm] = true
		}
	case 1:
		if p.down[vm] {
			p.system.StartEngine(vm)
			p.down[vm], p.paused[vm] = false, false
		}
	case 2:
		if !p.down[vm] && !p.paused[vm] {
			p.system.PauseEngine(vm)
			p.paused[vm] = true
		}
	case 3:
		p.resume(vm)
	case 4, 5:
		p.system.Node(node).Store.SetFault(storeFaults[p.rng.IntN(len(storeFaults))])
	case 6:
		p.system.Net.BlockResponses(node, mixedFencingDocument(0).VMs[p.rng.IntN(10)].Address, p.rng.IntN(2) == 0)
	case 7:
		other := p.randomNode()
		cut := p.rng.IntN(2) == 0
		p.system.Net.BlockLink(node, other, cut)
		p.system.Net.BlockLink(other, node, cut)
	case 8:
		p.apply()
	}
}

func (p *faultInjector) resume(vm ring.VM) {
	if p.paused[vm] && !p.down[vm] {
		p.system.ResumeEngine(vm)
		p.paused[vm] = false
	}
}

func (p *faultInjector) apply() {
	p.system.Apply(p.number, mixedFencingDocument(p.number))
	p.number++
}

func (p *faultInjector) removeFaults() {
	for _, vm := range mixedFencingDocument(0).VMs {
		p.resume(vm.Name)
		if p.down[vm.Name] {
			p.system.StartEngine(vm.Name)
		}
		for _, name := range p.system.NodeNames() {
			p.system.Net.BlockResponses(name, vm.Address, false)
		}
	}
	for _, name := range p.system.NodeNames() {
		p.system.Node(name).Store.SetFault(platform.FaultNone)
		for _, other := range p.system.NodeNames() {
			p.system.Net.BlockLink(name, other, false)
		}
	}
}

// countReverts samples the numbers in force until stop closes and counts falls.
func countReverts(s *fake.System, stop <-chan struct{}) <-chan int {
	out := make(chan int, 1)
	go func() {
		highest := map[string]int64{}
		falls := 0
		for {
			select {
			case <-stop:
				out <- falls
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, name := range s.NodeNames() {
				_, number := s.Node(name).Node.Table().Configuration()
				if number < highest[name] {
					falls++
				}
				highest[name] = number
			}
		}
	}()
	return out
}

func TestInvariantsUnderMixedFailures(t *testing.T) {
	for seed := range uint64(mixedFaultSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runSystem(t, options(mixedFencingDocument(0), 3), func(is *is.I, s *fake.System) {
				p := &faultInjector{system: s, rng: rand.New(rand.NewPCG(seed, 1)), down: map[ring.VM]bool{}, paused: map[ring.VM]bool{}, number: 1}
				stop := make(chan struct{})
				falls := countReverts(s, stop)
				answers := make(chan []fake.Result, 1)
				go func() { answers <- sendTraffic(s, 20*time.Second) }()
				signed := make(chan map[string][]fake.Result, 1)
				go func() { signed <- sendSignOffs(s, seed) }()
				for range 25 {
					time.Sleep(time.Duration(p.rng.IntN(800)) * time.Millisecond)
					p.injectFault()
				}
				results, once := <-answers, <-signed
				p.removeFaults()
				is.NoErr(s.AwaitServingGroups(3, 60*time.Second)) // everything comes back
				close(stop)
				is.Equal(<-falls, 0)
				is.Equal(awaitConfiguration(s, p.number, activationBound), nil)
				is.Equal(fake.CheckComplete(s.History, s.Keyspace, maxReportDelay), nil)
				is.Equal(fake.CheckExclusive(s.Keyspace), nil)
				is.Equal(fake.CheckEpochs(s.Keyspace), nil)
				is.Equal(checkResponses(results), nil)
				is.Equal(checkSignOffs(s, once), nil)
			})
		})
	}
}

// sendSignOffs sends each of a number of sign-offs through several nodes.
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

// checkSignOffs finds doubled runs, answers without a run, and callers who were
// all told "not run" of a sample that ran.
func checkSignOffs(s *fake.System, once map[string][]fake.Result) []string {
	var out []string
	for sample, results := range once {
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
				out = append(out, sample+" was answered and did not run")
			}
		}
		if refused == len(results) && n > 0 {
			out = append(out, sample+" ran, and all were told that it did not")
		}
	}
	return out
}

// The checks over answers find what they are for when it is put before them.
func TestCheckersDetectConstructedViolations(t *testing.T) {
	cut := fake.Result{Body: "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"}
	wrong := fake.Result{Body: cut.Body + "data: [DONE]\n\n"}
	runSystem(t, options(document(1, 2, 1, 3), 1), func(is *is.I, s *fake.System) {
		refusal := fake.Result{Body: `{"error":{"number":2007,"ran":"no"}}`}
		is.Equal(len(checkResponses([]fake.Result{cut, wrong})), 2)
		s.Do(fake.SignOff("n1", keyA, "ran"))
		for _, key := range []string{keyA, keyB} {
			s.Do(fake.SignOff("n1", key, "twice"))
		}
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"ran": {refusal}})), 1)
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"twice": {{Body: "{}"}}})), 1)
		is.Equal(len(checkSignOffs(s, map[string][]fake.Result{"never": {{Body: "{}"}}})), 1)
	})
}
