package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/admin"
)

const statusHelp = `status shows groups, VMs and nodes as one node sees them.

The column CONFIG shows the active configuration of each node. An accepted
configuration is active everywhere once all live nodes show its number.

Examples:

  eelgrass status
  eelgrass status --vms
  eelgrass status -o json --node 10.0.0.11:8082`

// statusCommand returns the subcommand that shows a node's view of the
// deployment.
func statusCommand(o *options) *cobra.Command {
	var withVMs bool
	c := &cobra.Command{
		Use: "status", Short: "Show groups, VMs and nodes", Long: statusHelp, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s admin.Status
			if err := fetchJSON(c.Context(), o.node, "/status", &s); err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), s, func(w io.Writer) { printStatus(w, s, withVMs) })
		},
	}
	c.Flags().BoolVar(&withVMs, "vms", false, "list the VMs too")
	return c
}

// printStatus writes tables of the nodes, the groups and the evacuated zones, if any; withVMs
// adds one of the VMs.
func printStatus(w io.Writer, s admin.Status, withVMs bool) {
	fmt.Fprintf(w, "seen by %s, store %s\n\n", s.Node, map[bool]string{true: "up", false: "down"}[s.StoreConnected])
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tZONE\tCALLERS\tCONFIG\tLIVE\tDRAINING\tAGE")
	for _, n := range s.Nodes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", n.Name, n.Zone, n.CallerAddress, n.ConfigNumber, yesNo(n.Live), yesNo(n.Draining), time.Duration(n.Age))
	}
	fmt.Fprintln(t, "\nGROUP\tPHASE\tEPOCH\tSERVING\tLOAD\tMEMBERS\tREASON")
	for _, g := range s.Groups {
		reason := string(g.Reason)
		if g.ReasonVM != "" {
			reason += ": " + string(g.ReasonVM)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%g\t%s\t%s\n", g.Name, g.Phase, g.Epoch, yesNo(g.Serving), g.Load, joinNames(g.Members), reason)
	}
	if len(s.Cold) > 0 {
		fmt.Fprintln(t, "\nCOLD\tSERVICE\tZONE\tFOR\tPER SECOND")
	}
	for _, c := range s.Cold {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%g\n", c.VM, c.Service, c.Zone, time.Duration(c.For), c.PerSecond)
	}
	if len(s.Evacuations) > 0 {
		fmt.Fprintln(t, "\nEVACUATED ZONE\tSERVERS\tREPLICAS\tBUSY\tREQUESTS")
	}
	for _, z := range s.Evacuations {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", z.Zone, z.Servers, z.Replicas, z.Busy, z.Requests)
	}
	if withVMs {
		fmt.Fprintln(t, "\nVM\tZONE\tDOMAIN\tPHASE\tGROUP\tEPOCH\tHEARD\tLEAVING")
		for _, v := range s.VMs {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.Name, v.Zone, v.Domain, v.Phase, v.Group, v.Epoch, yesNo(v.HasRecentReport), yesNo(v.Leaving))
		}
	}
	_ = t.Flush()
}
