package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/catalog"
	"eelgrassring.dev/internal/deployment"
	"eelgrassring.dev/internal/etcd"
	"eelgrassring.dev/internal/inspection"
	"eelgrassring.dev/internal/settings"
	"eelgrassring.dev/internal/strictjson"
	"eelgrassring.dev/platform"
)

const checkHelp = `check validates a configuration before it is sent.

FILE is a declared document or the platform's routing configuration. All errors
are printed at once, and warnings for entries that no call can match and limits
that contradict each other, each with file, line, column and path. --settings
also checks the limits in the settings of a node against the configuration.

--against and --against-store print what the configuration changes for callers,
compared with another file or with the version that is active in a store. The
store of a declared document is the key-value service, that of a routing
configuration the platform's store, whose registry must have enough servers.
Without --against-store check uses no network.

The exit code is 0 if there are no errors, 1 if there are errors, or warnings with
--strict, and 2 if a configuration cannot be read.

Examples:

  eelgrass check deployment.json
  go run ./deployment | eelgrass check -
  eelgrass check routing.json --against active.json --settings n1.json`

// exitUnreadable is the exit code of a check that could not read a configuration.
const exitUnreadable = 2

// unreadableError is the error of a check that could not read a configuration.
type unreadableError struct{ error }

// Unwrap returns the cause.
func (e unreadableError) Unwrap() error { return e.error }

// checkOptions contains the flags of check.
type checkOptions struct {
	against      string
	againstStore string
	settings     string
	strict       bool
}

// checkOutput is the JSON that check prints. Changes is null unless the configuration was
// compared with another one: it is not if either cannot be used.
type checkOutput struct {
	Findings []inspection.Finding `json:"findings"`
	Changes  []inspection.Change  `json:"changes"`
}

// checkedConfiguration is a configuration of either kind that was read. Document and routing are
// nil if it is of the other kind or has errors that keep it from being used.
type checkedConfiguration struct {
	document *deployment.Document
	routing  *ring.Routing
	source   inspection.Source
	findings []inspection.Finding
}

// checkCommand returns the subcommand that validates a configuration file.
func checkCommand(o *options) *cobra.Command {
	var flags checkOptions
	c := &cobra.Command{
		Use: "check FILE", Short: "Validate a configuration", Long: checkHelp, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return check(c, o, flags, args[0]) },
	}
	c.Flags().StringVar(&flags.against, "against", "", "file of the configuration to compare with")
	c.Flags().StringVar(&flags.againstStore, "against-store", "", "address of the store with the configuration to compare with")
	c.Flags().StringVar(&flags.settings, "settings", "", "settings file of a node to check with the configuration")
	c.Flags().BoolVar(&flags.strict, "strict", false, "fail if there are warnings")
	c.MarkFlagsMutuallyExclusive("against", "against-store")
	return c
}

// check checks the configuration at path and prints its findings and changes. What was found is
// printed also if something that it is to be compared with cannot be read.
func check(c *cobra.Command, o *options, flags checkOptions, path string) error {
	text, err := readInput(c, path)
	if err != nil {
		return unreadableError{err}
	}
	checked := checkText(path, text)
	settingsErr := checked.addSettings(flags)
	registryErr := checked.addRegistry(c, flags, path)
	var changes []inspection.Change
	var changesErr error
	if flags.against != "" || flags.againstStore != "" {
		changes, changesErr = checked.compare(c, flags, path)
	}
	inspection.Sort(checked.findings)
	out := checkOutput{Findings: append([]inspection.Finding{}, checked.findings...), Changes: changes}
	if err := o.print(c.OutOrStdout(), out, func(w io.Writer) { printCheck(w, c.ErrOrStderr(), checked, out) }); err != nil {
		return err
	}
	if err := cmp.Or(settingsErr, registryErr, changesErr); err != nil {
		return unreadableError{err}
	}
	failures, warnings := inspection.Count(out.Findings, inspection.SeverityError), inspection.Count(out.Findings, inspection.SeverityWarning)
	if failures > 0 || (flags.strict && warnings > 0) {
		return notValid(out.Findings)
	}
	return nil
}

