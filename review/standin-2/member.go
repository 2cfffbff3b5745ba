package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// formTime, joinTime and loadTime are those of a worker: to open, to join with the model of its
	// last group, and to load that model before the first request.
	formTime = 300 * time.Millisecond
	joinTime = 200 * time.Millisecond
	loadTime = 1200 * time.Millisecond
)

// membership is the group that a worker is in.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// memberState is what a model worker says of itself.
type memberState struct {
	Models   []map[string]any `json:"models"`
	Busy     bool             `json:"busy"`
	Sequence int64            `json:"sequence"`
	Staged   []string         `json:"staged"`
	Domain   string           `json:"domain"`
	Born     int64            `json:"born"`
	Group    *membership      `json:"group,omitempty"`
	Stage    string           `json:"stage"`
	Pace     float64          `json:"pace"`
}

type member struct {
	id string
	mu sync.Mutex
	memberState
	model string
	// newestEpoch is the largest epoch of a join in this life.
	newestEpoch uint64
	isOpening   bool
	// lateJoin is how much later than usual the answer to the next join comes, or 0.
	lateJoin time.Duration
}

// runMember serves one model worker that takes orders. It prints what it does, a line each, and
// reads commands on its standard input: "late MS" makes the answer to the next join that much later.
func runMember(args []string) {
	flags := flag.NewFlagSet("member", flag.ExitOnError)
	address := flags.String("listen", "", "address")
	id := flags.String("id", "", "the worker's id")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	m := &member{id: *id, memberState: memberState{Models: []map[string]any{}, Staged: []string{}, Domain: "d0", Born: time.Now().UnixMilli(), Stage: "both", Pace: 1}}
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			if text, ok := strings.CutPrefix(in.Text(), "late "); ok {
				ms, _ := strconv.Atoi(text)
				m.mu.Lock()
				m.lateJoin = time.Duration(ms) * time.Millisecond
				m.mu.Unlock()
			}
		}
		os.Exit(0) // The script has ended.
	}()
	m.mu.Lock()
	m.report()
	m.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", m.id) })
	mux.HandleFunc("GET /eelgrassring/report", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		fmt.Println("inspected", m.id)
		answer(w, http.StatusOK, m.memberState)
	})
	mux.HandleFunc("POST /eelgrassring/order", m.order)
	mux.HandleFunc("POST /lohu930/", m.stream)
	_ = http.Serve(l, mux)
}

// report prints the state, which goes to the registry. The lock is held.
func (m *member) report() {
	text, _ := json.Marshal(m.memberState)
	fmt.Println("state", m.id, string(text))
}

const (
	// streamEvents and eventGap are how many events a stream has and the time between them.
	streamEvents = 40
	eventGap     = 100 * time.Millisecond
)

// stream serves a request at the head of an open group. It breaks off when the worker leaves the
// group, which takes effect at once.
func (m *member) stream(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	m.mu.Lock()
	g := m.Group
	isServing := g != nil && g.Rank == 0 && g.State == "open" && r.Header.Get("X-Expect-Instance") == m.id
	m.mu.Unlock()
	if !isServing {
		w.Header().Set("X-Instance-Id", m.id)
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	fmt.Println("run", m.id, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Response-Seal", "1."+attempt)
	for i := 1; i <= streamEvents; i++ {
		m.mu.Lock()
		hasLeft := m.Group != g
		m.mu.Unlock()
		if hasLeft || r.Context().Err() != nil {
			fmt.Println("broke", m.id, attempt, i, "left", hasLeft)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: grade %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventGap)
	}
	fmt.Println("done", m.id, attempt)
}

type orderBody struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Expected  *int64   `json:"expected"`
}

func (m *member) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	before := "none"
	if m.Group != nil {
		before = m.Group.Name
	}
	status := m.carryOut(o)
	fmt.Println("order", m.id, o.Operation, o.Group, status, before)
	var late time.Duration
	if o.Operation == "join" {
		late, m.lateJoin = m.lateJoin, 0
	}
	m.mu.Unlock()
	time.Sleep(late)
	answer(w, status, map[string]any{})
}

// carryOut carries out an order and returns the status of the answer. The lock is held.
func (m *member) carryOut(o orderBody) int {
	if o.Expected != nil && *o.Expected != m.Sequence {
		return http.StatusConflict
	}
	isMine := m.Group != nil && m.Group.Name == o.Group && m.Group.Epoch == o.Epoch
	switch o.Operation {
	case "join":
		return m.join(o, isMine)
	case "open":
		switch {
		case isMine && (m.Group.State == "open" || m.isOpening):
			return http.StatusOK
		case !isMine || m.Group.State != "ready":
			return http.StatusConflict
		}
		m.Sequence++
		m.isOpening = true
		m.after(formTime, o, "ready", "open")
		return http.StatusAccepted
	case "close":
		if !isMine {
			return http.StatusConflict
		}
		if m.Group.State == "open" {
			m.Sequence++
			m.Group.State = "ready"
			m.report()
		}
		return http.StatusOK
	case "leave":
		if !isMine {
			return http.StatusConflict
		}
		m.Sequence++
		m.Group, m.isOpening = nil, false
		m.report()
		return http.StatusOK
	case "stage":
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (m *member) join(o orderBody, isMine bool) int {
	rank := slices.Index(o.Members, m.id)
	switch {
	case rank < 0:
		return http.StatusBadRequest
	case o.Epoch < m.newestEpoch, isMine && !slices.Equal(o.Members, m.Group.members):
		return http.StatusPreconditionFailed
	case isMine:
		return http.StatusOK
	}
	took := joinTime
	if m.model != o.Model {
		took = loadTime
	}
	m.Sequence++
	m.newestEpoch, m.isOpening = o.Epoch, false
	m.Group = &membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members}
	m.Models = []map[string]any{}
	m.report()
	m.after(took, o, "joining", "ready")
	return http.StatusAccepted
}

// after changes the state in the group that the order names, later, if it is still the one before.
func (m *member) after(d time.Duration, o orderBody, from, to string) {
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.Group == nil || m.Group.Epoch != o.Epoch || m.Group.State != from {
			return
		}
		m.Group.State, m.isOpening = to, false
		if to == "ready" {
			m.model, m.Staged = o.Model, []string{o.Model}
		}
		m.Models = []map[string]any{{"name": m.model, "version": 1, "adapters": []string{}}}
		m.report()
	})
}
