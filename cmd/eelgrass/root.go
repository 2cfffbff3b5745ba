package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/etcd"
)

// options contains the flags that all subcommands share: the address of the
// store, the admin address of a node, and the output format.
type options struct {
	store  string
	node   string
	output string
}

const rootHelp = `eelgrass checks, compares and applies configurations, and shows the state.

A configuration is printed by a program that uses the declare library. It is
reviewed and kept in version control like any other code, then applied:

  go run ./deployment > deployment.json
  eelgrass check deployment.json
  eelgrass diff deployment.json --store 10.0.0.5:2379
  eelgrass apply deployment.json --base 7 --store 10.0.0.5:2379

The exit code is 0 on success, 1 on failure, 2 if an apply was refused because
its base is no longer active or a check could not read a configuration, and 3 if
it is unknown whether an apply took effect.`

// rootCommand returns the eelgrass command with all subcommands.
func rootCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "eelgrass", Short: "Operate an eelgrassring deployment", Long: rootHelp,
		Version: version, SilenceUsage: true, SilenceErrors: true,
	}
	c.PersistentFlags().StringVar(&o.store, "store", "127.0.0.1:2379", "address of the platform's key-value service")
	c.PersistentFlags().StringVar(&o.node, "node", "127.0.0.1:8082", "admin address of a node")
	c.PersistentFlags().StringVarP(&o.output, "output", "o", "table", "table or json")
	c.AddCommand(
		checkCommand(o), diffCommand(o), applyCommand(o), historyCommand(o),
		statusCommand(o), explainCommand(o), traceCommand(), drainCommand(o), suspectsCommand(o),
	)
	return c
}

// callTimeout bounds the network calls of a subcommand together, except those of
// drain.
const callTimeout = 20 * time.Second

// withStore calls f with a client of the platform's key-value service and a
// context that ends after callTimeout.
func withStore(c *cobra.Command, o *options, f func(context.Context, *etcd.Client) error) error {
	store, err := etcd.New(etcd.Config{Address: o.store})
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	return f(ctx, store)
}

// print writes value to w as JSON, or calls printTable to write a table,
// depending on --output.
func (o *options) print(w io.Writer, value any, printTable func(io.Writer)) error {
	switch o.output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(value)
	case "table":
		printTable(w)
		return nil
	default:
		return fmt.Errorf("--output must be table or json, not %q", o.output)
	}
}
