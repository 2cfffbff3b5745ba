package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/etcd"
)

const diffHelp = `diff shows what an apply would change in the active configuration.

It prints the base to pass to apply. A configuration with an older base would
undo the changes made since; diff shows them, and apply refuses it.

Examples:

  eelgrass diff deployment.json
  eelgrass diff deployment.json -o json`

// diffOutput is the JSON that diff prints. Base is the number of the active
// configuration, with which the file was compared.
type diffOutput struct {
	Base    int64    `json:"base"`
	Changes []string `json:"changes"`
}

// diffCommand returns the subcommand that compares a configuration file with
// the active configuration.
func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what an apply would change", Long: diffHelp, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, next, err := readConfiguration(c, args[0])
			if err != nil {
				return err
			}
			return withStore(c, o, func(ctx context.Context, s *etcd.Client) error {
				return printDiff(ctx, c, o, s, next)
			})
		},
	}
}

// printDiff reads the active configuration from the store and prints what next
// would change in it.
func printDiff(ctx context.Context, c *cobra.Command, o *options, s *etcd.Client, next *deployment.Configuration) error {
	current, _, err := catalog.ReadAccepted(ctx, s)
	if err != nil {
		return err
	}
	var before deployment.Document
	if current.Number > 0 {
		parsed, err := deployment.Parse([]byte(current.Document))
		if err != nil {
			return fmt.Errorf("active configuration %d: %w", current.Number, err)
		}
		before = parsed.Document()
	}
	out := diffOutput{Base: current.Number, Changes: []string{}}
	for _, d := range deployment.Diff(before, next.Document()) {
		out.Changes = append(out.Changes, d.String())
	}
	return o.print(c.OutOrStdout(), out, func(w io.Writer) {
		fmt.Fprintf(w, "# base %d, %d changes\n", out.Base, len(out.Changes))
		for _, line := range out.Changes {
			fmt.Fprintln(w, line)
		}
	})
}
