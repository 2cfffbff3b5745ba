// Command backend simulates one backend server, either a model engine or a
// service without models.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	ring "eelgrassring.dev"
	"eelgrassring.dev/internal/standin/engine"
	"eelgrassring.dev/internal/standin/platform"
	"eelgrassring.dev/internal/standin/service"
)

func main() {
	address := flag.String("address", "127.0.0.1:9100", "address to listen on")
	kind := flag.String("kind", "engine", "engine or service")
	vm := flag.String("vm", "", "name of the VM")
	checkFencing := flag.Bool("fencing", true, "reject orders with an outdated epoch")
	load := flag.Duration("load", 800*time.Millisecond, "time to load weights")
	first := flag.Duration("first", 80*time.Millisecond, "time to the first token")
	gap := flag.Duration("gap", 15*time.Millisecond, "time between tokens")
	weights := flag.String("weights", "", "address of the weight store")
	flag.Parse()
	if *kind == "service" {
		exit(http.ListenAndServe(*address, service.New().Handler()))
	}
	s := engine.New(engine.Config{
		VM: ring.VM(*vm), Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), CheckFencing: *checkFencing,
		LoadTime: *load, FirstToken: *first, TokenGap: *gap, ReserveLoad: newLoadReserver(*weights),
	})
	go s.WatchMembers(context.Background())
	exit(http.ListenAndServe(*address, s.Handler()))
}

// exit prints the error of the HTTP server and ends the process.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "backend:", err)
	os.Exit(1)
}

// newLoadReserver returns a function that reserves a weight load at the weight
// store and returns how long the load must wait, or 0 if the weight store does
// not respond. It returns nil if the address is empty.
func newLoadReserver(address string) func() time.Duration {
	if address == "" {
		return nil
	}
	return func() time.Duration {
		resp, err := http.Post("http://"+address+"/weights", "application/json", nil)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		var r platform.LoadReservation
		if json.NewDecoder(resp.Body).Decode(&r) != nil {
			return 0
		}
		return time.Duration(r.WaitMilliseconds) * time.Millisecond
	}
}
