package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"eelgrassring.dev/internal/experiment"
)

// decideCommand returns the subcommand that compares the routing policies in a
// simulation.
func decideCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "decide", Short: "Run all experiments in virtual time", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runExperiments(c.OutOrStdout(), out) },
	}
	c.Flags().StringVar(&out, "out", "", "directory for results.json and the plots")
	return c
}

// runExperiments runs every scenario under every policy and prints the results
// to w. Unless out is empty, it also writes them to that directory.
func runExperiments(w io.Writer, out string) error {
	scenarios, err := experiment.Scenarios()
	if err != nil {
		return err
	}
	var all []experiment.Result
	for _, s := range scenarios {
		for _, p := range experiment.Policies() {
			all = append(all, experiment.Run(s, p))
		}
	}
	printTable(w, all)
	if out == "" {
		return nil
	}
	return writeReport(out, all)
}

// printTable writes one row for each result.
func printTable(w io.Writer, all []experiment.Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "experiment\tpolicy\trequests\trefused\ttries\tmean ms\tp95 ms\tgap p95 ms\thits %\tasks\t")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.1f\t%.0f\t%.2f\t\n", r.Scenario, r.Policy, r.Requests, r.Refused,
			r.Attempts, r.FirstTokenMean*1000, r.FirstTokenP95*1000, r.TokenGapP95*1000, r.PrefixHits*100, r.ReserveRequests)
	}
	_ = t.Flush()
}

// writeReport writes the results to dir as results.json and two plots.
func writeReport(dir string, all []experiment.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "results.json"), text, 0o644); err != nil {
		return err
	}
	if err := plotBars(filepath.Join(dir, "first_token_mean.png"), "Mean time to the first token (ms)", all,
		func(r experiment.Result) float64 { return r.FirstTokenMean * 1000 }); err != nil {
		return err
	}
	return plotBars(filepath.Join(dir, "prefix_hits.png"), "Prompts with a cached prefix (%)", all,
		func(r experiment.Result) float64 { return r.PrefixHits * 100 })
}

// plottedScenarios are the scenarios in the plots. The flood scenario is left out
// because its long queueing times, which are intended, would dominate the scale.
var plottedScenarios = []string{"ferrando", "cooperative", "calm", "straggler", "zone"}

// plotBars writes a chart with a group of bars per scenario and a bar per policy.
func plotBars(path, title string, all []experiment.Result, value func(experiment.Result) float64) error {
	const width = 9.0
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	for i, policy := range experiment.Policies() {
		var values plotter.Values
		for _, scenario := range plottedScenarios {
			values = append(values, findValue(all, scenario, policy, value))
		}
		chart, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return err
		}
		chart.Color = palette[i%len(palette)]
		chart.LineStyle.Width = 0
		chart.Offset = vg.Points(width * (float64(i) - float64(len(experiment.Policies())-1)/2))
		p.Add(chart)
		p.Legend.Add(string(policy), chart)
	}
	p.NominalX(plottedScenarios...)
	return p.Save(28*vg.Centimeter, 12*vg.Centimeter, path)
}

// findValue returns the value of the result for a scenario and a policy, or 0
// if there is none.
func findValue(all []experiment.Result, scenario string, policy experiment.Policy, value func(experiment.Result) float64) float64 {
	for _, r := range all {
		if r.Scenario == scenario && r.Policy == policy {
			return value(r)
		}
	}
	return 0
}
