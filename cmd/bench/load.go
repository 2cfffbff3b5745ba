package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat/distuv"

	"eelgrassring.dev/internal/openai"
	standin "eelgrassring.dev/internal/standin/engine"
)

// trafficOptions are the flags of the load command. Requests are sent in an open
// loop: their times do not depend on responses.
type trafficOptions struct {
	nodes    []string
	key      string
	model    string
	rate     float64
	duration time.Duration
	tokens   int
	seed     uint64
}

// loadCommand returns the subcommand that sends requests to running nodes.
func loadCommand() *cobra.Command {
	var o trafficOptions
	c := &cobra.Command{
		Use: "load", Short: "Send requests to running nodes and check every response", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return sendTraffic(c.Context(), c.OutOrStdout(), o) },
	}
	f := c.Flags()
	f.StringSliceVar(&o.nodes, "nodes", []string{"127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8083"}, "addresses that nodes serve callers on; loopback only")
	f.StringVar(&o.key, "key", "example-minas-reports", "bearer key")
	f.StringVar(&o.model, "model", "drafting", "model")
	f.Float64Var(&o.rate, "rate", 20, "requests per second")
	f.DurationVar(&o.duration, "span", 15*time.Second, "duration of the arrivals")
	f.IntVar(&o.tokens, "tokens", 40, "mean tokens per response")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random arrivals and requests")
	return c
}

// trafficResults collects the results of all requests. The time to the first
// token starts when a request was due, so that late sends count (no coordinated
// omission). Failures are counted by HTTP status: 0 stands for a request
// without a response, 1 for an incomplete stream.
type trafficResults struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	correct    int
	failed     map[int]int
	wrong      int
}

// sendTraffic sends requests to the nodes at random times, waits for all
// responses and prints the results. It returns an error if a response has the
// wrong text.
func sendTraffic(ctx context.Context, w io.Writer, o trafficOptions) error {
	for _, n := range o.nodes {
		if !strings.HasPrefix(n, "127.") && !strings.HasPrefix(n, "[::1]") {
			return fmt.Errorf("node address %s is not a loopback address", n)
		}
	}
	results := &trafficResults{
		firstToken: hdrhistogram.New(1, time.Minute.Microseconds(), 3), tokenGap: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		failed: map[int]int{},
	}
	source := rand.NewPCG(o.seed, 1)
	random := rand.New(source)
	interarrival := distuv.Exponential{Rate: o.rate, Src: source}
	var wait sync.WaitGroup
	begin := time.Now()
	due := time.Duration(0)
	sent := 0
	for due < o.duration {
		due += time.Duration(interarrival.Rand() * float64(time.Second))
		r := plannedRequest{
			node: o.nodes[random.IntN(len(o.nodes))], prompt: fmt.Sprintf("prefix %02d of the campaign, request %d", random.IntN(20), sent),
			tokens: 1 + random.IntN(2*o.tokens), seed: int64(sent), due: begin.Add(due),
		}
		sent++
		time.Sleep(time.Until(r.due))
		wait.Go(func() { results.sendRequest(ctx, o, r) })
	}
	wait.Wait()
	results.print(w, sent)
	if results.wrong > 0 {
		return fmt.Errorf("%d responses have the wrong text", results.wrong)
	}
	return nil
}

// plannedRequest is a request that is due at a given time.
type plannedRequest struct {
	node   string
	prompt string
	tokens int
	seed   int64
	due    time.Time
}

// sendRequest sends one request, compares the streamed text with the expected
// one and counts the result.
func (t *trafficResults) sendRequest(ctx context.Context, o trafficOptions, r plannedRequest) {
	body, err := json.Marshal(standin.Request{
		Model: o.model, Messages: []openai.Message{{Role: "user", Content: r.prompt}},
		Stream: true, MaxTokens: r.tokens, Seed: r.seed,
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.node+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.countFailure(0)
		return
	}
	defer resp.Body.Close()
	text, isComplete := t.readStream(resp.Body, r)
	switch {
	case resp.StatusCode != http.StatusOK:
		t.countFailure(resp.StatusCode)
	case !isComplete:
		t.countFailure(1)
	case text != standin.Text(o.model, "user: "+r.prompt, r.seed, r.tokens):
		t.mu.Lock()
		t.wrong++
		t.mu.Unlock()
	default:
		t.mu.Lock()
		t.correct++
		t.mu.Unlock()
	}
}

// countFailure counts a failed request under an HTTP status, or under 0 or 1
// (see trafficResults).
func (t *trafficResults) countFailure(code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[code]++
}

// readStream returns the text of a stream and whether it is complete, and records
// the times of its events.
func (t *trafficResults) readStream(body io.Reader, r plannedRequest) (text string, isComplete bool) {
	lines := bufio.NewScanner(body)
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var c openai.Completion
		if json.Unmarshal([]byte(data), &c) != nil {
			return text, false
		}
		text += c.Text()
		now := time.Now()
		t.mu.Lock()
		if last.IsZero() {
			_ = t.firstToken.RecordValue(now.Sub(r.due).Microseconds())
		} else {
			_ = t.tokenGap.RecordValue(now.Sub(last).Microseconds())
		}
		t.mu.Unlock()
		last = now
	}
	return text, false
}

// print writes the counts and the latency quantiles; sent is the number of
// requests.
func (t *trafficResults) print(w io.Writer, sent int) {
	fmt.Fprintf(w, "sent %d, complete and correct %d, wrong %d, failed by status %v\n", sent, t.correct, t.wrong, t.failed)
	for _, h := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", t.firstToken}, {"token gap", t.tokenGap}} {
		fmt.Fprintf(w, "%s ms: p50 %.1f  p95 %.1f  p99 %.1f\n", h.name,
			float64(h.h.ValueAtQuantile(50))/1000, float64(h.h.ValueAtQuantile(95))/1000, float64(h.h.ValueAtQuantile(99))/1000)
	}
}
