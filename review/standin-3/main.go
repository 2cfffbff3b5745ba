// Command standin-3 holds the stand-ins of the third review and runs its scripted cases. It
// follows the users' pages: the platform's store and the operator, workers as processes of
// their own that a case may kill, and clients. The nodes are the project's own program.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 worker|NAME-OF-CASE ...")
		os.Exit(2)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	set := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	node := set.String("node", "target/eelgrassd", "program of a node")
	out := set.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := set.Bool("trouble", true, "cause the disruption")
	_ = set.Parse(os.Args[2:])
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], c, *node, *out, *trouble))
}
