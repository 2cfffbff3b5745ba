package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/trace"
)

const traceHelp = `trace shows how one request was served, from the logs of all nodes.

It prints the log lines of the request and those of the controller about the
replica or the backend server that it was sent to, in order of time, and then
the cause of its outcome. Logs are read from files, or from standard input if
no file is given. The request ID is in the response, and in the caller's log.

Examples:

  eelgrass trace 9c41d07be2a35f68 n1.log n2.log n3.log
  journalctl -u eelgrassd -o cat | eelgrass trace 9c41d07be2a35f68`

// traceCommand returns the subcommand that extracts the log lines about one
// request.
func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace ID [LOG...]", Short: "Show how one request was served", Long: traceHelp, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log := &trace.Log{}
			if err := readLogs(log, c.InOrStdin(), args[1:]); err != nil {
				return err
			}
			if !log.PrintRequest(c.OutOrStdout(), args[0]) {
				return fmt.Errorf("no log line contains request %s", args[0])
			}
			return nil
		},
	}
}

// readLogs adds the lines of the files to log, or those of in if there are no
// paths.
func readLogs(log *trace.Log, in io.Reader, paths []string) error {
	if len(paths) == 0 {
		return log.Read(in)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}
