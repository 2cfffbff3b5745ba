// Command bench measures the routing policies in virtual time, and a running
// deployment through its public API.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const rootHelp = `bench measures the routing policies and a running deployment.

Examples:

  # All experiments and policies in virtual time: a table, a JSON file and plots.
  bench decide --out report

  # Send 40 requests per second to the nodes started by "make up"; check every response.
  bench load --nodes 127.0.0.1:8081,127.0.0.1:8082 --rate 40 --span 20s`

func main() {
	c := &cobra.Command{Use: "bench", Short: "Measure eelgrassring", Long: rootHelp, SilenceUsage: true}
	c.AddCommand(decideCommand(), loadCommand())
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
