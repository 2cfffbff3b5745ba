package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// caseFunc runs a case on a deployment that serves. It returns what broke the rule, or "".
type caseFunc func(d *deployment, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{
	"restarted": restarted,
	"silent":    silentDrain,
	"limited":   limited,
	"framed":    limited,
	"paused":    paused,
	"herd":      herd,
}

// prepare holds the flags of plain workers that are part of the disruption of a case.
var prepare = map[string][]string{
	"limited": {"--limit", limit},
	"framed":  {"--limit", limit, "--framed"},
	"paused":  {"--retry-after", pause},
}

// sigLeave makes a worker leave.
const sigLeave = syscall.SIGUSR1

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runCase runs a case with a deployment of six nodes, four workers with models, in two domains and two groups,
// and three plain ones.
func runCase(name string, run caseFunc, program, recordPath string, trouble bool) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	d := &deployment{record: &record{out: file}, program: program, workers: map[string]*workerProcess{}, runners: map[string][]string{}, arrivals: map[string][]arrival{}}
	if trouble && prepare[name] != nil {
		d.workerFlags = prepare[name]
	}
	broken, err := d.play(run, trouble)
	switch {
	case err != nil:
		d.record.say("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		d.record.say("broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	d.record.say("held")
	fmt.Println("held")
	return exitHeld
}

func (d *deployment) play(run caseFunc, trouble bool) (string, error) {
	var err error
	if d.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return "", err
	}
	defer os.RemoveAll(d.dir)
	if d.store, err = startStore(); err != nil {
		return "", err
	}
	if d.link, err = startLink(d.store.address); err != nil {
		return "", err
	}
	defer d.close()
	d.configure(7, plainService)
	for i := range 4 {
		if err := d.startWorker(fmt.Sprintf("i-m%d", i), modelService, fmt.Sprintf("d%d", i%2), freePort()); err != nil {
			return "", err
		}
	}
	for i := range 3 {
		if err := d.startWorker(fmt.Sprintf("i-p%d", i), plainService, "", freePort()); err != nil {
			return "", err
		}
	}
	if err := d.startWorker("i-q0", otherService, "", freePort()); err != nil {
		return "", err
	}
	for i := range 6 {
		if err := d.startNode(i, true); err != nil {
			return "", err
		}
	}
	if err := d.awaitService(); err != nil {
		return "", err
	}
	d.record.say("the deployment serves; disruption: %v", trouble)
	return run(d, trouble)
}

// awaitRun waits until a worker runs a request and returns it.
func (d *deployment) awaitRun(id string) (string, error) {
	for range 200 {
		if runs := d.runsOf(id); len(runs) > 0 {
			return runs[0], nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return "", fmt.Errorf("no worker runs %s", id)
}

// incident is a worker that crashes midway through its answer and is back before the node has read
// the end of it: the client reads slowly, or the node is frozen meanwhile.
type incident struct {
	request        request
	before, freeze time.Duration
	// crashAfter and backBy count from the begin of the freeze.
	crashAfter, backBy time.Duration
	// newID is the ID of the worker that starts at the address, or "" for the one before.
	newID string
}

// restarted plays three incidents: a stream whose client reads slowly and a worker that crashes, and
// a stream and a sign-off whose node is frozen meanwhile. An answer that ends as complete must be the
// whole one.
func restarted(d *deployment, trouble bool) (string, error) {
	var all []string
	for _, i := range []incident{
		{
			// The longest answers of the site have 77 pieces; no page limits what one holds.
			request: request{id: "slow-1", route: "grade-summary", pieces: 77, size: 1500, every: 40 * time.Millisecond, deadline: 8 * time.Second, pause: 4500 * time.Millisecond},
			before:  2800 * time.Millisecond, crashAfter: 0, backBy: 700 * time.Millisecond,
		},
		{
			request: request{id: "stream-1", route: "grade-summary", pieces: 28, every: 60 * time.Millisecond, deadline: 8 * time.Second},
			before:  600 * time.Millisecond, freeze: 3200 * time.Millisecond, crashAfter: 300 * time.Millisecond, backBy: 2600 * time.Millisecond, newID: "i-new",
		},
		{
			request: request{id: "sign-1", route: "cert-signoff", pieces: 10, every: 50 * time.Millisecond, deadline: 3 * time.Second},
			before:  100 * time.Millisecond, freeze: 1050 * time.Millisecond, crashAfter: 100 * time.Millisecond, backBy: 800 * time.Millisecond,
		},
	} {
		broken, err := d.playIncident(i, trouble)
		if err != nil {
			return "", err
		}
		if broken != "" {
			all = append(all, broken)
		}
		time.Sleep(4 * time.Second) // The worker is listed again.
	}
	return strings.Join(all, "; "), nil
}

func (d *deployment) playIncident(i incident, trouble bool) (string, error) {
	n := d.nodes[0]
	done := make(chan result, 1)
	go func() { done <- d.send(n, i.request) }()
	id, err := d.awaitRun(i.request.id)
	if err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(i.before)
		frozenAt := time.Now()
		if i.freeze > 0 {
			d.record.say("%s freezes", n.name)
			n.signal(syscall.SIGSTOP)
		}
		time.Sleep(i.crashAfter)
		d.worker(id).kill()
		d.record.say("worker %s has crashed", id)
		time.Sleep(time.Until(frozenAt.Add(i.backBy)))
		if err := d.restart(id, i.newID); err != nil {
			return "", err
		}
		if i.freeze > 0 {
			time.Sleep(time.Until(frozenAt.Add(i.freeze)))
			n.signal(syscall.SIGCONT)
			d.record.say("%s wakes", n.name)
		}
	}
	out := <-done
	whole := answer(i.request.id, i.request.pieces, i.request.size)
	if out.isComplete && out.status == 200 && out.body != whole {
		return fmt.Sprintf("the answer to %s ends as complete with %d of %d bytes of the whole body", i.request.id, len(out.body), len(whole)), nil
	}
	return "", nil
}
