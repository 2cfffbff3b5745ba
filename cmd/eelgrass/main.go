// Command eelgrass is the command-line tool of the operators. It applies
// configurations and shows the state of a deployment.
package main

import (
	"fmt"
	"os"
)

// version is set at build time.
var version = "dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrass:", err)
		os.Exit(1)
	}
}
