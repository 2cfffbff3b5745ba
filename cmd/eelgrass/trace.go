package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/story"
)

const traceHelp = `trace tells what became of one request, from the logs of all nodes.

It prints the request's own lines and those of the controller about the replica
or the backend server that it was sent to, in order of time, and the cause last.
Logs are read from files, or from standard input when none is named. A request's
identity is in its answer, and in the caller's log.

Examples:

  eelgrass trace 9c41d07be2a35f68 n1.log n2.log n3.log
  journalctl -u eelgrassd -o cat | eelgrass trace 9c41d07be2a35f68`

func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace ID [LOG...]", Short: "Tell what became of one request", Long: traceHelp, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log := &story.Log{}
			if err := readLogs(log, c.InOrStdin(), args[1:]); err != nil {
				return err
			}
			if !log.Print(c.OutOrStdout(), args[0]) {
				return fmt.Errorf("no line names request %s", args[0])
			}
			return nil
		},
	}
}

func readLogs(log *story.Log, in io.Reader, paths []string) error {
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
