// Command standin holds the stand-ins for the store and the workers, and the clients of
// the review's cases. It starts the node program and the workers as separate processes.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRun bounds a run, with some time left of the 120 s.
	maxRun = 112 * time.Second
)

// cases are the cases by name. Each reports whether the rule was broken, or an error if
// it could not run.
var cases = map[string]func(e *env) (bool, error){
	"hang": runHang, "unframed": runUnframed, "crash": runCrash, "sigterm": runSigterm, "tenant": runTenant, "seal": runSeal,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Println("worker:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	f := flag.NewFlagSet("standin", flag.ExitOnError)
	name := f.String("case", "", "case to run")
	node := f.String("node", "target/eelgrassd", "the node program")
	record := f.String("record", "record.txt", "file for what was sent, answered and run")
	_ = f.Parse(os.Args[1:])
	os.Exit(runCase(*name, *node, *record))
}

func runCase(name, node, record string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	if _, err := os.Stat(node); err != nil {
		fmt.Fprintln(os.Stderr, "build the node program first:", err)
		return exitNotRun
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	// A loopback network of its own, as the settings template has fixed ports.
	e := &env{name: name, node: node, dir: dir, out: out, prefix: fmt.Sprintf("127.%d.%d.", 10+rand.N(200), rand.N(250)), isTroubled: os.Getenv("TROUBLE") != "0", processes: map[string]*exec.Cmd{}}
	defer e.stopAll()
	if e.store, err = newStore(e.ip(200)); err != nil {
		e.log("cannot run: %v", err)
		return exitNotRun
	}
	e.log("case %s, disruption %v", name, e.isTroubled)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxRun):
		}
		e.log("cannot run: ended before the result")
		e.stopAll()
		os.Exit(exitNotRun)
	}()
	broken, err := run(e)
	switch {
	case err != nil:
		e.log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitNotRun
	case broken:
		e.log("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	e.log("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// env is the deployment of one case.
type env struct {
	name, node, dir, prefix string
	isTroubled              bool
	store                   *store

	mu        sync.Mutex
	out       io.Writer
	processes map[string]*exec.Cmd
}

func (e *env) ip(n int) string { return fmt.Sprint(e.prefix, n) }

func (e *env) log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// start runs a program in the background. The lines of a worker go into the record.
func (e *env) start(name string, isLogged bool, program string, args ...string) error {
	cmd := exec.Command(program, args...)
	if path := os.Getenv("NODE_LOG"); path != "" && !isLogged {
		log, err := os.Create(path + "-" + name)
		if err != nil {
			return err
		}
		defer log.Close()
		cmd.Stderr = log // Stacks of a process that ends, or gets SIGQUIT.
	}
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		lines := bufio.NewScanner(pipe)
		for lines.Scan() {
			if isLogged {
				e.mu.Lock()
				fmt.Fprintln(e.out, lines.Text())
				e.mu.Unlock()
			}
		}
	}()
	e.mu.Lock()
	e.processes[name] = cmd
	e.mu.Unlock()
	return nil
}

func (e *env) signal(name string, s syscall.Signal) {
	e.log("signal %v to %s", s, name)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.processes[name].Process.Signal(s)
}

func (e *env) stopAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cmd := range e.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (e *env) front(n int) string { return e.ip(n) + ":8227" }
func (e *env) ready(n int) string { return e.ip(n) + ":8220" }
func (e *env) admin(n int) string { return e.ip(n) + ":7341" }

// startNodes starts the nodes 1 to n with the settings that the template of the deploy file
// gives for the bounds of the small sites.
func (e *env) startNodes(n int) error {
	for i := 1; i <= n; i++ {
		settings, _ := json.Marshal(map[string]any{
			"adapter": "platform", "name": fmt.Sprint("front-", i), "zone": "a", "callers": e.front(i), "ready": e.ready(i),
			"digests": e.ip(i) + ":7340", "admin": e.admin(i), "store": e.store.address, "revocation": "5000ms", "retry": 0.2, "burst": 130,
			"memory": 284, "drain": "8s", "lag": "2s",
		})
		path := filepath.Join(e.dir, fmt.Sprintf("node%d.json", i))
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return err
		}
		if err := e.start(fmt.Sprint("node", i), false, e.node, "--settings", path); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) startWorker(id, service string, n int) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return e.start(id, true, self, "worker", "-id", id, "-service", service, "-store", e.store.address, "-ip", e.ip(n))
}

// configure writes a configuration as the operator does.
func (e *env) configure(version int, routes, services, tenants []any) {
	config := map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	value, _ := json.Marshal(config)
	at := e.store.put("op/config", value)
	e.log("the store acknowledged configuration %d with %d routes and tenants %v at revision %d", version, len(routes), tenants, at)
}

type object = map[string]any

func plainRoute(prefix, kind string, attempts int) any {
	return object{"name": "r" + prefix, "host": "desk.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000, "latencyGoalMs": 300, "priority": 1, "service": "records", "attempts": attempts, "public": false, "sticky": false, "resumable": false}
}

func plainService() any {
	return object{"name": "records", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}
}

func tenant(name string, keys ...string) any {
	return object{"name": name, "apiKeys": keys, "priority": 1}
}

// answer is what a client got.
type answer struct {
	status   int
	seal     string
	body     string
	complete bool
	err      error
	took     time.Duration
}

// client is a client's connection, which is kept.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// call sends one request and reads its answer. If body is not nil, it gets the body as it comes.
func (c *client) call(e *env, id, method, target, key string, header string, wait time.Duration) answer {
	begin := time.Now()
	_ = c.conn.SetDeadline(begin.Add(wait))
	if key != "" {
		header += "Authorization: Bearer " + key + "\r\n"
	}
	e.log("client sends %s %s %s key %q", id, method, target, key)
	a := answer{}
	finish := func(err error) answer {
		a.err, a.took = err, time.Since(begin)
		e.log("client has %s: status %d, seal %q, %d bytes, complete %v, error %v, after %d ms", id, a.status, a.seal, len(a.body), a.complete, a.err, a.took.Milliseconds())
		return a
	}
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\n%s\r\n", method, target, id, header); err != nil {
		return finish(err)
	}
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return finish(err)
	}
	a.status, a.seal = r.StatusCode, r.Header.Get("X-Response-Seal")
	body, err := io.ReadAll(r.Body)
	a.body, a.complete = string(body), err == nil
	return finish(err)
}

// callOnce is call on a new connection.
func (e *env) callOnce(node int, id, method, target, key, header string, wait time.Duration) answer {
	c, err := dial(e.front(node))
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	return c.call(e, id, method, target, key, header, wait)
}

// isReady asks a node as the platform's entry does.
func (e *env) isReady(n int) bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + e.ready(n) + "/eelgrassring/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the nodes 1 to n are ready.
func (e *env) awaitReady(n int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count := 0
		for i := 1; i <= n; i++ {
			if e.isReady(i) {
				count++
			}
		}
		if count == n {
			return nil
		}
	}
	return fmt.Errorf("the nodes were not ready within 15 s")
}

// awaitService sends requests to a node until the service answers.
func (e *env) awaitService(node int, target, key, header string) error {
	for i := range 60 {
		if a := e.callOnce(node, fmt.Sprint("probe-", i), "GET", target, key, header, 2*time.Second); a.status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("the service did not answer within 15 s")
}
