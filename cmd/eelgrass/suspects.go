package main

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/admin"
)

const suspectsHelp = `suspects lists the requests, and the parts of prompts, under which backend servers have ended.

A request is refused when two servers, which ended before it had events for half a second
(strong), are the only ones that have ended lately, or three in all. A part that several
requests share is refused when servers ended three times under it, strong, or five times in
all, and no response with it was complete. REFUSED names other digests if only requests with all of them
are refused. A refusal ends ten minutes after the last request that it met. The digests are in
the log events 414 to 416. --clear makes this node forget everything, and ends the refusals at
all nodes.

Examples:

  eelgrass suspects --node 10.0.0.11:8082
  eelgrass suspects --node 10.0.0.11:8082 --clear`

// suspectsCommand returns the subcommand that lists or clears what a node remembers of what
// backend servers have ended under.
func suspectsCommand(o *options) *cobra.Command {
	clears := false
	c := &cobra.Command{
		Use: "suspects", Short: "List what backend servers have ended under", Long: suspectsHelp, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if clears {
				if err := sendAdmin(c.Context(), http.MethodDelete, o.node, "/suspects", http.StatusNoContent); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "node %s has forgotten all suspects\n", o.node)
				return nil
			}
			var list []admin.SuspectStatus
			if err := fetchJSON(c.Context(), o.node, "/suspects", &list); err != nil {
				return err
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "DIGEST\tKIND\tREFUSED\tSTRONG\tFOR\tSERVERS")
			for _, s := range list {
				refused := yesNo(s.Refused)
				if len(s.With) > 0 {
					refused = "with " + strings.Join(s.With, ",")
				}
				fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\t%s\n", s.Digest, s.Kind, refused, s.Strong, time.Duration(s.For), joinNames(s.Servers))
			}
			return table.Flush()
		},
	}
	c.Flags().BoolVar(&clears, "clear", false, "forget all suspects, and end the refusals at all nodes")
	return c
}
