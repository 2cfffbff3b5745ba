// Command platform simulates the platform's services: the key-value service, the
// list of VMs and the weight store.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"

	"google.golang.org/grpc"

	"eelgrassring.dev/internal/standin/platform"
)

func main() {
	store := flag.String("store", "127.0.0.1:9000", "address of the key-value service")
	lists := flag.String("lists", "127.0.0.1:9001", "address of the list of VMs and the weight store")
	rate := flag.Float64("weights", 20, "weight loads per second")
	flag.Parse()
	if err := run(*store, *lists, *rate); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

// run serves the key-value service at store, and the list of VMs and the weight
// store at lists, until a listener fails. The weight store starts rate weight
// loads per second.
func run(store, lists string, rate float64) error {
	keys := platform.NewKeyspace()
	faults := &platform.Faults{}
	go platform.RunLeaseExpiry(context.Background(), keys)
	server := grpc.NewServer()
	platform.Register(server, keys, faults)
	listener, err := net.Listen("tcp", store)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", store, err)
	}
	go func() { _ = server.Serve(listener) }()
	return http.ListenAndServe(lists, platform.Handler(platform.NewVMList(rate), faults))
}
