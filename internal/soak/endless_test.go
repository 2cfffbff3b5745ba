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

	"github.com/matryer/is"

	"eelgrassring.dev/platform/standin"
)

const (
	// routedMemoryMB is the memory limit in the settings of the nodes.
	routedMemoryMB = 284
	endlessCallers = 20
	soundCallers   = 4
	endlessTime    = 4 * time.Second
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

// TestEndlessAnswersFitIntoANode guards against a node that keeps what faulty servers send
// without end, and ends for lack of memory with the requests of all its callers: twenty such
// answers at a time, of each kind, beside sound requests.
func TestEndlessAnswersFitIntoANode(t *testing.T) {
	is := is.New(t)
	s := newRoutedSoak(t, buildPrograms(t))
	node := s.nodes[0]
	is.NoErr(s.awaitServing(node))
	run := s.cluster.running(node)
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var callers sync.WaitGroup
	call := func(name string, request standin.Request, check func(a standin.Answer)) {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := standin.Dial(s.cluster.address(node))
				if err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				request.ID = fmt.Sprintf("%s-%d", name, n)
				check(conn.Call(request))
				conn.Close()
			}
		})
	}
	kinds := []standin.Endless{standin.EndlessHead, standin.EndlessBody, standin.EndlessChunk, standin.EndlessEvent}
	for i := range endlessCallers {
		r := standin.Request{Kind: standin.KindBook, Endless: kinds[i%len(kinds)]}
		if i/len(kinds)%2 == 0 {
			r.Kind = standin.KindDraft
		}
		call(numbered("endless", i), r, func(a standin.Answer) {
			if a.Status == http.StatusOK && a.Err == nil {
				t.Errorf("an answer without end is complete")
			}
		})
	}
	served := make([]int, soundCallers)
	for i := range soundCallers {
		call(numbered("sound", i), standin.Request{Kind: standin.KindLook, Duration: 100 * time.Millisecond}, func(a standin.Answer) {
			if a.Status == http.StatusOK && a.Err == nil && a.IsOwn {
				served[i]++
			}
		})
	}
	callers.Wait()
	select {
	case <-run.exited:
		t.Error("the node has ended")
	default:
	}
	peak, err := s.peakMemoryMB(node)
	is.NoErr(err)
	t.Logf("peak %d MB, sound requests %v", peak, served)
	is.True(peak < routedMemoryMB)
	for _, n := range served {
		is.True(n > 0)
	}
}
