package gateway

import (
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = 500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find an idle connection whose
	// path is gone within about five seconds, before a request takes it.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
	// unackedTimeout ends a connection whose sent bytes nobody acknowledges.
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 0x12
)

// newDialer opens connections that notice by themselves when something
// between the two ends has lost track of them.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
