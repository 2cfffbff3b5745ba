package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What the operator's configuration holds. The time-outs are those of the site.
const (
	host         = "desk.example"
	key          = "key-of-one"
	modelService = "redactor"
	plainService = "libro-lab"
	otherService = "libro-new"
	modelName    = "m0"
	modelSize    = 2
	engineSlots  = 26
)

// record is what was sent, answered and run, in the order of its times.
type record struct {
	mu  sync.Mutex
	out io.Writer
}

func (r *record) line(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, text)
}

func (r *record) say(format string, values ...any) {
	r.line(fmt.Sprintf("%d ", time.Now().UnixMilli()) + fmt.Sprintf(format, values...))
}

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process, also one that is stopped, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// node is a node of the system.
type node struct {
	process
	callers, ready string
}

// workerProcess is a worker that runs as a process.
type workerProcess struct {
	*process
	id, address string
	args        []string
}

// arrival is a request at a worker.
type arrival struct {
	at                  time.Time
	isHealth, isRefused bool
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record  *record
	program string
	dir     string
	store   *store
	link    *link
	nodes   []*node

	mu      sync.Mutex
	workers map[string]*workerProcess
	// arrivals holds when plain workers got requests, health checks and refused ones included.
	arrivals map[string][]arrival
	// workerFlags are added to those of the plain workers.
	workerFlags []string
	// runners holds the workers that began to run a request, in their order.
	runners map[string][]string
}

// start starts a process whose output goes to handle, line by line.
func start(name, program string, args []string, handle func(string)) (*process, error) {
	cmd := exec.Command(program, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // No process outlives the case.
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			handle(lines.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// The ports of nodes and workers are below those that the system uses for outgoing connections, so
// that none takes one between the check and its use.
const (
	firstPort = 12000
	lastPort  = 19999
)

// usedPorts holds the ports that freePort has returned.
var usedPorts sync.Map

// freePort returns a loopback address whose port is free for TCP and UDP.
func freePort() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		if _, isUsed := usedPorts.LoadOrStore(address, true); isUsed {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address
		}
	}
}

// startWorker starts a worker. It may be started again under the same ID and address.
func (d *deployment) startWorker(id, service, domain, address string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"worker", "--id", id, "--service", service, "--store", d.store.address, "--address", address, "--domain", domain}
	if domain == "" {
		args = append(args, d.workerFlags...)
	} else {
		args = append(args, "--slots", strconv.Itoa(engineSlots), "--queue", "4")
	}
	p, err := start(id, own, args, func(line string) {
		d.record.line(line)
		isHealth := strings.HasSuffix(line, "gets a health check")
		isRefused := strings.Contains(line, "503, not run")
		if isHealth || isRefused || strings.Contains(line, ": runs from") {
			d.mu.Lock()
			d.arrivals[id] = append(d.arrivals[id], arrival{time.Now(), isHealth, isRefused})
			d.mu.Unlock()
		}
		if request, isRun := runOf(line); isRun {
			d.mu.Lock()
			d.runners[request] = append(d.runners[request], id)
			d.mu.Unlock()
		}
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[id] = &workerProcess{process: p, id: id, address: address, args: []string{id, service, domain, address}}
	return nil
}

// runOf returns the request that a line of a worker says to run.
func runOf(line string) (string, bool) {
	fields := strings.Fields(line)
	if len(fields) < 5 || fields[4] != "runs" {
		return "", false
	}
	return strings.TrimSuffix(fields[3], ":"), true
}

// restart starts a killed worker again at its address, under a new ID if that is not empty. The
// entry of the one before ends after three heartbeats of silence.
func (d *deployment) restart(id, newID string) error {
	d.mu.Lock()
	a := d.workers[id].args
	d.mu.Unlock()
	if newID != "" && newID != id {
		time.AfterFunc(3*heartbeat, func() { d.store.remove("servers/" + id) })
		a = append([]string{newID}, a[1:]...)
	}
	return d.startWorker(a[0], a[1], a[2], a[3])
}

func (d *deployment) worker(id string) *workerProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers[id]
}

// runsOf returns the workers that began to run a request.
func (d *deployment) runsOf(request string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.runners[request]...)
}

// startNode starts a node with settings as the project's template makes them.
func (d *deployment) startNode(n int, isFirst bool) error {
	name := fmt.Sprintf("front-%d", n)
	out := &node{callers: freePort(), ready: freePort()}
	initial := ""
	if isFirst {
		initial = `"initial": true,`
	}
	settings := fmt.Sprintf(`{
  "adapter": "platform", "name": %q, "zone": "a", "callers": %q, "ready": %q, "digests": %q, "admin": %q, "store": %q,
  "revocation": "5000ms", "retry": 0.2, "burst": 130, %s "hedge": 0, "memory": 284, "descriptors": 4200, "drain": "8s", "lag": "2s"
}`, name, out.callers, out.ready, freePort(), freePort(), d.link.address, initial)
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	p, err := start(name, d.program, []string{"--settings", path}, func(line string) { fmt.Fprintln(log, line) })
	if err != nil {
		return err
	}
	out.process = *p
	d.nodes = append(d.nodes, out)
	return nil
}

