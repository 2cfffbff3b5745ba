// Command eelgrass is the operators' tool.
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
