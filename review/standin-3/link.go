package main

import (
	"net"
	"sync"
)

// link forwards the connections of the nodes to the store. Open connections can go silent for
// good, without a reset, while new ones work.
type link struct {
	address, target string

	mu    sync.Mutex
	conns map[*forwarded]bool
}

// forwarded is a connection with its two sides.
type forwarded struct {
	mu       sync.Mutex
	isSilent bool
}

func startLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &link{address: l.Addr().String(), target: target, conns: map[*forwarded]bool{}}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go out.forward(from)
		}
	}()
	return out, nil
}

func (l *link) forward(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		from.Close()
		return
	}
	f := &forwarded{}
	l.mu.Lock()
	l.conns[f] = true
	l.mu.Unlock()
	go f.copy(from, to)
	f.copy(to, from)
	l.mu.Lock()
	delete(l.conns, f)
	l.mu.Unlock()
}

// copy passes bytes and the end on, unless the connection is silent.
func (f *forwarded) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		isSilent := f.isSilent
		f.mu.Unlock()
		if !isSilent && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !isSilent {
				to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent and returns how many there are.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.conns {
		f.mu.Lock()
		f.isSilent = true
		f.mu.Unlock()
	}
	return len(l.conns)
}
