package gateway

import (
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the time to connect to a backend server.
	dialTimeout = 500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive so that a
	// connection whose path is gone is closed within about five seconds. The kernel
	// closes it at the first probe that finds the peer silent for unackedTimeout. Since
	// the peer's last sign of life may be probeIdle old when its silence begins, a
	// silence of unackedTimeout - probeIdle is always tolerated.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	unackedTimeout = 3500 * time.Millisecond
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 0x12
)

// newDialer returns a dialer whose connections are closed soon after a device on their
// path, such as a firewall or load balancer, has lost its state of them.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket to unackedTimeout. It is the
// Control function of a net.Dialer.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
