// Command eelgrassd runs one node: it serves callers and, while it is the
// controller, assigns backend servers to groups or replicas.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/settings"
)

// version is set at build time.
var version = "dev"

const longHelp = `eelgrassd serves models that span several VMs.

It needs only a settings file, in JSON with comments; the configuration comes
from the platform's key-value service. SIGTERM starts a graceful shutdown:
readiness fails first, and requests in flight are completed.

Examples:

  # Run a node.
  eelgrassd --settings n1.json

  # Check the settings and exit; all errors are printed with line and column.
  eelgrassd --settings n1.json --check-settings`

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(1)
	}
}

// rootCommand returns the eelgrassd command, which runs a node or only checks
// its settings.
func rootCommand() *cobra.Command {
	var path string
	var checkOnly bool
	c := &cobra.Command{
		Use: "eelgrassd", Short: "Serve models that span several VMs", Long: longHelp,
		Version: version, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Read(path)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintf(c.OutOrStdout(), "settings %s are valid\n", path)
				return nil
			}
			if s.Adapter == settings.AdapterPlatform {
				return runRouted(s, path)
			}
			return runDeclared(s, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file (JSON with comments)")
	c.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	_ = c.MarkFlagRequired("settings")
	return c
}
