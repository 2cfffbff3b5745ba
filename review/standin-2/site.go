package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	apiKey  = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	host    = "ficu95.example"
	service = "wuno96b"
)

// site is a small deployment: the store, nodes and workers, on loopback.
type site struct {
	begin  time.Time
	record *os.File
	folder string
	store  *store
	// storeAddress is what the nodes are told.
	storeAddress string
	mu           sync.Mutex
	processes    []*exec.Cmd
	ran          map[string][]string
	workers      map[string]*workerProcess
}

type workerProcess struct {
	id, address string
	born        int64
	cmd         *exec.Cmd
	in          io.WriteCloser
	up          chan struct{}
}

func newSite(recordPath string) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{begin: time.Now(), record: record, folder: folder, store: newStore(), ran: map[string][]string{}, workers: map[string]*workerProcess{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	go s.store.serve(l)
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the folder.
func (s *site) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		if p.Process != nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// freePort returns a port of an address that is free for TCP and UDP.
func freePort(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address
		}
	}
}

// node is a process of the system.
type node struct {
	name, callers, ready string
	settings             string
	log                  *os.File
	cmd                  *exec.Cmd
}

// startNode starts a node by the command of the deploy file, with the settings of its template.
func (s *site) startNode(index int) (*node, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+index)
	n := &node{name: fmt.Sprintf("front-%d", index), callers: freePort(ip), ready: freePort(ip)}
	text, _ := json.MarshalIndent(map[string]any{
		"adapter": "platform", "name": n.name, "zone": fmt.Sprintf("zone-%d", index%3), "callers": n.callers, "ready": n.ready,
		"digests": freePort(ip), "admin": freePort(ip), "store": s.storeAddress, "revocation": "5000ms", "retry": 0.2, "burst": 130,
		"hedge": 0, "memory": 284, "descriptors": 4200, "drain": "8s", "lag": "2s",
	}, "", "  ")
	path := filepath.Join(s.folder, n.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, n.name+".log"))
	if err != nil {
		return nil, err
	}
	n.settings, n.log = path, log
	return n, s.run(n)
}

// run starts the process of a node, also once more.
func (s *site) run(n *node) error {
	n.cmd = exec.Command("target/eelgrassd", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.processes = append(s.processes, n.cmd)
	s.mu.Unlock()
	return nil
}

// awaitReady waits until a node says that it is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := client.Get("http://" + n.ready + "/eelgrassring/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// startWorker starts a worker and registers it once it listens.
func (s *site) startWorker(id, address string, args ...string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &workerProcess{id: id, address: address, born: time.Now().UnixMilli(), up: make(chan struct{})}
	w.cmd = exec.Command(self, append([]string{"worker", "--id", id, "--listen", address}, args...)...)
	if w.in, err = w.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, w.cmd)
	s.workers[id] = w
	s.mu.Unlock()
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			line := strings.Fields(in.Text())
			s.note("worker %s", in.Text())
			switch line[0] {
			case "up":
				close(w.up)
			case "run":
				s.mu.Lock()
				s.ran[line[2]] = append(s.ran[line[2]], line[1])
				s.mu.Unlock()
			}
		}
	}()
	select {
	case <-w.up:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("worker %s does not listen", id)
	}
	s.register(w, "ready")
	return w, nil
}

// register writes a worker's entry and returns when the store has acknowledged it.
func (s *site) register(w *workerProcess, state string) time.Time {
	at := s.store.set("servers/"+w.id, map[string]any{
		"service": service, "address": w.address, "zone": "zone-0", "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "sequence": 1, "born": w.born,
	})
	s.note("registry: %s is %s", w.id, state)
	return at
}

// ranAt returns the workers that ran a request.
func (s *site) ranAt(attempt string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran[attempt]...)
}

// configure writes a configuration with one route.
func (s *site) configure(kind string, timeoutMillis, goalMillis, attempts int) {
	s.configureKeys(7, kind, timeoutMillis, goalMillis, attempts, apiKey)
}

// configureKeys is configure with a version and the tenant's keys. It returns when the store has
// acknowledged it.
func (s *site) configureKeys(version int, kind string, timeoutMillis, goalMillis, attempts int, keys ...string) time.Time {
	s.note("operator: version %d with keys %v", version, keys)
	return s.store.set("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-2yhvz3p", "host": host, "pathPrefix": "/puxa403/", "kind": kind, "timeoutMs": timeoutMillis, "latencyGoalMs": goalMillis,
			"priority": 2, "service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": keys}},
	})
}

// outcome is what a client saw.
type outcome struct {
	attempt  string
	status   int
	header   http.Header
	body     []byte
	err      error
	sentAt   time.Time
	answered time.Time
}

// ask sends one request on a connection of its own and reads the whole answer.
func (s *site) ask(n *node, method, attempt string, deadline time.Duration) outcome {
	return s.askWith(apiKey, n, method, attempt, deadline)
}

// askWith is ask with another key.
func (s *site) askWith(key string, n *node, method, attempt string, deadline time.Duration) outcome {
	r, _ := http.NewRequest(method, "http://"+n.callers+"/puxa403/2f", nil)
	if method == http.MethodPost {
		r, _ = http.NewRequest(method, "http://"+n.callers+"/puxa403/2f", strings.NewReader(strings.Repeat("x", 600)))
	}
	return s.send(r, key, n, attempt, deadline)
}

// send sends a request and reads the whole answer.
func (s *site) send(r *http.Request, key string, n *node, attempt string, deadline time.Duration) outcome {
	out := outcome{attempt: attempt, sentAt: time.Now()}
	r.Host = host
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	s.note("client sends %s to %s", attempt, n.name)
	answer, err := client.Do(r)
	if err == nil {
		out.status, out.header = answer.StatusCode, answer.Header
		out.body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	out.err, out.answered = err, time.Now()
	s.note("client got for %s: status %d, seal %q, %d bytes, error %v", attempt, out.status, out.header.Get("X-Response-Seal"), len(out.body), err)
	return out
}
