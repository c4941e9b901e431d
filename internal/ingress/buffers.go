package ingress

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer and sendBuffer are the kernel's buffers in bytes of an accepted connection, half of what the kernel takes for them. Larger
// ones help only callers that are far away, and each connection may fill its own.
//
// A caller that is a millisecond away can still send some MB a second.
const (
	receiveBuffer = 8 << 10
	sendBuffer    = 32 << 10
)

// LimitBuffers limits the kernel's buffers of the connections of a listener, which inherit them. A system that refuses that keeps its own
// limits.
func LimitBuffers(listener syscall.RawConn) {
	_ = listener.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
}
