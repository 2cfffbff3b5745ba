package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/admin"
	"eelgrassring.dev/internal/deployment"
)

const (
	nodeCount    = 3
	engineCount  = 8
	recordsCount = 2
	groupCount   = 3
	groupSize    = 2

	// Ports are taken from blocks below the range that the kernel uses for outgoing
	// connections.
	firstPort = 20000
	lastPort  = 32000
	blockSize = 100

	// balancerLag and drainTimeout are in the settings of the nodes; stopMargin is the
	// further time that a node takes at most to stop.
	balancerLag  = time.Second
	drainTimeout = 20 * time.Second
	stopMargin   = 15 * time.Second
	// startBound bounds the start of a process.
	startBound = 30 * time.Second
	// pollInterval is the time between two reads of a status.
	pollInterval = 50 * time.Millisecond
)

// callerKeys are the API keys of the two workspaces.
var callerKeys = []string{"key-a", "key-b"}

// programs is the directory of the programs, which buildPrograms builds once.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// TestMain removes the programs after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(programs.dir) // It is empty if no test built them.
	os.Exit(code)
}

// buildPrograms builds the programs, if no test has done so before, and returns their
// directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	programs.once.Do(func() { programs.dir, programs.err = buildInto() })
	if programs.err != nil {
		t.Fatal(programs.err)
	}
	return programs.dir
}

// buildInto builds the programs into a new directory.
func buildInto() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + "/"}
	for _, name := range []string{"backend", "eelgrass", "eelgrassd", "platform", "relay"} {
		args = append(args, "./cmd/"+name)
	}
	build := exec.Command("go", args...)
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return dir, nil
}

// process is one run of a program.
type process struct {
	cmd *exec.Cmd
	// end is complete when exited is closed.
	end    exit
	exited chan struct{}
}

// cluster is one deployment of processes on loopback.
type cluster struct {
	bin, dir, logs string
	names          []string
	commands       map[string][]string
	// block is the first port of the deployment, and ports counts those in use.
	block int
	ports map[string]int

	mu        sync.Mutex
	processes map[string]*process
	exits     []exit
}

// newEmptyCluster returns a deployment without processes. Those that it gets are killed when
// the test ends.
func newEmptyCluster(t *testing.T, bin, logs string) *cluster {
	t.Helper()
	c := &cluster{bin: bin, dir: t.TempDir(), logs: logs, commands: map[string][]string{}, block: reservePorts(t), ports: map[string]int{}, processes: map[string]*process{}}
	t.Cleanup(c.killAll)
	return c
}

// newCluster starts the processes of a deployment.
func newCluster(t *testing.T, bin, logs string) *cluster {
	t.Helper()
	c := newEmptyCluster(t, bin, logs)
	c.define("platform", "platform", "-store", c.address("store"), "-lists", c.address("lists"))
	for i := range engineCount {
		name := numbered("engine", i)
		c.define(name, "backend", "-vm", name, "-address", c.address(name), "-weights", c.address("lists"),
			"-fencing="+strconv.FormatBool(i%2 == 0), "-load", "500ms", "-first", "40ms", "-gap", "10ms")
		c.defineLink(name, name)
	}
	for i := range recordsCount {
		name := numbered("records", i)
		c.define(name, "backend", "-kind", "service", "-address", c.address(name))
		c.defineLink(name, name)
	}
	for i := range nodeCount {
		name := numbered("node", i)
		c.defineLink(numbered("store", i), "store")
		c.defineNode(t, "eelgrassd", name, fmt.Sprintf(`{"name":%q,"zone":"a","callers":%q,"peers":%q,"admin":%q,"store":%q,"vms":%q,"lag":%q,"drain":%q}`, name,
			c.address(name), c.address(name+" peers"), c.address(name+" admin"), c.address("link-"+numbered("store", i)), c.address("lists"), balancerLag, drainTimeout))
	}
	c.startAll(t)
	return c
}

// defineNode writes the settings of a node and sets its command line.
func (c *cluster) defineNode(t *testing.T, program, name, settings string) {
	t.Helper()
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c.define(name, program, "--settings", path)
}

// startAll starts the processes in the order in which they were defined.
func (c *cluster) startAll(t *testing.T) {
	t.Helper()
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			t.Fatal(err)
		}
	}
}

// define sets the command line of a process.
func (c *cluster) define(name string, command ...string) {
	c.names = append(c.names, name)
	c.commands[name] = command
}

// defineLink sets the command line of a relay in front of a target.
func (c *cluster) defineLink(name, target string) {
	c.define("link-"+name, "relay", "-listen", c.address("link-"+name), "-target", c.address(target), "-control", c.address("link-"+name+" control"))
}

