package main

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/gateway"
)

const explainHelp = `explain shows whether a node would now start, queue or refuse a request, and why.

A request is given by its workspace, application and model or, where routes are
declared, by its host, its path and the model, if any.

Examples:

  eelgrass explain --workspace minas --application reports --model drafting
  eelgrass explain --workspace minas --application reports --model drafting:assay -o json
  eelgrass explain --host desk.example --path /drafts/ --model drafting`

// explainCommand returns the subcommand that asks a node how it would route a
// request.
func explainCommand(o *options) *cobra.Command {
	var workspace, application, model, host, path string
	c := &cobra.Command{
		Use: "explain", Short: "Show why a request would start, wait or be refused", Long: explainHelp, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q := url.Values{"workspace": {workspace}, "application": {application}, "model": {model}, "host": {host}, "path": {path}}
			var e gateway.Explanation
			if err := fetchJSON(c.Context(), o.node, "/explain?"+q.Encode(), &e); err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), e, func(w io.Writer) { printExplanation(w, e) })
		},
	}
	c.Flags().StringVar(&workspace, "workspace", "", "workspace of the caller")
	c.Flags().StringVar(&application, "application", "", "application of the caller")
	c.Flags().StringVar(&model, "model", "", "model name in the request")
	c.Flags().StringVar(&host, "host", "", "host of a declared route")
	c.Flags().StringVar(&path, "path", "/", "path of the request")
	c.MarkFlagsOneRequired("workspace", "host")
	c.MarkFlagsMutuallyExclusive("workspace", "host")
	c.MarkFlagsRequiredTogether("workspace", "application")
	return c
}

// printExplanation writes what the node would do with the request, and a table
// of the groups that it considered.
func printExplanation(w io.Writer, e gateway.Explanation) {
	fmt.Fprintf(w, "%s: %s\n", e.Outcome, e.Reason)
	if e.Code != 0 {
		fmt.Fprintf(w, "code %d, see docs/ERRORS.md\n", e.Code)
	}
	if len(e.Groups) == 0 {
		return
	}
	if e.Limit > 0 {
		fmt.Fprintf(w, "workspace runs %d requests on this node; limits: %d on this node, %d on all nodes\n", e.Running, e.Share, e.Limit)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "GROUP\tSERVES MODEL\tLOAD\tSLOTS\tREASON")
	for _, g := range e.Groups {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%s %s\n", g.Group, yesNo(g.Serves), g.Load, g.Slots, g.Reason, g.VM)
	}
	_ = t.Flush()
}
