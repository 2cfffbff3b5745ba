package agent

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/composition"
	"eelgrassring.dev/internal/election"
	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/fleet"
)

// answeringControl is a control interface of backend servers of which only those in
// answers respond.
type answeringControl struct {
	testControl
	answers map[string]bool
}

func (c answeringControl) Inspect(ctx context.Context, address string) (ring.Server, error) {
	if c.answers[address] {
		return ring.Server{Address: address}, nil
	}
	<-ctx.Done()
	return ring.Server{}, ctx.Err()
}

// TestUnansweredInspectionNeedsAReference guards against counting silence against a
// server while this node gets no answer from any server, and against never counting it.
func TestUnansweredInspectionNeedsAReference(t *testing.T) {
	for _, test := range []struct {
		servers, answering int
		isInconclusive     bool
	}{
		{servers: 3, answering: 0, isInconclusive: true},
		{servers: 3, answering: 2, isInconclusive: false},
		{servers: 1, answering: 0, isInconclusive: false}, // There is no other server to ask.
	} {
		synctest.Test(t, func(t *testing.T) {
			control := answeringControl{answers: map[string]bool{}}
			a := New(Config{Name: "n", Control: control, Fleet: fleet.New(), Log: event.NewLog(slog.New(slog.DiscardHandler)), Timing: DefaultTiming()})
			for i := range test.servers {
				id := fmt.Sprint("h", i)
				a.fleet.Put(ring.Server{ID: ring.VM(id), Address: id, Service: "s"}, 1)
				control.answers[id] = i > 0 && i <= test.answering
			}
			ct := newControllerTerm(a, &election.Term{})
			ct.inspectServer(t.Context(), "s", composition.Inspect{ID: "h0", Address: "h0"})
			synctest.Wait()
			result := (<-ct.events).composerEvent.(composition.Inspected)
			if result.Answered || result.Inconclusive != test.isInconclusive {
				t.Errorf("%d of %d servers answer: answered %v, inconclusive %v", test.answering, test.servers, result.Answered, result.Inconclusive)
			}
		})
	}
}