// numbered returns the name of one of several processes.
func numbered(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

// address returns the address with a name. All are assigned before the first process
// starts.
func (c *cluster) address(name string) string {
	if _, ok := c.ports[name]; !ok {
		c.ports[name] = c.block + len(c.ports)
	}
	return local(c.ports[name])
}

// local returns a loopback address.
func local(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// reservePorts returns the first port of a free block. A listener on its last port
// reserves the block until the test ends.
func reservePorts(t *testing.T) int {
	t.Helper()
	blocks := (lastPort - firstPort) / blockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockSize
		lock, err := net.Listen("tcp", local(first+blockSize-1))
		if err != nil {
			continue
		}
		if isFree(first) {
			t.Cleanup(func() { lock.Close() })
			return first
		}
		lock.Close()
	}
	t.Fatal("no free block of ports")
	return 0
}

// isFree reports whether all ports of a block except the last one are free.
func isFree(first int) bool {
	for port := first; port < first+blockSize-1; port++ {
		l, err := net.Listen("tcp", local(port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// start runs the command of a process that does not run, and appends its output to its
// log.
func (c *cluster) start(name string) error {
	log, err := os.OpenFile(filepath.Join(c.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := c.commands[name]
	cmd := exec.Command(filepath.Join(c.bin, command[0]), command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, also if the test times out. In a group of its own
	// it gets no SIGHUP when the shell of the test ends while it is stopped.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{cmd: cmd, end: exit{name: name}, exited: make(chan struct{})}
	c.processes[name] = p
	go c.reap(p)
	return nil
}

// restart starts a process. Signals sent to a node before it listens would end it, so
// restart waits until a node answers.
func (c *cluster) restart(name string) error {
	if err := c.start(name); err != nil {
		return err
	}
	deadline := time.Now().Add(startBound)
	for strings.HasPrefix(name, "node-") {
		if _, err := c.status(name); err == nil {
			break
		} else if time.Now().After(deadline) {
			return fmt.Errorf("%s does not listen: %w", name, err)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// reap waits until a process has ended and records the end.
func (c *cluster) reap(p *process) {
	err := p.cmd.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.end.exitedAt, p.end.err = time.Now(), err
	c.exits = append(c.exits, p.end)
	close(p.exited)
}

// running returns the present or latest run of a process.
func (c *cluster) running(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// ends returns the ends of processes so far.
func (c *cluster) ends() []exit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.exits)
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, s syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.end.stoppedAt, p.end.killed = time.Now(), s == syscall.SIGKILL
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send %s to %s: %w", s, name, err)
	}
	return nil
}

// isNotReady reports whether a balancer knows that a node stops: it opens no new
// connections to it, before the lag ends that the node allows for.
func (c *cluster) isNotReady(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stoppedAt := c.processes[name].end.stoppedAt
	return !stoppedAt.IsZero() && time.Now().After(stoppedAt.Add(balancerLag/2))
}

// stop sends a signal that ends a process, and waits until it has ended or the deadline
// passes.
func (c *cluster) stop(name string, s syscall.Signal, deadline time.Time) error {
	if err := c.signal(name, s); err != nil {
		return err
	}
	select {
	case <-c.running(name).exited:
		return nil
	case <-time.After(time.Until(deadline)):
		return fmt.Errorf("%s has not ended", name)
	}
}

// killAll kills the processes and waits until they have ended.
func (c *cluster) killAll() {
	for _, name := range c.names {
		if p := c.running(name); p != nil {
			_ = c.signal(name, syscall.SIGKILL)
			<-p.exited
		}
	}
}

// document returns the configuration with the given number. Each one changes the limit
// of a workspace and the version of one group.
func (c *cluster) document(number int64) deployment.Document {
	d := deployment.Document{
		Name:      "soak",
		Objective: deployment.Objective{Downtime: 1, Stranded: 1},
		Models:    []deployment.Model{{Name: "drafting", Versions: []string{"1", "2"}}},
		Services:  []deployment.Service{{Name: "records", Once: []string{"POST /signoffs"}, Timeout: deployment.Duration(5 * time.Second)}},
	}
	for i := range recordsCount {
		d.Services[0].Servers = append(d.Services[0].Servers, c.address("link-"+numbered("records", i)))
	}
	for i := range engineCount {
		vm := deployment.VM{
			Name: ring.VM(numbered("engine", i)), Address: c.address("link-" + numbered("engine", i)), Zone: "a",
			Domain: ring.Domain(numbered("fabric", i*2/engineCount)), Accelerators: 4, Fencing: deployment.FencingChecked,
		}
		if i%2 == 1 {
			vm.Fencing = deployment.FencingIgnored
		}
		d.VMs = append(d.VMs, vm)
	}
	for i := range groupCount {
		version := 1 + (int(number)+groupCount-2-i)/groupCount%2
		d.Groups = append(d.Groups, deployment.Group{Name: ring.Group(numbered("group", i)), Model: "drafting", Version: strconv.Itoa(version), Size: groupSize, Slots: 16})
	}
	for i, key := range callerKeys {
		d.Workspaces = append(d.Workspaces, deployment.Workspace{Name: ring.Workspace(numbered("workspace", i)), Weight: 1, Limit: 100 + int(number),
			Applications: []deployment.Application{{
				Name: "reports", Key: deployment.HashKey(key), Priority: deployment.PriorityNormal,
				Models: []ring.Model{"drafting"}, Services: []ring.Service{"records"},
			}}})
	}
	return d
}

// apply runs eelgrass apply with the configuration that follows base, and returns its
// exit code and output.
func (c *cluster) apply(base int64) (int, string) {
	var text bytes.Buffer
	if err := c.document(base + 1).Print(&text); err != nil {
		return 1, err.Error()
	}
	path := filepath.Join(c.dir, "deployment.json")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return 1, err.Error()
	}
	cmd := exec.Command(filepath.Join(c.bin, "eelgrass"), "apply", path, "--base", strconv.FormatInt(base, 10), "--operator", "soak", "--store", c.address("store"))
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// statusClient reads the status of nodes; a paused node answers when it goes on.
var statusClient = &http.Client{Timeout: startBound, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status that a node shows to operators.
func (c *cluster) status(node string) (admin.Status, error) {
	var out admin.Status
	err := getJSON(c.address(node+" admin"), "/status", &out)
	return out, err
}

// getJSON decodes the response to a GET request.
func getJSON(address, path string, out any) error {
	resp, err := statusClient.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// control sends a command to the control interface of a stand-in.
func control(address, path string) error {
	resp, err := statusClient.Post("http://"+address+path, "", nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}
