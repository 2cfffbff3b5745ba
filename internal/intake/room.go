package intake

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// roomPart is the part of the memory limit that the heap may fill before more is taken for
	// clients: what others have given up is still there until it is collected.
	roomPart = 0.45
	// sampleInterval is the time between two looks at the heap, and collectInterval that between
	// two collections that a full heap starts.
	sampleInterval  = 2 * time.Millisecond
	collectInterval = 100 * time.Millisecond
	// largeCharge is the charge for a head from which the heap must have room, roomWait how long it is
	// waited for, and roomPause the time between two looks.
	largeCharge = 16 << 10
	roomWait    = 200 * time.Millisecond
	roomPause   = 5 * time.Millisecond
	// shortAsk is how many bytes may be asked for so that the last part of the room, one of
	// roomParts, is free for them: long bodies keep no short ones waiting.
	shortAsk  = 256 << 10
	roomParts = 16
)

// room tells whether the heap has room.
type room struct {
	max int64

	mu                    sync.Mutex
	used                  int64
	sampledAt, collecting time.Time
}

// has reports whether n more bytes fit into the heap. If not, it starts a collection.
func (r *room) has(n int) bool {
	if r.max == 0 {
		return true
	}
	now := time.Now()
	r.mu.Lock()
	isStale := now.Sub(r.sampledAt) >= sampleInterval
	r.mu.Unlock()
	if isStale {
		r.record(heapBytes(), now)
	}
	r.mu.Lock()
	limit := r.max
	if n > shortAsk {
		limit -= r.max / roomParts
	}
	isFree := r.used+int64(n) <= limit
	mustCollect := !isFree && now.Sub(r.collecting) >= collectInterval
	if isFree {
		r.used += int64(n) // Until the next look.
	}
	if mustCollect {
		r.collecting = now
	}
	r.mu.Unlock()
	if mustCollect {
		go runtime.GC()
	}
	return isFree
}

// record records the bytes that the heap has at a time.
func (r *room) record(used int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used, r.sampledAt = used, now
}

// heapBytes returns the bytes of objects in the heap, with those that are not collected yet, and of
// the stacks, which the runtime takes from the heap too: a connection's may be as large as its buffers.
func heapBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

// HasRoom reports whether the heap has room for n more bytes, if the memory is limited.
func (h *Budget) HasRoom(n int) bool { return h.room.has(n) }

// awaitRoom waits until the heap has room for n bytes. It returns false if it has none in time.
func (h *Budget) awaitRoom(n int) bool {
	for waited := time.Duration(0); !h.room.has(n); waited += roomPause {
		if waited >= roomWait {
			return false
		}
		time.Sleep(roomPause)
	}
	return true
}
