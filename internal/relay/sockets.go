package relay

import (
	"net"
	"syscall"

	"github.com/gravitational/trace"

	"fireflyshift/internal/socket"
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
	return socket.SetUserTimeout(c, int(legTimeout.Milliseconds()))
}
