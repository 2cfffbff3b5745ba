// Command relay forwards TCP connections, for tests that interrupt a link between
// processes. POST /cut stops all bytes on open and new connections without
// closing them; POST /mute stops only those from the target. POST /delay/TIME holds
// all bytes back for a duration such as 200ms. POST /heal ends these faults. POST
// /reset closes the open connections with a TCP reset.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9101", "address to listen on")
	target := flag.String("target", "127.0.0.1:9301", "address to forward connections to")
	control := flag.String("control", "127.0.0.1:9401", "address of the control interface")
	flag.Parse()
	r := &relay{target: *target, conns: map[net.Conn]bool{}}
	http.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { r.requests.block(); r.responses.block() })
	http.HandleFunc("POST /mute", func(http.ResponseWriter, *http.Request) { r.responses.block() })
	http.HandleFunc("POST /delay/{time}", func(w http.ResponseWriter, req *http.Request) {
		delay, err := time.ParseDuration(req.PathValue("time"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.requests.setDelay(delay)
		r.responses.setDelay(delay)
	})
	http.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { r.requests.unblock(); r.responses.unblock() })
	http.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { r.reset() })
	go func() { exit(http.ListenAndServe(*control, nil)) }()
	exit(r.serve(*listen))
}

// exit prints the error of a server and ends the process.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "relay:", err)
	os.Exit(1)
}

// relay forwards connections to target. Each direction has its own gate.
type relay struct {
	target    string
	requests  gate
	responses gate

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// gate holds back the bytes of one direction while it is blocked, and delays them
// otherwise. The zero gate lets them pass at once.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate is unblocked; it is nil while bytes may pass.
	opened chan struct{}
	delay  time.Duration
}

// block stops all bytes.
func (g *gate) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// setDelay makes later bytes wait for the delay.
func (g *gate) setDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

// unblock lets bytes pass again without a delay.
func (g *gate) unblock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = 0
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns when bytes that have just been read may pass.
func (g *gate) wait() {
	g.mu.Lock()
	opened, delay := g.opened, g.delay
	g.mu.Unlock()
	time.Sleep(delay)
	if opened != nil {
		<-opened
	}
}

// add remembers open connections for reset.
func (r *relay) add(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// closeAll closes connections and forgets them.
func (r *relay) closeAll(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		c.Close()
	}
}

// reset closes the open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
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
	r.add(in)
	defer r.closeAll(in)
	r.requests.wait()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.add(out)
	defer r.closeAll(out)
	go func() {
		r.requests.copy(out, in)
		r.closeAll(out)
	}()
	r.responses.copy(in, out)
}

// copy copies bytes through the gate until either end closes. While the gate is
// blocked it keeps the connections open and copies nothing.
func (g *gate) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
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
