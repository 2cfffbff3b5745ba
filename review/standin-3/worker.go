package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two writes of an entry.
const heartbeat = time.Second

// member is the group that a worker is in.
type member struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// worker is a worker process. Its answers have neither a length nor chunks and end with their
// connection, as the pages allow, unless it is told otherwise. It prints a line when a run begins and ends.
type worker struct {
	id, service, address, store, zone, domain string
	born                                      int64

	mu       sync.Mutex
	sequence int64
	beats    int64
	epoch    int64
	model    string
	group    *member
	running  int
	// isLeaving is set by SIGUSR1: the worker reports that it drains, and says so in its answers.
	isLeaving bool
	// limit, if it is not empty, is the Server-Limit that the answers name, and isFramed is set if
	// they have a length.
	limit    string
	isFramed bool
	// slots is how many requests run at a time, and retryAfter, if it is not empty, what an answer
	// says that turns one away.
	slots      int
	retryAfter string
	// queue is how many more wait for a slot. A request that waits has not begun to run.
	queue int
	free  chan struct{}
}

func runWorker(args []string) {
	set := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{born: time.Now().UnixMilli()}
	set.StringVar(&w.id, "id", "", "ID")
	set.StringVar(&w.service, "service", "", "service")
	set.StringVar(&w.address, "address", "127.0.0.1:0", "address")
	set.StringVar(&w.store, "store", "", "address of the store")
	set.StringVar(&w.zone, "zone", "a", "zone")
	set.StringVar(&w.domain, "domain", "", "fabric domain, empty for a plain service")
	set.StringVar(&w.limit, "limit", "", "Server-Limit that the answers name")
	set.BoolVar(&w.isFramed, "framed", false, "answers have a length")
	set.IntVar(&w.slots, "slots", 6, "requests at a time")
	set.IntVar(&w.queue, "queue", 0, "requests that wait for a slot")
	set.StringVar(&w.retryAfter, "retry-after", "", "Retry-After of refusals")
	_ = set.Parse(args)
	w.free = make(chan struct{}, w.slots)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.address = l.Addr().String()
	w.say("listens at %s, born %d", w.address, w.born)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) {
		w.say("gets a health check")
		out.Header().Set("X-Instance-Id", w.id)
		if w.limit != "" {
			out.Header().Set("Server-Limit", w.limit)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isLeaving {
			out.Header().Set("Server-Leaving", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /eelgrassring/report", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(out, http.StatusOK, w.state())
	})
	mux.HandleFunc("POST /eelgrassring/order", w.order)
	mux.HandleFunc("/", w.run)
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		w.mu.Lock()
		w.isLeaving = true
		w.mu.Unlock()
		w.register()
		w.say("the store has accepted that it drains")
	}()
	go func() {
		for {
			w.register()
			time.Sleep(heartbeat)
		}
	}()
	_ = http.Serve(l, mux)
}

// say prints a line with the time, which the case adds to its record.
func (w *worker) say(format string, values ...any) {
	fmt.Printf("%d worker %s: %s\n", time.Now().UnixMilli(), w.id, fmt.Sprintf(format, values...))
}

// state is what the worker says of itself; mu is held.
func (w *worker) state() map[string]any {
	out := map[string]any{"born": w.born, "sequence": w.sequence, "models": []any{}, "staged": []string{}, "busy": false, "stage": "both", "pace": 1.0, "waiting": 0, "running": w.running, "kvUsed": 0, "kvTotal": 2470000, "handles": 0}
	if w.domain != "" {
		out["domain"] = w.domain
	}
	if w.model != "" {
		out["models"] = []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
		out["staged"] = []string{w.model}
	}
	if w.group != nil {
		out["group"] = *w.group
	}
	return out
}

// register writes the entry.
func (w *worker) register() {
	w.mu.Lock()
	entry := w.state()
	w.beats++
	entry["sequence"], entry["service"], entry["address"], entry["zone"], entry["slots"] = w.beats, w.service, w.address, w.zone, w.slots
	entry["version"], entry["coldLeftMs"], entry["state"] = "1", 0, "ready"
	if w.isLeaving {
		entry["state"] = "draining"
	}
	w.mu.Unlock()
	text, _ := json.Marshal(entry)
	r, err := http.NewRequest(http.MethodPut, "http://"+w.store+"/worker/"+w.id, bytes.NewReader(text))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
	}
}

