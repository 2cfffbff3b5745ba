// Command eelgrassd is one node: it serves callers and, while it holds the
// controller's lease, forms the groups.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/settings"
)

// version is set at build time.
var version = "dev"

const longHelp = `eelgrassd serves callers from the groups of VMs that operators declare.

It needs only its settings, a file of JSON with comments; the configuration
comes from the platform's key-value service. SIGTERM starts a graceful
shutdown: readiness fails first, requests in flight end whole.

Examples:

  # Run a node.
  eelgrassd --settings n1.json

  # Check the settings and stop; all faults are printed with line and column.
  eelgrassd --settings n1.json --check-settings`

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
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
			return runDeclared(s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file of settings (JSON with comments)")
	c.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and stop")
	_ = c.MarkFlagRequired("settings")
	return c
}
