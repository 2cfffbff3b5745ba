package node

import (
	"context"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/placement"
)

// probeWorkers is how many backend servers are asked at a time.
const probeWorkers = 16

type probeTarget struct {
	vm      ring.VM
	address string
}

// runProbes asks every declared backend server for its status at intervals.
// A pool of workers does the asking, so that a silent server delays no other:
// a server whose last question is still open is passed over.
func (n *Node) runProbes(ctx context.Context) {
	queue := make(chan probeTarget)
	var wait sync.WaitGroup
	asking := &pendingProbes{vms: map[ring.VM]bool{}}
	for range probeWorkers {
		wait.Go(func() { n.runProbeWorker(ctx, queue, asking) })
	}
	clock.Every(ctx, n.config.Timing.ProbeInterval, func(ctx context.Context) {
		c, _ := n.table.Configuration()
		if c == nil {
			return
		}
		for _, vm := range c.VMs() {
			if !asking.begin(vm.Name) {
				continue
			}
			select {
			case queue <- probeTarget{vm.Name, vm.Address}:
			case <-ctx.Done():
				return
			}
		}
	})
	close(queue)
	wait.Wait()
}

type pendingProbes struct {
	mu  sync.Mutex
	vms map[ring.VM]bool
}

func (o *pendingProbes) begin(vm ring.VM) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.vms[vm] {
		return false
	}
	o.vms[vm] = true
	return true
}

func (o *pendingProbes) end(vm ring.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.vms, vm)
}

func (n *Node) runProbeWorker(ctx context.Context, queue <-chan probeTarget, asking *pendingProbes) {
	for p := range queue {
		n.probe(ctx, p)
		asking.end(p.vm)
	}
}

func (n *Node) probe(ctx context.Context, p probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.ProbeTimeout)
	defer cancel()
	asked := time.Now()
	status, err := n.config.Backends.Status(ctx, p.address)
	if err != nil || status.VM != p.vm {
		return // Evidence ages; a server of another VM at this address is none.
	}
	n.table.PutReport(p.vm, Report{Status: status, RequestedAt: asked})
	n.queueEvent(placement.Reported{Status: status, RequestedAt: asked})
}
