package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/upstream"
)

const (
	proxyStatus = "Proxy-Status"
	proxyName   = "fireflyshift"
	// errorRefused is the error type of a refused connection (RFC 9209, 2.3.7).
	errorRefused = "connection_refused"
	// openTimeout limits the opening of a tunnel. It covers the relay's own dialTimeout.
	openTimeout = 300 * time.Millisecond
	// replyBuffer holds the head of a relay's answer.
	replyBuffer = 1 << 10
	// maxReplyHead limits it.
	maxReplyHead = 16 << 10
)

// Client opens tunnels through other hosts.
type Client struct {
	dialer net.Dialer
	port   string
}

// NewClient returns a client that connects from a host's own IP address, by which relays know it, to the port for
// traffic between hosts.
func NewClient(ip string, port int) *Client {
	return &Client{port: strconv.Itoa(port), dialer: net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)},
		KeepAliveConfig: legKeepAlive, Control: setUserTimeout}}
}

// Dial returns a connection through the host relay to a backend server. The error wraps upstream.ErrRelay if the relay
// does not serve, and upstream.ErrUnknownAtRelay if it does not know the backend server; any other is the backend
// server's own.
func (c *Client) Dial(ctx context.Context, relay, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", net.JoinHostPort(relay, c.port))
	if err != nil {
		return nil, trace.Wrap(upstream.ErrRelay, "host %s: %v", relay, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	status, reason, err := connect(conn, addr)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && status == http.StatusOK {
		return conn, nil
	}
	_ = conn.Close()
	if err != nil {
		return nil, trace.Wrap(upstream.ErrRelay, "host %s: %v", relay, err)
	}
	return nil, refusalError(relay, status, reason)
}

// connect sends CONNECT and returns the status and the error type of the answer.
func connect(conn net.Conn, addr string) (status int, reason string, err error) {
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: addr}, Host: addr, Header: http.Header{"User-Agent": {""}}}
	if err := req.Write(conn); err != nil {
		return 0, "", trace.Wrap(err)
	}
	r := bufio.NewReaderSize(io.LimitReader(conn, maxReplyHead), replyBuffer)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK && r.Buffered() > 0 {
		return http.StatusBadGateway, "bytes before any request", nil
	}
	_, reason, _ = strings.Cut(resp.Header.Get(proxyStatus), "error=")
	return resp.StatusCode, reason, nil
}

// refusalError returns the error for a tunnel that the relay did not open.
func refusalError(relay string, status int, reason string) error {
	switch {
	case status == http.StatusBadGateway && reason == errorRefused:
		return trace.ConnectionProblem(syscall.ECONNREFUSED, "no connection through host %s: %s", relay, reason)
	case status == http.StatusBadGateway:
		return trace.ConnectionProblem(nil, "no connection through host %s: %s", relay, reason)
	case status == http.StatusNotFound:
		return trace.Wrap(upstream.ErrUnknownAtRelay, "host %s", relay)
	default:
		return trace.Wrap(upstream.ErrRelay, "host %s: %d %s", relay, status, reason)
	}
}