func (w *worker) order(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Group string
		Epoch                   int64
		Members                 []string
		Expected                *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := func() int {
		isIn := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
		rank := slices.Index(o.Members, w.id)
		switch {
		case o.Expected != nil && *o.Expected != w.sequence:
			return http.StatusConflict
		case o.Operation == "join" && o.Epoch < w.epoch:
			return http.StatusPreconditionFailed
		case o.Operation == "join" && rank < 0:
			return http.StatusConflict
		case o.Operation == "join" && isIn:
			return http.StatusOK
		case o.Operation == "join":
			w.epoch, w.model = o.Epoch, o.Model
			w.group = &member{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining"}
			w.become("ready", 200*time.Millisecond)
		case o.Operation == "stage":
		case !isIn:
			return http.StatusConflict
		case o.Operation == "open" && w.group.State == "open":
			return http.StatusOK
		case o.Operation == "open" && w.group.State != "ready":
			return http.StatusConflict
		case o.Operation == "open":
			w.become("open", 100*time.Millisecond)
		case o.Operation == "close":
			w.become("ready", 0)
		case o.Operation == "leave":
			w.group = nil
			go w.register()
		default:
			return http.StatusBadRequest
		}
		w.sequence++
		return http.StatusAccepted
	}()
	out.WriteHeader(status)
}

// become changes the state of the membership after a delay; mu is held.
func (w *worker) become(state string, delay time.Duration) {
	group := w.group
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		if w.group == group {
			group.State = state
		}
		w.mu.Unlock()
		w.register()
	})
}

// run answers a request: pieces of an answer, one each interval. The target says how many and
// how often. A connection is used for one request only.
func (w *worker) run(out http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	refuse := func(status int) {
		if status == http.StatusServiceUnavailable && w.retryAfter != "" {
			out.Header().Set("Retry-After", w.retryAfter)
		}
		out.Header().Set("X-Instance-Id", w.id)
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(status)
		w.say("%s: %d, not run", id, status)
	}
	w.mu.Lock()
	isFull := w.running >= w.slots+w.queue
	expected, isHead := r.Header.Get("X-Expect-Instance"), w.domain == "" || (w.group != nil && w.group.Rank == 0 && w.group.State == "open")
	w.mu.Unlock()
	switch {
	case expected != "" && expected != w.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case !isHead, isFull:
		refuse(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	q := r.URL.Query()
	pieces, _ := strconv.Atoi(q.Get("pieces"))
	size, _ := strconv.Atoi(q.Get("size"))
	interval, _ := time.ParseDuration(q.Get("every"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	w.free <- struct{}{}
	defer func() { <-w.free }()
	w.say("%s: runs from piece %d of %d", id, last+1, pieces)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal." + w.id + "\r\nX-Instance-Id: " + w.id + "\r\n"
	if w.limit != "" {
		head += "Server-Limit: " + w.limit + "\r\n"
	}
	if w.isFramed {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(answer(id, pieces, size))-len(answer(id, last, size)))
	}
	w.mu.Lock()
	if w.isLeaving {
		head += "Server-Leaving: 1\r\n"
	}
	w.mu.Unlock()
	if w.domain != "" {
		head += "Content-Type: text/event-stream\r\n\r\n"
	} else {
		head += "Content-Type: text/plain\r\n\r\n"
	}
	_, _ = buffered.WriteString(head)
	for n := last + 1; n <= pieces; n++ {
		time.Sleep(interval)
		_, _ = buffered.WriteString(piece(id, n, size))
		if buffered.Flush() != nil {
			w.say("%s: its caller has left at piece %d", id, n)
			return
		}
	}
	_ = buffered.Flush()
	w.say("%s: ended, all %d pieces", id, pieces)
}

// piece is the n-th piece of the answer to a request.
func piece(id string, n, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d %s\n\n", n, id, n, strings.Repeat("x", size))
}

// answer is the whole answer to a request.
func answer(id string, pieces, size int) string {
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(piece(id, n, size))
	}
	return b.String()
}