// configure writes the operator's configuration.
// The sign-offs and lookups go to the service plain.
func (d *deployment) configure(version int, plain string) {
	type object = map[string]any
	route := func(name, kind, service string, timeout, aim, attempts int) object {
		isStream := kind == "streaming"
		r := object{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeout, "latencyGoalMs": aim, "priority": 1, "attempts": attempts, "public": false, "sticky": isStream, "resumable": isStream}
		if isStream {
			r["gapTargetMs"] = 250
		}
		return r
	}
	engine := object{
		"slots": engineSlots, "kvCapacity": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309,
		"report_lag_ms": 200.0, "loadsPerS": 5.5, "loads_at_once": 8, "models": []object{{"name": modelName, "size": modelSize, "share": 1.0, "pace": 1.0, "loadS": 1.0, "warmS": 0.5}},
	}
	d.store.put("op/config", object{
		"version": version,
		"routes": []object{
			route("grade-summary", "streaming", modelService, 8000, 400, 2),
			route("assay-check", "streaming", modelService, 5000, 400, 2),
			route("cert-signoff", "unsafe", plain, 1500, 300, 1),
			route("sample-lookup", "safe", plain, 1500, 300, 2),
		},
		"services": []object{{"name": modelService, "healthPath": "/health", "maxConns": 464, "engine": engine}, {"name": plainService, "healthPath": "/health", "maxConns": 96}, {"name": otherService, "healthPath": "/health", "maxConns": 96}},
		"tenants":  []object{{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// request is a request of a client: an answer of pieces, one each interval.
type request struct {
	id, route string
	pieces    int
	every     time.Duration
	deadline  time.Duration
	// size is the length of a piece's filling in bytes, and pause how long the client reads
	// nothing after the head of the answer.
	size  int
	pause time.Duration
}

// result is what the client saw. isComplete is set if the answer ended as complete by the rules
// of HTTP.
type result struct {
	status     int
	seal       string
	isComplete bool
	body       string
	err        error
	took       time.Duration
	// gap is how long before the end the last bytes came.
	gap time.Duration
}

// send sends a request to a node on a new connection and reads the answer.
func (d *deployment) send(n *node, r request) result {
	d.record.say("client: sends %s (%s) to %s: %d pieces, one each %s", r.id, r.route, n.name, r.pieces, r.every)
	begin := time.Now()
	out := call(n.callers, r)
	out.took = time.Since(begin)
	what := "ends as complete"
	if !out.isComplete {
		what = fmt.Sprintf("is broken off (%v)", out.err)
	}
	d.record.say("client: the answer to %s has status %d, seal %q, %d of %d pieces and %s after %v", r.id, out.status, out.seal, strings.Count(out.body, "data: "), r.pieces, what, out.took.Round(time.Millisecond))
	return out
}

// smallWindow gives a client's socket small packets and a small window, as on a slow link: on
// loopback the system would hold megabytes for a client that does not read.
func smallWindow(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
	})
}

func call(address string, r request) result {
	dialer := net.Dialer{Timeout: time.Second}
	if r.pause > 0 {
		dialer.Control = smallWindow
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	text := "{}"
	model := ""
	if r.route == "grade-summary" || r.route == "assay-check" {
		model = fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 40,%d\r\nX-Prompt-Prefix: aa:20,%x:20\r\n", modelName, 6*r.pieces, r.id)
	}
	_, err = fmt.Fprintf(conn, "POST /%s/x?pieces=%d&every=%s&size=%d HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.route, r.pieces, r.every, r.size, host, key, r.id, r.deadline.Milliseconds(), model, len(text), text)
	if err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), &http.Request{Method: http.MethodPost})
	if err != nil {
		return result{err: err}
	}
	time.Sleep(r.pause)
	var body bytes.Buffer
	lastAt, part := time.Now(), make([]byte, 4096)
	for err == nil {
		var n int
		n, err = response.Body.Read(part)
		if body.Write(part[:n]); n > 0 {
			lastAt = time.Now()
		}
	}
	if err == io.EOF {
		err = nil
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return result{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), isComplete: err == nil && isFramed, body: body.String(), err: err, gap: time.Since(lastAt)}
}

// awaitService waits until each node serves both services.
func (d *deployment) awaitService() error {
	for i, n := range d.nodes {
		for _, route := range []string{"cert-signoff", "grade-summary"} {
			ok := false
			for try := 0; try < 100 && !ok; try++ {
				id := fmt.Sprintf("warm%d-%s-%d", i, route, try)
				out := call(n.callers, request{id: id, route: route, pieces: 2, every: 10 * time.Millisecond, deadline: 3 * time.Second})
				ok = out.isComplete && out.status == http.StatusOK && out.body == answer(id, 2, 0)
				if !ok {
					time.Sleep(200 * time.Millisecond)
				}
			}
			if !ok {
				return fmt.Errorf("%s does not serve %s", n.name, route)
			}
		}
	}
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	d.mu.Lock()
	workers := d.workers
	d.mu.Unlock()
	for _, w := range workers {
		w.kill()
	}
}
