package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"eelgrassring.dev/platform/standin"
)

const (
	// routedMemoryMB is the memory limit in the settings of the nodes.
	routedMemoryMB = 284
	soundCallers   = 4
	memoryTime     = 3 * time.Second
	// uploadSize is the largest body that the configuration allows.
	uploadSize = 4 << 20
)

// peakMemoryMB returns the largest resident size of a node's process so far.
func (s *routedSoak) peakMemoryMB(node string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cluster.running(node).cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	return kilobytes >> 10, err
}

// memorySoak is a node that gets requests of one kind beside sound ones.
type memorySoak struct {
	*routedSoak
	t    *testing.T
	node string
	// served counts the whole answers of each group of callers.
	mu     sync.Mutex
	served map[string]int
	wait   sync.WaitGroup
}

// newMemorySoak starts a deployment.
func newMemorySoak(t *testing.T, bin string) *memorySoak {
	t.Helper()
	s := newRoutedSoak(t, bin)
	out := &memorySoak{routedSoak: s, t: t, node: s.nodes[0], served: map[string]int{}}
	if err := s.awaitServing(out.node); err != nil {
		t.Fatal(err)
	}
	return out
}

// call sends a request again and again until the context ends, with n callers.
func (s *memorySoak) call(ctx context.Context, name string, n int, request standin.Request) {
	for i := range n {
		s.wait.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				conn, err := standin.Dial(s.cluster.address(s.node))
				if err != nil {
					s.t.Errorf("%s: %v", name, err)
					return
				}
				r := request
				r.ID = fmt.Sprintf("%s-%d-%d", name, i, k)
				a := conn.Call(r)
				conn.Close()
				s.count(name, r, a)
			}
		})
	}
}

// count counts a whole answer.
func (s *memorySoak) count(name string, r standin.Request, a standin.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Status != http.StatusOK || a.Err != nil {
		return
	}
	if r.Endless != "" || !a.IsOwn {
		s.t.Errorf("%s got a wrong answer as complete", r.ID)
	}
	s.served[name]++
}

// finish waits for the callers, and checks that the node lives within its memory and that
// sound requests were served meanwhile.
func (s *memorySoak) finish() {
	s.wait.Wait()
	select {
	case <-s.cluster.running(s.node).exited:
		s.t.Error("the node has ended")
		return
	default:
	}
	peak, err := s.peakMemoryMB(s.node)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Logf("peak %d MB, served %v", peak, s.served)
	if peak >= routedMemoryMB || s.served["sound"] == 0 {
		s.t.Errorf("peak %d MB of %d, %d sound requests", peak, routedMemoryMB, s.served["sound"])
	}
}

// soundRequest is one that a node must serve whatever else it does.
var soundRequest = standin.Request{Kind: standin.KindLook, Duration: 100 * time.Millisecond}

// TestEndlessAnswersFitIntoANode guards against a node that keeps what faulty servers send
// without end, and ends for lack of memory with the requests of all its callers: twenty such
// answers at a time, of each kind, beside sound requests.
func TestEndlessAnswersFitIntoANode(t *testing.T) {
	s := newMemorySoak(t, buildPrograms(t))
	ctx, cancel := context.WithTimeout(t.Context(), memoryTime)
	defer cancel()
	for _, what := range []standin.Endless{standin.EndlessHead, standin.EndlessBody, standin.EndlessChunk, standin.EndlessEvent} {
		s.call(ctx, "endless-plain-"+string(what), 2, standin.Request{Kind: standin.KindBook, Endless: what})
		s.call(ctx, "endless-draft-"+string(what), 3, standin.Request{Kind: standin.KindDraft, Endless: what})
	}
	s.call(ctx, "sound", soundCallers, soundRequest)
	s.finish()
}

// TestUploadsFitIntoANode guards against the same by the bodies of callers: many large ones at
// a time, with a length and in chunks, beside answers without end.
func TestUploadsFitIntoANode(t *testing.T) {
	bin := buildPrograms(t)
	for _, uploads := range []int{20, 40, 80} {
		t.Run(fmt.Sprintf("%d uploads", uploads), func(t *testing.T) {
			s := newMemorySoak(t, bin)
			ctx, cancel := context.WithTimeout(t.Context(), memoryTime)
			defer cancel()
			s.call(ctx, "upload", uploads*3/4, standin.Request{Kind: standin.KindBook, Duration: 300 * time.Millisecond, BodySize: uploadSize})
			s.call(ctx, "chunks", uploads/4, standin.Request{Kind: standin.KindBook, Duration: 300 * time.Millisecond, BodySize: uploadSize, ChunkPause: 10 * time.Millisecond})
			s.call(ctx, "endless", 4, standin.Request{Kind: standin.KindBook, Endless: standin.EndlessBody})
			s.call(ctx, "sound", soundCallers, soundRequest)
			s.finish()
			if s.served["upload"] == 0 {
				t.Error("no upload was served")
			}
		})
	}
}
