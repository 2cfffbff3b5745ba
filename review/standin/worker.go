package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// membership is the group that a worker is in.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// worker is a stand-in for a sound worker: it registers, follows orders for groups of one
// or more members, answers requests, and leaves at SIGTERM.
type worker struct {
	id, service, address, store string
	born                        int64

	mu       sync.Mutex
	draining bool
	orders   int64
	beats    int64
	highest  int64
	model    string
	group    *membership
}

func runWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{born: time.Now().UnixMilli()}
	f.StringVar(&w.id, "id", "", "id")
	f.StringVar(&w.service, "service", "", "service")
	f.StringVar(&w.store, "store", "", "address of the store")
	ip := f.String("ip", "127.0.0.1", "address to listen on")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *ip+":0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		w.mu.Lock()
		w.draining = true
		w.mu.Unlock()
		w.register()
		w.log("draining", "")
	}()
	go func() {
		for {
			w.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

// log writes a line for the driver, which puts it into the record.
func (w *worker) log(what, request string) {
	fmt.Printf("%s worker %s %s %s\n", time.Now().Format("15:04:05.000"), w.id, what, request)
}

// state returns what the worker says of itself in its report and its entry.
func (w *worker) state() map[string]any {
	out := map[string]any{"born": w.born, "sequence": w.orders, "stage": "both", "models": []any{}, "domain": "d-" + w.id, "staged": []string{}, "pace": 1.0, "running": 0, "waiting": 0}
	if w.model != "" {
		out["models"] = []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
		out["staged"] = []string{w.model}
	}
	if w.group != nil {
		out["group"] = *w.group
	}
	return out
}

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.state()
	w.beats++
	entry["sequence"], entry["service"], entry["address"], entry["zone"], entry["version"], entry["slots"], entry["coldLeftMs"], entry["state"] = w.beats, w.service, w.address, "a", "v1", 26, 0, "ready"
	if w.draining {
		entry["state"] = "draining"
	}
	body, _ := json.Marshal(entry)
	r, _ := http.NewRequest(http.MethodPut, "http://"+w.store+"/entry/"+w.id, bytes.NewReader(body))
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
	}
}

// serve answers one request a connection at a time, like a worker.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, r, body) {
			return
		}
	}
}

func short(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// answer answers one request and reports whether the connection is kept.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/health":
		w.mu.Lock()
		status := http.StatusOK
		if w.draining {
			status = http.StatusServiceUnavailable
		}
		w.mu.Unlock()
		return short(c, status, "X-Instance-Id: "+w.id+"\r\n", "{}")
	case "/eelgrassring/report":
		w.mu.Lock()
		text, _ := json.Marshal(w.state())
		w.mu.Unlock()
		return short(c, http.StatusOK, "", string(text))
	case "/eelgrassring/order":
		return short(c, w.order(body), "", "{}")
	}
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		return short(c, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\nX-Instance-Id: "+w.id+"\r\n", "{}")
	}
	w.log("runs", fmt.Sprintf("%s %s %s tenant=%q key=%q", id, r.Method, r.URL.Path, r.Header.Get("X-Tenant"), r.Header.Get("Authorization")))
	q := r.URL.Query()
	pieces, _ := strconv.Atoi(q.Get("pieces"))
	gap, _ := strconv.Atoi(q.Get("gap"))
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n"
	if q.Get("seal") != "none" {
		head += "X-Response-Seal: seal-" + w.id + "\r\n"
	}
	kind, chunked := "text/plain", false
	switch q.Get("as") {
	case "stream":
		kind, chunked = "text/event-stream", true
		head += "Transfer-Encoding: chunked\r\n"
	case "unframed":
		head += "Connection: close\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(wholeBody(id, pieces)))
	}
	w.mu.Lock()
	if w.draining {
		head += "Server-Leaving: 1\r\n"
	}
	w.mu.Unlock()
	if _, err := fmt.Fprintf(c, "%sContent-Type: %s\r\n\r\n", head, kind); err != nil {
		return false
	}
	for n := 1; n <= pieces; n++ {
		time.Sleep(time.Duration(gap) * time.Millisecond)
		text := piece(id, n)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			w.log("cut off", id)
			return false
		}
	}
	if chunked {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	w.log("done", id)
	return q.Get("as") != "unframed"
}

// piece returns the n-th piece of the answer to a request.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// wholeBody returns the whole body of the answer to a request.
func wholeBody(id string, pieces int) string {
	out := ""
	for n := 1; n <= pieces; n++ {
		out += piece(id, n)
	}
	return out
}

// order follows an order and returns the status of the answer.
func (w *worker) order(body []byte) int {
	var o struct {
		Operation string   `json:"operation"`
		Group     string   `json:"group"`
		Epoch     int64    `json:"epoch"`
		Model     string   `json:"model"`
		Members   []string `json:"members"`
		Expected  *int64   `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	isIn := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	later := func(d time.Duration, state string) {
		group := w.group
		time.AfterFunc(d, func() {
			w.mu.Lock()
			if w.group == group {
				group.State = state
			}
			w.mu.Unlock()
			w.register()
		})
	}
	switch {
	case o.Expected != nil && *o.Expected != w.orders:
		return http.StatusConflict
	case o.Operation == "join" && o.Epoch < w.highest:
		return http.StatusPreconditionFailed
	case o.Operation == "join" && isIn:
		return http.StatusOK
	case o.Operation == "join":
		rank := 0
		for i, m := range o.Members {
			if m == w.id {
				rank = i
			}
		}
		w.orders++
		w.highest, w.model = o.Epoch, o.Model
		w.group = &membership{o.Group, o.Epoch, rank, "joining"}
		later(200*time.Millisecond, "ready")
	case o.Operation == "stage":
		w.orders++
	case !isIn:
		return http.StatusConflict
	case o.Operation == "open" && w.group.State == "open":
		return http.StatusOK
	case o.Operation == "open" && w.group.State != "ready":
		return http.StatusConflict
	case o.Operation == "open":
		w.orders++
		later(100*time.Millisecond, "open")
	case o.Operation == "close":
		w.orders++
		later(0, "ready")
	case o.Operation == "leave":
		w.orders++
		w.group = nil
		go w.register()
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}
