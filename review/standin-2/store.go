package main

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent. Value is base64 in JSON.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store. It loses nothing and answers at once.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	// cutWatches is how long a watch waits at most before it is cut, or 0.
	cutWatches time.Duration
	// era counts the restores, and isAway is set while the store answers 503.
	era    int64
	isAway bool
}

// copyOf is an older state of the store.
type copyOf struct {
	revision int64
	items    map[string]item
	leases   map[int64]lease
}

// snapshot returns a copy of the present state.
func (s *store) snapshot() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := copyOf{revision: s.revision, items: maps.Clone(s.items), leases: map[int64]lease{}}
	for id, l := range s.leases {
		out.leases[id] = *l
	}
	return out
}

// restore makes the store go on from a copy, in the next era, after it has been away for a moment.
func (s *store) restore(c copyOf, away time.Duration) {
	s.mu.Lock()
	s.isAway = true
	s.notify()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = false
	s.era++
	s.revision, s.items, s.history, s.leases = c.revision, c.items, nil, map[int64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
	s.notify()
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, next: 7000, changed: make(chan struct{}), era: 1}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// write applies one change and returns its revision; a nil value removes the key. mu is held.
func (s *store) write(key string, value []byte, of int64) {
	s.revision++
	before, known := s.items[key]
	if value == nil {
		if known {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
		return
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, Lease: of}
	if known {
		i.CreatedAt = before.CreatedAt
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// notify wakes the watches. mu is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. mu is held.
func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(key, nil, 0)
		}
	}
	s.notify()
}

// set writes a key for the operator or a server; a nil value removes it. The return is the
// acknowledgement.
func (s *store) set(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value)
	}
	s.write(key, text, 0)
	s.notify()
	return time.Now()
}

// keys returns the keys below a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /eelgrassring/kv-key", s.get)
	mux.HandleFunc("GET /eelgrassring/kv-range", s.list)
	mux.HandleFunc("GET /eelgrassring/kv-watch", s.watch)
	mux.HandleFunc("POST /eelgrassring/kv-txn", s.commit)
	mux.HandleFunc("POST /eelgrassring/kv-lease", s.grant)
	mux.HandleFunc("POST /eelgrassring/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /eelgrassring/kv-lease-end/{id}", s.revoke)
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, isAway := s.era, s.isAway
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if isAway {
			answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("startAfter")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("startAfter"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	cut := make(<-chan time.Time)
	if s.cutWatches > 0 {
		cut = time.After(s.cutWatches/4 + rand.N(s.cutWatches*3/4))
	}
	s.mu.Lock()
	era := s.era
	isUnknown := after > s.revision
	s.mu.Unlock()
	if isUnknown {
		answer(w, http.StatusGone, map[string]any{})
		return
	}
	for isLast := false; ; {
		s.mu.Lock()
		if s.isAway || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isLast {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-cut:
			panic(http.ErrAbortHandler) // Closes the connection without an answer.
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range txn.Expected {
		i, known := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if known {
			current = append(current, i)
		}
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		s.write(p.Key, append([]byte{}, p.Value...), p.Lease)
	}
	for _, key := range txn.Remove {
		s.write(key, nil, 0)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := max(time.Duration(body.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.end(id)
	answer(w, http.StatusOK, map[string]any{})
}
