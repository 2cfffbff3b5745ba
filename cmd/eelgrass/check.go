package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/strictjson"
)

const checkHelp = `check validates a configuration without network access.

All errors are printed at once, each with line, column and path.

Examples:

  eelgrass check deployment.json
  go run ./deployment | eelgrass check -`

// checkCommand returns the subcommand that validates a configuration file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Validate a configuration", Long: checkHelp, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, parsed, err := readConfiguration(c, args[0])
			if err != nil {
				return err
			}
			d := parsed.Document()
			fmt.Fprintf(c.OutOrStdout(), "%s is valid: %d VMs, %d groups, %d workspaces, %d services\n",
				d.Name, len(d.VMs), len(d.Groups), len(d.Workspaces), len(d.Services))
			return nil
		},
	}
}

// readConfiguration reads and validates a configuration from a file, or from
// standard input if the path is "-". It returns the text and the parsed form.
func readConfiguration(c *cobra.Command, path string) ([]byte, *deployment.Configuration, error) {
	text, err := readInput(c, path)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := deployment.Parse(text)
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		return nil, nil, fmt.Errorf("%s is not valid; nothing was applied:\n%w", path, faults)
	}
	return text, parsed, err
}

// readInput returns the content of a file, or of standard input if the path is
// "-".
func readInput(c *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(c.InOrStdin())
	}
	return os.ReadFile(path)
}
