// Command relay forwards TCP connections, for tests that interrupt a link between
// processes. POST /cut stops all bytes on open and new connections without
// closing them; POST /heal forwards bytes again.
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
	target := flag.String("target", "127.0.0.1:9301", "address to forward connections to")
	control := flag.String("control", "127.0.0.1:9401", "address of the control interface")
	flag.Parse()
	r := &relay{target: *target, gate: make(chan struct{})}
	r.unblock()
	http.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.block() })
	http.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { r.unblock() })
	go func() { exit(http.ListenAndServe(*control, nil)) }()
	exit(r.serve(*listen))
}

// exit prints the error of a server and ends the process.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "relay:", err)
	os.Exit(1)
}

// relay forwards connections to target. It copies bytes while the gate channel
// is closed. While the relay is blocked, the gate is open and copying waits.
type relay struct {
	target string

	mu      sync.Mutex
	gate    chan struct{}
	blocked bool
}

// block stops all bytes on open and new connections.
func (r *relay) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.blocked {
		r.blocked = true
		r.gate = make(chan struct{})
	}
}

// unblock lets bytes pass again.
func (r *relay) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = false
	select {
	case <-r.gate:
	default:
		close(r.gate)
	}
}

// currentGate returns the channel that is closed when bytes may pass.
func (r *relay) currentGate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate
}

// serve forwards each connection that it accepts at the address, and returns
// when accepting fails.
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

// forward connects to the target and copies bytes in both directions until one
// side closes.
func (r *relay) forward(in net.Conn) {
	defer in.Close()
	<-r.currentGate()
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

// copyGated copies bytes until either end closes. While the relay is blocked it
// keeps the connections open and copies nothing.
func (r *relay) copyGated(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		<-r.currentGate()
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
