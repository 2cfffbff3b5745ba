// Command relay passes TCP connections on, for tests that cut a link between
// real processes. POST /cut makes all connections silent, open ones and new
// ones, without closing them; POST /heal lets bytes pass again.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9101", "address to listen on")
	target := flag.String("target", "127.0.0.1:9301", "address to pass connections to")
	control := flag.String("control", "127.0.0.1:9401", "address of the control interface")
	flag.Parse()
	r := &relay{target: *target, currentGate: make(chan struct{})}
	r.heal()
	http.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.cut() })
	http.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { r.heal() })
	go func() { exit(http.ListenAndServe(*control, nil)) }()
	exit(r.serve(*listen))
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "relay:", err)
	os.Exit(1)
}

// relay copies bytes while open is closed, and holds them while it is not.
type relay struct {
	target string

	mu          sync.Mutex
	currentGate chan struct{}
	isCut       bool
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCut {
		r.isCut = true
		r.currentGate = make(chan struct{})
	}
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
	select {
	case <-r.currentGate:
	default:
		close(r.currentGate)
	}
}

func (r *relay) gate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentGate
}

func (r *relay) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	<-r.gate()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		r.copyGated(out, in)
		out.Close()
	}()
	r.copyGated(in, out)
}

// copyGated passes bytes until either end closes; while the link is cut it keeps
// the connections open and passes nothing.
func (r *relay) copyGated(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		<-r.gate()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
