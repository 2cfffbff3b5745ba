// Command standin-2 plays the cases of this review: it stands for the platform's store, the workers
// and the clients, and starts the nodes.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	cases := map[string]func(s *site, trouble bool) (bool, error){"restarted": playRestarted, "silent": playSilent, "cut": playCut, "revived": playRevived, "taken": playTaken, "quiet": playQuiet, "drill": playDrill}
	switch os.Args[1] {
	case "worker":
		runWorker(os.Args[2:])
		return
	case "member":
		runMember(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	holds, err := play(s, os.Getenv("TROUBLE") != "0")
	verdict, code := "the rule held", 0
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), 2
	case !holds:
		verdict, code = "the rule was broken", 1
	}
	s.note("%s", verdict)
	fmt.Println(verdict)
	s.close()
	os.Exit(code)
}