// notValid returns the error of a check that failed because of its findings. It names each file
// with errors, or with warnings if there are no errors.
func notValid(findings []inspection.Finding) error {
	byFile := map[string][]inspection.Finding{}
	for _, f := range findings {
		byFile[f.File] = append(byFile[f.File], f)
	}
	isAnyError := inspection.Count(findings, inspection.SeverityError) > 0
	var parts []string
	for _, file := range slices.Sorted(maps.Keys(byFile)) {
		failures, warnings := inspection.Count(byFile[file], inspection.SeverityError), inspection.Count(byFile[file], inspection.SeverityWarning)
		if failures > 0 || !isAnyError {
			parts = append(parts, fmt.Sprintf("%s is not valid: %d errors, %d warnings", file, failures, warnings))
		}
	}
	return errors.New(strings.Join(parts, "; "))
}

// checkText checks the text of a configuration of either kind.
func checkText(path string, text []byte) checkedConfiguration {
	if !platform.IsRoutingFile(text) {
		document, findings := inspection.ParseDocument(path, text)
		out := checkedConfiguration{findings: findings}
		if inspection.Count(findings, inspection.SeverityError) == 0 {
			out.document = &document
		}
		return out
	}
	file, doubts, err := platform.ParseRoutingFile(text)
	out := checkedConfiguration{findings: inspection.FromFaults(inspection.SeverityWarning, path, doubts)}
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		out.findings = append(out.findings, inspection.FromFaults(inspection.SeverityError, path, faults)...)
	}
	if file != nil {
		out.routing, out.source = file.Routing(), file
		found := inspection.Routing(out.routing, file.MinHead())
		inspection.Locate(found, path, file)
		out.findings = append(out.findings, found...)
	}
	return out
}

// addRegistry adds the findings that follow from the registry in the platform's store, if the
// configuration is a routing configuration that is compared with that store.
func (k *checkedConfiguration) addRegistry(c *cobra.Command, flags checkOptions, path string) error {
	if flags.againstStore == "" || k.routing == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
	defer cancel()
	directory := platform.Directory{}
	entries, _, err := newPlatformStore(flags.againstStore).List(ctx, directory.ServerPrefix())
	if err != nil {
		return err
	}
	servers := map[ring.Service]int{}
	for _, e := range entries {
		// An entry that cannot be read names no server.
		if s, err := directory.ReadServer(e.Key, e.Value); err == nil && !s.Leaving {
			servers[s.Service]++
		}
	}
	found := inspection.Registered(k.routing, servers)
	inspection.Locate(found, path, k.source)
	k.findings = append(k.findings, found...)
	return nil
}

// newPlatformStore returns a client of the platform's store.
func newPlatformStore(address string) *platform.Store {
	return platform.NewStore(platform.StoreConfig{Address: address, Timeout: callTimeout})
}

// addSettings adds the findings in the settings of a node, if the flags name some.
func (k *checkedConfiguration) addSettings(flags checkOptions) error {
	if flags.settings == "" {
		return nil
	}
	text, err := os.ReadFile(flags.settings)
	if err != nil {
		return err
	}
	s, err := settings.Parse(text)
	var faults strictjson.Faults
	if errors.As(err, &faults) {
		k.findings = append(k.findings, inspection.FromFaults(inspection.SeverityError, flags.settings, faults)...)
		return nil
	}
	if err != nil {
		return err
	}
	source, err := inspection.NewTextSource(text)
	if err != nil {
		return err
	}
	var found []inspection.Finding
	switch {
	case k.routing != nil:
		found = inspection.RoutedNode(s, k.routing)
	case k.document != nil:
		found = inspection.DeclaredNode(s, *k.document)
	}
	inspection.Locate(found, flags.settings, source)
	k.findings = append(k.findings, found...)
	return nil
}

