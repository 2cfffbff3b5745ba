// Command eelgrass is the command-line tool of the operators. It applies
// configurations and shows the state of a deployment.
package main

import (
	"errors"
	"fmt"
	"os"
)

// version is set at build time.
var version = "dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrass:", err)
		if errors.As(err, new(unreadableError)) {
			os.Exit(exitUnreadable)
		}
		os.Exit(1)
	}
}
