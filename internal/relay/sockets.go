package relay

import (
	"net"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

var legKeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

// setLegTimeout makes a connection between two hosts survive some seconds of silence.
func setLegTimeout(c *net.TCPConn) error {
	if err := c.SetKeepAliveConfig(legKeepAlive); err != nil {
		return trace.Wrap(err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	return setUserTimeout("", "", raw)
}

// setUserTimeout limits how long sent bytes may stay unacknowledged. The option also ends keep-alive probing.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(legTimeout.Milliseconds()))
	})
}

// stateCloseWait is the state of a TCP connection whose peer has closed its side.
const stateCloseWait = 8

// hasClosed reports whether the peer of a connection has closed its side. The end of its bytes alone does not show that:
// a reset is reported once only, and if a write got the error, reads see an orderly end.
func hasClosed(c net.Conn) bool {
	var info *unix.TCPInfo
	err := withSocket(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return err == nil && info.State == stateCloseWait
}

// unacknowledged returns the number of written bytes that the peer of a connection has not acknowledged; zero if the
// connection has ended.
func unacknowledged(c net.Conn) int {
	n := 0
	if err := withSocket(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	}); err != nil {
		return 0
	}
	return n
}

func withSocket(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return trace.BadParameter("not a socket: %T", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	return control(raw, f)
}

func control(c syscall.RawConn, f func(fd int) error) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = f(int(fd)) }); e != nil {
		return trace.Wrap(e)
	}
	return trace.Wrap(err)
}
