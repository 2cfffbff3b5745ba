package main

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/admin"
)

const suspectsHelp = `suspects lists the requests under which backend servers have ended.

A request is refused when two servers have ended before it had events for half a second
(strong), or three in all; it is forgotten a minute after the last one. The digest identifies what
the request asks for and is in the log events 414 and 415. --clear makes this node
forget all of them; the other nodes keep theirs.

Examples:

  eelgrass suspects --node 10.0.0.11:8082
  eelgrass suspects --node 10.0.0.11:8082 --clear`

// suspectsCommand returns the subcommand that lists or clears what a node remembers of
// requests under which backend servers have ended.
func suspectsCommand(o *options) *cobra.Command {
	clears := false
	c := &cobra.Command{
		Use: "suspects", Short: "List the requests under which backend servers have ended", Long: suspectsHelp, Args: cobra.NoArgs,
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
			fmt.Fprintln(table, "DIGEST\tREFUSED\tSTRONG\tFOR\tSERVERS")
			for _, s := range list {
				fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\n", s.Digest, yesNo(s.Refused), s.Strong, time.Duration(s.For), joinNames(s.Servers))
			}
			return table.Flush()
		},
	}
	c.Flags().BoolVar(&clears, "clear", false, "forget the requests on this node")
	return c
}