// compare returns what the configuration changes for callers of the one to compare with, and
// adds a finding if nodes would not take it over. It returns nil if the configuration cannot be used.
func (k *checkedConfiguration) compare(c *cobra.Command, flags checkOptions, path string) ([]inspection.Change, error) {
	out := []inspection.Change{}
	switch {
	case k.document != nil:
		before, err := readActiveDocument(c, flags)
		if err != nil {
			return nil, err
		}
		return append(out, inspection.DocumentChanges(before, *k.document)...), nil
	case k.routing != nil:
		before, err := readActiveRouting(c, flags)
		if err != nil {
			return nil, err
		}
		out = append(out, inspection.RoutingChanges(before, k.routing)...)
		if len(out) > 0 {
			found := inspection.Outdated(before, k.routing)
			inspection.Locate(found, path, k.source)
			k.findings = append(k.findings, found...)
		}
		return out, nil
	}
	return nil, nil
}

// readActiveDocument reads the declared document to compare with. It is empty if the store has
// none.
func readActiveDocument(c *cobra.Command, flags checkOptions) (deployment.Document, error) {
	var text []byte
	var err error
	if flags.against != "" {
		text, err = os.ReadFile(flags.against)
	} else {
		err = withStore(c, &options{store: flags.againstStore}, func(ctx context.Context, s *etcd.Client) error {
			active, _, err := catalog.ReadAccepted(ctx, s)
			text = []byte(active.Document)
			return err
		})
	}
	if err != nil || len(text) == 0 {
		return deployment.Document{}, err
	}
	active, err := deployment.Parse(text)
	if err != nil {
		return deployment.Document{}, fmt.Errorf("the configuration to compare with is no valid document: %w", err)
	}
	return active.Document(), nil
}

// readActiveRouting reads the routing configuration to compare with. It is empty if the store has
// none.
func readActiveRouting(c *cobra.Command, flags checkOptions) (*ring.Routing, error) {
	var text []byte
	var err error
	if flags.against != "" {
		text, err = os.ReadFile(flags.against)
		if err == nil && !platform.IsRoutingFile(text) {
			err = fmt.Errorf("%s is no routing configuration", flags.against)
		}
	} else {
		ctx, cancel := context.WithTimeout(c.Context(), callTimeout)
		defer cancel()
		var entry ring.Entry
		entry, _, err = newPlatformStore(flags.againstStore).Get(ctx, platform.Directory{}.RoutingKey())
		text = entry.Value
	}
	if err != nil {
		return nil, err
	}
	if len(text) == 0 {
		return &ring.Routing{}, nil
	}
	return platform.Directory{}.ReadRouting(text)
}

// printCheck writes the findings to stderr, and the summary of a valid configuration and the
// changes to w.
func printCheck(w, stderr io.Writer, checked checkedConfiguration, out checkOutput) {
	for _, f := range out.Findings {
		fmt.Fprintln(stderr, f)
	}
	if inspection.Count(out.Findings, inspection.SeverityError) == 0 {
		fmt.Fprintln(w, summary(checked))
	}
	if out.Changes == nil {
		return
	}
	fmt.Fprintf(w, "# %d changes\n", len(out.Changes))
	for _, change := range out.Changes {
		fmt.Fprintln(w, change)
	}
}

// summary returns one line on a valid configuration.
func summary(checked checkedConfiguration) string {
	if r := checked.routing; r != nil {
		return fmt.Sprintf("version %d is valid: %d routes, %d services, %d workspaces", r.Number, len(r.Routes), len(r.Services), len(r.KeyHolders))
	}
	d := checked.document
	return fmt.Sprintf("%s is valid: %d VMs, %d groups, %d workspaces, %d services",
		d.Name, len(d.VMs), len(d.Groups), len(d.Workspaces), len(d.Services))
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
