package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/etcd"
)

const historyHelp = `history lists the latest applies with their operators and changes.

Examples:

  eelgrass history
  eelgrass history --changes
  eelgrass history -o json`

// historyCommand returns the subcommand that lists the latest applies from the
// store.
func historyCommand(o *options) *cobra.Command {
	var withChanges bool
	c := &cobra.Command{
		Use: "history", Short: "List the latest applies", Long: historyHelp, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withStore(c, o, func(ctx context.Context, s *etcd.Client) error {
				entries, err := catalog.History(ctx, s)
				if err != nil {
					return err
				}
				return o.print(c.OutOrStdout(), entries, func(w io.Writer) { printHistory(w, entries, withChanges) })
			})
		},
	}
	c.Flags().BoolVar(&withChanges, "changes", false, "list the changes of each apply")
	return c
}

// printHistory writes a table of applies; withChanges adds the changes of each.
func printHistory(w io.Writer, entries []catalog.HistoryEntry, withChanges bool) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NUMBER\tAT\tOPERATOR\tCHANGES")
	for _, e := range entries {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\n", e.Number, e.AppliedAt.Format(time.RFC3339), e.Operator, len(e.Changes))
		if !withChanges {
			continue
		}
		for _, line := range e.Changes {
			fmt.Fprintf(t, "\t%s\n", line)
		}
	}
	_ = t.Flush()
}
