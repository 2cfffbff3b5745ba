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

// loadOptions describe an open loop of requests.
type loadOptions struct {
	nodes    []string
	key      string
	model    string
	rate     float64
	duration time.Duration
	tokens   int
	seed     uint64
}

func loadCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use: "load", Short: "Send requests to running nodes and check every answer", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c.Context(), c.OutOrStdout(), o) },
	}
	f := c.Flags()
	f.StringSliceVar(&o.nodes, "nodes", []string{"127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8083"}, "callers' addresses, on loopback")
	f.StringVar(&o.key, "key", "example-minas-reports", "bearer key")
	f.StringVar(&o.model, "model", "drafting", "model")
	f.Float64Var(&o.rate, "rate", 20, "requests per second")
	f.DurationVar(&o.duration, "span", 15*time.Second, "how long requests arrive")
	f.IntVar(&o.tokens, "tokens", 40, "mean tokens of an answer")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	return c
}

// loadResults gathers the results of all requests. Latencies are counted from the
// time at which a request was due, so that a slow system hides nothing.
type loadResults struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	correct    int
	failed     map[int]int
	wrong      int
}

func runLoad(ctx context.Context, w io.Writer, o loadOptions) error {
	for _, n := range o.nodes {
		if !strings.HasPrefix(n, "127.") && !strings.HasPrefix(n, "[::1]") {
			return fmt.Errorf("%s is not on loopback", n)
		}
	}
	t := &loadResults{
		firstToken: hdrhistogram.New(1, time.Minute.Microseconds(), 3), tokenGap: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		failed: map[int]int{},
	}
	source := rand.NewPCG(o.seed, 1)
	random := rand.New(source)
	gaps := distuv.Exponential{Rate: o.rate, Src: source}
	var wait sync.WaitGroup
	begin := time.Now()
	due := time.Duration(0)
	sent := 0
	for due < o.duration {
		due += time.Duration(gaps.Rand() * float64(time.Second))
		r := loadRequest{
			node: o.nodes[random.IntN(len(o.nodes))], prompt: fmt.Sprintf("prefix %02d of the campaign, request %d", random.IntN(20), sent),
			tokens: 1 + random.IntN(2*o.tokens), seed: int64(sent), due: begin.Add(due),
		}
		sent++
		time.Sleep(time.Until(r.due))
		wait.Go(func() { t.send(ctx, o, r) })
	}
	wait.Wait()
	t.print(w, sent)
	if t.wrong > 0 {
		return fmt.Errorf("%d answers are wrong", t.wrong)
	}
	return nil
}

type loadRequest struct {
	node   string
	prompt string
	tokens int
	seed   int64
	due    time.Time
}

func (t *loadResults) send(ctx context.Context, o loadOptions, r loadRequest) {
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
	text, isWhole := t.readStream(resp.Body, r)
	switch {
	case resp.StatusCode != http.StatusOK:
		t.countFailure(resp.StatusCode)
	case !isWhole:
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

func (t *loadResults) countFailure(code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[code]++
}

// readStream takes a stream and the times of its pieces.
func (t *loadResults) readStream(body io.Reader, r loadRequest) (text string, isWhole bool) {
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

func (t *loadResults) print(w io.Writer, sent int) {
	fmt.Fprintf(w, "sent %d, whole and right %d, wrong %d, failed by status %v\n", sent, t.correct, t.wrong, t.failed)
	for _, h := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", t.firstToken}, {"token gap", t.tokenGap}} {
		fmt.Fprintf(w, "%s ms: p50 %.1f  p95 %.1f  p99 %.1f\n", h.name,
			float64(h.h.ValueAtQuantile(50))/1000, float64(h.h.ValueAtQuantile(95))/1000, float64(h.h.ValueAtQuantile(99))/1000)
	}
}
