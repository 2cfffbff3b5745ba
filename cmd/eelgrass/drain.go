package main

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

const drainHelp = `drain starts the graceful shutdown of a node.

The node first fails its readiness check, but accepts requests for the time that
the load balancer takes to notice (the setting "lag"). It then completes the
requests in flight and stops.

Example:

  eelgrass drain --node 10.0.0.11:8082`

// drainCommand returns the subcommand that asks a node to shut down gracefully.
func drainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "drain", Short: "Stop a node gracefully", Long: drainHelp, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := sendAdmin(c.Context(), http.MethodPost, o.node, "/drain", http.StatusAccepted); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "node %s is draining\n", o.node)
			return nil
		},
	}
}
