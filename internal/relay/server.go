// Package relay carries connections to backend servers for hosts that cannot reach them. A host opens a tunnel with
// CONNECT (RFC 9110, 9.3.6) at the port of another host for traffic between hosts, and uses it as a connection to the
// backend server. The relay decides nothing about requests: it reads no byte of them, tries nothing again, and always
// dials the backend server itself, so that no tunnel passes through two relays.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

const (
	// maxTunnels bounds the tunnels of one relay. Each takes two connections and two buffers of bufferSize.
	maxTunnels = 256
	// dialTimeout is many times a round trip between zones.
	dialTimeout = 200 * time.Millisecond
)

// Dial makes a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DirectDial connects to backend servers. Its connections have no timeouts of their own: the host that opened the tunnel
// ends it when its exchange ends.
func DirectDial() Dial {
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
}

// Permit reports whether a host may open a tunnel to the address of a backend server.
type Permit func(host, addr string) router.RelayPermission

// Server opens tunnels for other hosts.
type Server struct {
	permit  Permit
	dial    Dial
	log     zerolog.Logger
	metrics telemetry.Metrics
	mu      sync.Mutex
	// open are the tunnels that carry bytes, and opening counts those that are being made.
	open    map[*tunnel]struct{}
	opening int
	closed  bool
}

// NewServer returns a server without tunnels.
func NewServer(permit Permit, dial Dial, log zerolog.Logger, m telemetry.Metrics) *Server {
	return &Server{permit: permit, dial: dial, log: log, metrics: m, open: map[*tunnel]struct{}{}}
}

// Handler serves CONNECT itself and passes all other requests on.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			next.ServeHTTP(w, r)
			return
		}
		if f := s.serve(w, r); f != nil {
			s.refuse(w, r, f)
		}
	})
}

// InUse returns the number of tunnels.
func (s *Server) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) + s.opening
}

// Close resets all tunnels and opens no more.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.open {
		t.reset()
	}
}

// serve opens a tunnel and returns at once, or reports why it does not.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) *refusal {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return refuseUnknownHost
	}
	if f := refusals[s.permit(from, r.Host)]; f != nil {
		return f
	}
	if !s.reserve() {
		return refuseFull
	}
	t, f := s.connect(w, r)
	if f != nil {
		s.release()
		return f
	}
	s.start(t, from, r.Host)
	return nil
}

// connect joins the request's connection with one to the backend server.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) (*tunnel, *refusal) {
	backend, err := s.dial(r.Context(), "tcp", r.Host)
	if err != nil {
		return nil, dialRefusal(err)
	}
	t, err := accept(w, backend)
	if err != nil {
		_ = backend.Close()
		return nil, refuseInternal
	}
	return t, nil
}

// reserve counts a tunnel that is being made; false if there are too many.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open)+s.opening >= maxTunnels {
		return false
	}
	s.opening++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
}

// start carries a tunnel's bytes in the background.
func (s *Server) start(t *tunnel, from, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	if s.closed {
		t.reset()
		return
	}
	s.open[t] = struct{}{}
	s.metrics.Count("relay.opened", 1)
	go s.carry(t, from, addr)
}

func (s *Server) carry(t *tunnel, from, addr string) {
	began := time.Now()
	t.carry()
	s.mu.Lock()
	delete(s.open, t)
	s.mu.Unlock()
	s.metrics.Count("relay.closed", 1)
	s.metrics.Count("relay.bytes", t.up+t.down)
	s.log.Info().Str("from", from).Str("addr", addr).Int64("ms", time.Since(began).Milliseconds()).Int64("up", t.up).Int64("down", t.down).
		AnErr("backend_error", t.backendErr).Msg("Relayed connection closed.")
}

// refusal is the reason for which no tunnel is opened. proxyError is the error type of RFC 9209.
type refusal struct {
	status     int
	proxyError string
}

var (
	refuseUnknownHost = &refusal{http.StatusForbidden, "http_request_denied"}
	refuseFull        = &refusal{http.StatusServiceUnavailable, "connection_limit_reached"}
	refuseInternal    = &refusal{http.StatusInternalServerError, "proxy_internal_error"}
	refuseRefused     = &refusal{http.StatusBadGateway, errorRefused}
	refuseTimeout     = &refusal{http.StatusBadGateway, "connection_timeout"}
	refuseUnreachable = &refusal{http.StatusBadGateway, "destination_ip_unroutable"}
)

// refusals are the refusals by permission.
var refusals = map[router.RelayPermission]*refusal{
	router.RelayUnknownHost:    refuseUnknownHost,
	router.RelayUnknownBackend: {http.StatusNotFound, "destination_not_found"},
	router.RelayUnavailable:    {http.StatusServiceUnavailable, "destination_unavailable"},
}

func dialRefusal(err error) *refusal {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refuseRefused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuseTimeout
	default:
		return refuseUnreachable
	}
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, f *refusal) {
	s.metrics.Count("relay.refused."+f.proxyError, 1)
	s.log.Info().Str("from", r.RemoteAddr).Str("addr", r.Host).Str("reason", f.proxyError).Msg("Connection not relayed.")
	w.Header().Set("Connection", "close")
	w.Header().Set(proxyStatus, proxyName+"; error="+f.proxyError)
	w.WriteHeader(f.status)
}

// accept answers CONNECT and takes the connection over from the HTTP server.
func accept(w http.ResponseWriter, backend net.Conn) (*tunnel, error) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tcp, ok := tcpConn(conn)
	if !ok {
		_ = conn.Close()
		return nil, trace.BadParameter("a tunnel needs a TCP connection, not %T", conn)
	}
	t := &tunnel{host: tcp, hostReader: rw.Reader, backend: backend}
	if err := t.accept(); err != nil {
		_ = tcp.Close()
		return nil, trace.Wrap(err)
	}
	return t, nil
}

// tcpConn returns the TCP connection that a listener's connection is, or that it tracks.
func tcpConn(c net.Conn) (*net.TCPConn, bool) {
	if tracked, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = tracked.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}
