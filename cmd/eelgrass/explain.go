package main

import (
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/gateway"
)

const explainHelp = `explain tells what would become of a request at a node now, and why.

A request is named by its workspace, application and model, or, where routes are
declared, by its host and path, and the model if it names one.

Examples:

  eelgrass explain --workspace minas --application reports --model drafting
  eelgrass explain --workspace minas --application reports --model drafting:assay -o json
  eelgrass explain --host desk.example --path /drafts/ --model drafting`

func explainCommand(o *options) *cobra.Command {
	var workspace, application, model, host, path string
	c := &cobra.Command{
		Use: "explain", Short: "Tell why a request would start, wait or be refused", Long: explainHelp, Args: cobra.NoArgs,
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
	c.Flags().StringVar(&model, "model", "", "model as the caller names it")
	c.Flags().StringVar(&host, "host", "", "host of a declared route")
	c.Flags().StringVar(&path, "path", "/", "path of the request on that host")
	c.MarkFlagsOneRequired("workspace", "host")
	c.MarkFlagsMutuallyExclusive("workspace", "host")
	c.MarkFlagsRequiredTogether("workspace", "application")
	return c
}

func printExplanation(w io.Writer, e gateway.Explanation) {
	fmt.Fprintf(w, "%s: %s\n", e.Outcome, e.Reason)
	if e.Code != 0 {
		fmt.Fprintf(w, "code %d, see docs/ERRORS.md\n", e.Code)
	}
	if len(e.Groups) == 0 {
		return
	}
	if e.Limit > 0 {
		fmt.Fprintf(w, "workspace runs %d here, may run %d here and %d in all\n", e.Running, e.Share, e.Limit)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "GROUP\tSERVES MODEL\tLOAD\tSLOTS\tREASON AGAINST")
	for _, g := range e.Groups {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%s %s\n", g.Group, yesNo(g.Serves), g.Load, g.Slots, g.Reason, g.VM)
	}
	_ = t.Flush()
}
