package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address until it is told to make the open ones silent: their
// bytes go nowhere from then on, and they stay open. New ones work.
type proxy struct {
	to string
	mu sync.Mutex
	// silenced is replaced by silence; a connection belongs to the one at its start.
	silenced chan struct{}
	open     int
}

func newProxy(l net.Listener, to string) *proxy {
	p := &proxy{to: to, silenced: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
	n := p.open
	p.open = 0
	return n
}

func (p *proxy) pass(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		in.Close()
		return
	}
	p.mu.Lock()
	silenced := p.silenced
	p.open++
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-silenced:
				_, _ = io.Copy(io.Discard, from) // Until the other side gives up.
				ended <- struct{}{}
				return
			default:
			}
			if n > 0 {
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go forward(in, out)
	go forward(out, in)
	select {
	case <-ended:
		p.mu.Lock()
		if silenced == p.silenced {
			p.open--
		}
		p.mu.Unlock()
	case <-silenced:
		<-ended
	}
	in.Close()
	out.Close()
}
