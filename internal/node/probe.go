package node

import (
	"context"
	"sync"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/clock"
	"eelgrassring.dev/internal/placement"
)

// probeWorkers is how many backend servers are probed concurrently.
const probeWorkers = 16

type probeTarget struct {
	vm      ring.VM
	address string
}

// runProbes requests the status of every declared backend server at intervals. It
// uses a pool of workers and skips a server whose last probe is still pending, so
// that a server that does not respond delays no other.
func (n *Node) runProbes(ctx context.Context) {
	queue := make(chan probeTarget)
	var wait sync.WaitGroup
	pending := &pendingProbes{vms: map[ring.VM]bool{}}
	for range probeWorkers {
		wait.Go(func() { n.runProbeWorker(ctx, queue, pending) })
	}
	clock.Every(ctx, n.config.Timing.ProbeInterval, func(ctx context.Context) {
		c, _ := n.table.Configuration()
		if c == nil {
			return
		}
		for _, vm := range c.VMs() {
			if !pending.begin(vm.Name) {
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

// pendingProbes holds the VMs whose probe has not ended.
type pendingProbes struct {
	mu  sync.Mutex
	vms map[ring.VM]bool
}

// begin reports whether no probe of the VM was pending, and marks one as pending.
func (p *pendingProbes) begin(vm ring.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms[vm] {
		return false
	}
	p.vms[vm] = true
	return true
}

func (p *pendingProbes) end(vm ring.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, vm)
}

func (n *Node) runProbeWorker(ctx context.Context, queue <-chan probeTarget, pending *pendingProbes) {
	for p := range queue {
		n.probeServer(ctx, p)
		pending.end(p.vm)
	}
}

// probeServer requests the status of one backend server and stores it as its report.
func (n *Node) probeServer(ctx context.Context, p probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.ProbeTimeout)
	defer cancel()
	requestedAt := time.Now()
	status, err := n.config.Backends.Status(ctx, p.address)
	if err != nil || status.VM != p.vm {
		return // The last report ages; the status of another VM at this address is ignored.
	}
	n.table.PutReport(p.vm, Report{Status: status, RequestedAt: requestedAt})
	n.queueEvent(placement.Reported{Status: status, RequestedAt: requestedAt})
}
