// Package socket reads the kernel's state of TCP connections.
package socket

import (
	"io"
	"net"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// stateCloseWait is the state of a TCP connection whose peer has closed its side (CLOSE_WAIT in RFC 9293, 3.3.2).
const stateCloseWait = 8

// End returns the error of a read from a TCP connection, with io.ErrUnexpectedEOF in place of an io.EOF that is not the peer's orderly
// close. An answer may end with its connection, and one that was reset must not look complete.
func End(c net.Conn, err error) error {
	if err == io.EOF && !PeerClosed(c) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// PeerClosed reports whether the peer of a TCP connection has closed its side in order. The end of its bytes alone does not show
// that: the kernel reports a reset or a timeout once, and if a write got the error, reads see an orderly end. It must be called
// while this side is open, and reports false for anything but a TCP connection.
func PeerClosed(c net.Conn) bool {
	var info *unix.TCPInfo
	err := with(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return err == nil && info.State == stateCloseWait
}

// Unacknowledged returns the number of written bytes that the peer of a connection has not acknowledged; zero if the
// connection has ended.
func Unacknowledged(c net.Conn) int {
	n := 0
	if err := with(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	}); err != nil {
		return 0
	}
	return n
}

// SetUserTimeout limits how long sent bytes may stay unacknowledged, in whole milliseconds of at least one (TCP_USER_TIMEOUT).
func SetUserTimeout(c syscall.RawConn, milliseconds int) error {
	return control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

func with(c net.Conn, f func(fd int) error) error {
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
