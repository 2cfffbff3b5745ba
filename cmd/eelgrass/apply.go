package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/etcd"
)

const applyHelp = `apply activates a configuration if its base is still the active one.

The base is the number that diff printed; 0 is for a deployment that has no
configuration yet. If another operator has applied a configuration since then,
nothing is applied and the changes since the base are shown. If the response of
the key-value service is lost, apply reads whether the write took effect; it
never writes twice.

Examples:

  eelgrass apply deployment.json --base 0
  eelgrass apply deployment.json --base 7 --operator inge`

const (
	// exitConflict is the exit code of an apply whose base (the configuration
	// that it replaces) is no longer active.
	exitConflict = 2
	// exitUnknown is the exit code of an apply whose outcome is unknown.
	exitUnknown = 3
)

// applyCommand returns the subcommand that writes a configuration to the store.
func applyCommand(o *options) *cobra.Command {
	var base int64
	var operator string
	c := &cobra.Command{
		Use: "apply FILE", Short: "Activate a configuration", Long: applyHelp, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, _, err := readConfiguration(c, args[0])
			if err != nil {
				return err
			}
			request := catalog.Request{Document: text, Base: base, Nonce: newNonce(), Operator: operator, At: time.Now().UTC()}
			return withStore(c, o, func(ctx context.Context, s *etcd.Client) error {
				result, err := catalog.Apply(ctx, s, request)
				if err != nil {
					return fmt.Errorf("not accepted: %w", err)
				}
				return printApplyResult(c, o, base, result)
			})
		},
	}
	c.Flags().Int64Var(&base, "base", 0, "number of the configuration that this one is based on")
	c.Flags().StringVar(&operator, "operator", os.Getenv("USER"), "name of the operator in the history")
	return c
}

// newNonce returns a random string that identifies one apply, so that
// catalog.Apply recognizes its own write if the store's response is lost.
func newNonce() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // Read never fails; see crypto/rand.
	return hex.EncodeToString(b[:])
}

// printApplyResult prints the outcome of an apply. It ends the process with
// exitConflict or exitUnknown if the apply was not accepted.
func printApplyResult(c *cobra.Command, o *options, base int64, r catalog.Result) error {
	err := o.print(c.OutOrStdout(), r, func(w io.Writer) {
		switch r.Outcome {
		case catalog.OutcomeAccepted:
			fmt.Fprintf(w, "accepted: configuration %d, %d changes\n", r.Number, len(r.Changes))
		case catalog.OutcomeUnchanged:
			fmt.Fprintf(w, "unchanged: configuration %d is the same\n", r.Number)
		case catalog.OutcomeConflict:
			fmt.Fprintf(w, "not accepted: configuration %d is active, not %d; changed since:\n", r.Number, base)
			for _, line := range r.Changes {
				fmt.Fprintln(w, line)
			}
			fmt.Fprintln(w, "Merge these changes into the program, run diff again and apply with the new base.")
		case catalog.OutcomeUnknown:
			fmt.Fprintln(w, "unknown: the response of the key-value service was lost and the service cannot be read.")
			fmt.Fprintln(w, "Check the history when the service is back; applying again with the same base is safe.")
		}
	})
	if err != nil {
		return err
	}
	switch r.Outcome {
	case catalog.OutcomeConflict:
		os.Exit(exitConflict)
	case catalog.OutcomeUnknown:
		os.Exit(exitUnknown)
	}
	return nil
}
