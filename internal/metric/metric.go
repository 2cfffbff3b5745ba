// Package metric keeps the counters, gauges and histograms of one node and
// writes them in the Prometheus text format.
//
// Invariant: equal values produce identical output.
package metric

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/deployment"
)

// sampleSize and sampleDecay configure the exponentially decaying sample of each
// histogram.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

var quantiles = []float64{0.5, 0.95, 0.99}

// RequestClass is the workspace and priority whose requests a histogram covers.
type RequestClass struct {
	Workspace ring.Workspace
	Priority  deployment.Priority
}

// Latency names a measured part of a request's duration.
type Latency string

// The latencies, exported in seconds. LatencyHop is the time from the end of a
// request's body to its dispatch, without the time in the queue.
const (
	LatencyQueue      Latency = "queue"
	LatencyHop        Latency = "hop"
	LatencyFirstToken Latency = "first_token"
	LatencyTokenGap   Latency = "token_gap"
	LatencyTotal      Latency = "total"
)

// Registry contains the metrics of one node.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// Observe adds a sample to the histogram of a latency and class.
func (r *Registry) Observe(l Latency, c RequestClass, d time.Duration) {
	name := fmt.Sprintf("eelgrass_%s_seconds{workspace=%q,class=%q}", l, c.Workspace, c.Priority)
	h := r.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram)
	h.Update(int64(d))
}

// Count adds n to a counter. Labels are pairs of name and value.
func (r *Registry) Count(name string, n int64, labels ...string) {
	fullName := "eelgrass_" + name + "_total" + formatLabels(labels)
	r.registry.GetOrRegister(fullName, metrics.NewCounter).(metrics.Counter).Inc(n)
}

// SetGauge sets a gauge. Labels are pairs of name and value.
func (r *Registry) SetGauge(name string, value float64, labels ...string) {
	fullName := "eelgrass_" + name + formatLabels(labels)
	r.registry.GetOrRegister(fullName, metrics.NewGaugeFloat64).(metrics.GaugeFloat64).Update(value)
}

func formatLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	var parts []string
	for i := 0; i+1 < len(labels); i += 2 {
		parts = append(parts, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Write writes all metrics, sorted by line.
func (r *Registry) Write(w io.Writer) error {
	var lines []string
	r.registry.Each(func(name string, value any) {
		switch m := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, formatHistogram(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

// formatHistogram returns the lines of a summary: quantiles, sum and count.
func formatHistogram(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	var out []string
	for i, v := range h.Percentiles(quantiles) {
		out = append(out, fmt.Sprintf("%s{%s,quantile=\"%g\"} %g", base, labels, quantiles[i], v/float64(time.Second)))
	}
	out = append(out, fmt.Sprintf("%s_sum{%s} %g", base, labels, float64(h.Sum())/float64(time.Second)))
	return append(out, fmt.Sprintf("%s_count{%s} %d", base, labels, h.Count()))
}
