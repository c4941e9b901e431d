package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/admin"
	"fireflyshift/internal/gateway"
	"fireflyshift/internal/gossip"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/ingress"
	"fireflyshift/internal/relay"
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

const (
	// memoryLimitRatio is the Go runtime's soft memory limit as a share of the host's memory. The rest is for stacks and
	// for data in the kernel's socket buffers.
	memoryLimitRatio = 0.7
	// drainIdleTime is how long no connection must have been in use before a draining host stops.
	drainIdleTime = 400 * time.Millisecond
	// shutdownMargin is how long before the platform's SIGKILL responses still in progress are aborted.
	shutdownMargin = 200 * time.Millisecond
	// closeMargin is how long before SIGKILL connections are closed, even if callers have not read everything.
	closeMargin = 80 * time.Millisecond
	drainPoll   = 50 * time.Millisecond
	// closeTimeout is how long a host that has finished early waits for callers to notice that their connections are closed.
	closeTimeout      = time.Second
	idleCheckInterval = 500 * time.Millisecond
)

// Dependencies are supplied by the platform's adapter.
type Dependencies struct {
	Store       Store
	HeaderCodec gateway.HeaderCodec
	// Load reads the settings again, and Reload requests that immediately. Both may be nil.
	Load   func() (*Settings, error)
	Reload <-chan struct{}
	// BackendDialer connects to backend servers; nil for the default.
	BackendDialer upstream.ContextDialer
}

// Node is one running host.
type Node struct {
	set     *Settings
	root    zerolog.Logger
	log     zerolog.Logger
	metrics telemetry.Metrics
	control *control
	// sent and received count datagrams and their bytes by kind, to separate the cost of the control plane from that
	// of callers' traffic.
	sent, received trafficCounters
	pool           *upstream.Pool
	socket         *gossip.Socket
	pacer          *gossip.Pacer
	relay          *relay.Server
	callers        *http.Server
	connections    *ingress.Connections
	gateway        *gateway.Gateway
	auxServers     []*auxServer
	limits         limits
}

// Tune adapts the Go runtime to a small host: a single processor, which avoids wake-ups between threads, and a
// soft memory limit, above which garbage is collected more often.
func Tune(set *Settings) {
	runtime.GOMAXPROCS(1)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryLimitRatio * (1 << 20)))
	}
}

// Run serves until ctx is done, then shuts down within the grace period.
func Run(ctx context.Context, set *Settings, deps Dependencies, log zerolog.Logger, m telemetry.Metrics) error {
	n, err := build(set, log, m)
	if err != nil {
		return trace.Wrap(err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(work)
	if err := n.start(work, g, deps); err != nil {
		return trace.Wrap(err)
	}
	n.log.Info().Str("host", set.Name).Str("zone", set.Zone).Str("callers", set.Callers).Msg("Serving.")
	<-ctx.Done()
	killAt := time.Now().Add(n.set.Grace)
	n.drain()
	n.close(killAt)
	stop()
	n.log.Info().Msg("Stopped.")
	return trace.Wrap(g.Wait())
}

func build(set *Settings, log zerolog.Logger, m telemetry.Metrics) (*Node, error) {
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	socket, err := gossip.Listen(set.IP, set.PeerPort)
	if err != nil {
		return nil, err
	}
	r := router.New(router.Options{
		Host: set.IP, Zone: set.Zone, Regions: set.Regions, Incarnation: binary.BigEndian.Uint64(seed[:8]) | 1, Seeds: set.Seeds,
		Bounds: set.Bounds, Seed: binary.BigEndian.Uint64(seed[8:]), Admission: set.Admission,
		Balancing: set.balancing(),
	})
	n := &Node{set: set, root: log, log: telemetry.ComponentLogger(log, "node"), metrics: m, socket: socket, connections: ingress.New(), limits: newLimits(set)}
	n.pacer = gossip.NewPacer(socket, set.LinkMbps)
	n.sent, n.received = newTraffic(m, "sent"), newTraffic(m, "heard")
	n.control = newControl(r, telemetry.ComponentLogger(log, "control"), m)
	n.pool = upstream.NewPool(func() { m.Count("backend.connections", 1) })
	n.pool.UseRelays(relay.NewClient(set.IP, set.PeerPort))
	return n, nil
}

func (n *Node) start(ctx context.Context, g *errgroup.Group, deps Dependencies) error {
	puller := gossip.NewPuller(n.set.PeerPort)
	reader := &storeReader{store: deps.Store, post: n.control.Post, log: telemetry.ComponentLogger(n.root, "store"), metrics: n.metrics}
	reading := &toggle{ctx: ctx, run: reader.run}
	n.useBackendDialer(deps.BackendDialer)
	n.control.out = effectHandlers{
		readStore: reading.set,
		send:      n.send,
		pull:      func(p router.Pull) { go n.pull(ctx, puller, p) },
		dropConns: n.pool.CloseIdle,
		limitWait: n.pool.ServerGone,
		probe: func(c router.Probe) {
			go func() {
				reached, refused := n.pool.Probe(ctx, c.Backend.Addr, c.MaxIdleConns)
				n.control.Post(router.ProbeResult{ID: c.Backend.ID, Start: c.Backend.Start, Reached: reached, Refused: refused})
			}()
		},
	}
	n.gateway = gateway.New(n.control, deps.HeaderCodec, n.pool, telemetry.ComponentLogger(n.root, "gateway"), n.metrics)
	n.gateway.UseBudget(n.limits.budget)
	// The limits of heads are those of n.connections.
	n.callers = &http.Server{Handler: n.gateway, MaxHeaderBytes: maxConfiguredHeaderBytes,
		DisableGeneralOptionsHandler: true, // it would answer "OPTIONS *" in place of a backend server
		ErrorLog:                     stdlog.New(httpErrorLog{n.log}, "", 0)}
	n.connections.Limit(ingress.Limits{Head: n.headLimits, Connections: n.limits.callers, Budget: n.limits.budget, Count: n.metrics.Count})
	n.connections.Guard(n.callers, http.HandlerFunc(n.gateway.RejectShutdown))
	if err := n.listen(g, n.callers, n.set.Callers, callerSocket, n.connections.Listener); err != nil {
		return err
	}
	if err := n.serve(g, http.HandlerFunc(n.readyz), n.set.Ready, n.limits.aux); err != nil {
		return err
	}
	ops := admin.Handler(adminSource{n, n.gateway.History}, &reducerMetrics{control: n.control, metrics: n.metrics})
	for _, addr := range []string{n.set.Admin, n.set.Metrics} {
		if addr == "" {
			continue
		}
		if err := n.serve(g, ops, addr, n.limits.aux); err != nil {
			n.log.Error().Err(err).Msg("Admin listener not started. Status and metrics are unavailable; callers are served.")
		}
	}
	if err := n.serve(g, n.relay.Handler(gossip.Handler(n.control)), net.JoinHostPort(n.set.IP, strconv.Itoa(n.set.PeerPort)), n.limits.peers); err != nil {
		return err
	}
	g.Go(func() error { n.control.run(ctx); return nil })
	g.Go(func() error { n.closeIdleConns(ctx); return nil })
	g.Go(func() error {
		n.pacer.Run(ctx, func(err error) { n.sendFailed(1, err) })
		return nil
	})
	if deps.Load != nil {
		g.Go(func() error { n.watchSettings(ctx, deps.Load, deps.Reload); return nil })
	}
	g.Go(func() error {
		n.socket.Receive(n.handlePacket, func() { n.metrics.Count("datagrams.malformed", 1) })
		return nil
	})
	return nil
}

// useBackendDialer sets how this host connects to backend servers, for its own callers and as a relay.
func (n *Node) useBackendDialer(d upstream.ContextDialer) {
	dial := relay.DirectDial()
	if d != nil {
		n.pool.UseDialer(d)
		dial = d.DialContext
	}
	n.relay = relay.NewServer(n.control.RelayPermission, dial, telemetry.ComponentLogger(n.root, "relay"), n.metrics)
}

// auxServer is a server that is not for callers.
type auxServer struct {
	*http.Server
	connections *ingress.Connections
}

// serve serves a handler at an address for up to a number of connections.
func (n *Node) serve(g *errgroup.Group, h http.Handler, addr string, connections int) error {
	h = withoutBodies(h)
	s := &auxServer{&http.Server{Handler: h, MaxHeaderBytes: auxHeaderBytes}, ingress.New()}
	s.connections.Limit(ingress.Limits{Head: auxHeadLimits, Connections: connections, Count: n.metrics.Count})
	s.connections.Guard(s.Server, h)
	n.auxServers = append(n.auxServers, s)
	return n.listen(g, s.Server, addr, auxSocket, s.connections.Listener)
}

// socketControl sets options of a socket, as net.ListenConfig.Control.
type socketControl func(network, addr string, c syscall.RawConn) error

func (n *Node) listen(g *errgroup.Group, s *http.Server, addr string, control socketControl, wrap func(net.Listener) net.Listener) error {
	lc := net.ListenConfig{KeepAliveConfig: upstream.KeepAlive(), Control: control}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listen on %s; free the port or correct the settings", addr)
	}
	g.Go(func() error {
		if err := s.Serve(wrap(l)); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	return nil
}

// httpErrorLog logs net/http's own errors, such as malformed requests.
type httpErrorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (e httpErrorLog) Write(p []byte) (int, error) {
	e.log.Info().Str("detail", strings.TrimSpace(string(p))).Msg("Connection of a caller failed.")
	return len(p), nil
}

func (n *Node) ready() bool { return n.control.ready.Load() && !n.control.draining.Load() }

// readyz answers the load balancer's readiness probe.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// send sends a datagram to hosts, through the pacer if it is large and goes to more than maxUnpacedHosts.
func (n *Node) send(to []string, p *gossippb.Packet) {
	if len(to) > maxUnpacedHosts {
		if size := proto.Size(p); n.pacer.ShouldPace(len(to), size) {
			n.sendPaced(to, p, size)
			return
		}
	}
	size, failed, err := n.socket.Send(to, p)
	n.sent.add(p, len(to), len(to)*size)
	if failed > 0 {
		n.sendFailed(failed, err)
	}
}

// sendPaced queues a datagram to many hosts at the pacer. size is its encoded size in bytes.
func (n *Node) sendPaced(to []string, p *gossippb.Packet, size int) {
	if !n.pacer.Send(to, p) {
		n.metrics.Count("datagrams.dropped", int64(len(to)))
		return
	}
	n.sent.add(p, len(to), len(to)*size)
}

// maxUnpacedHosts is the number of receivers up to which datagrams are sent at once whatever their size.
const maxUnpacedHosts = 8

func (n *Node) sendFailed(datagrams int, err error) {
	n.metrics.Count("datagrams.failed", int64(datagrams))
	n.log.Debug().Err(err).Int("failed", datagrams).Msg("Sending datagrams failed.")
}

// handlePacket converts a received datagram into an event.
func (n *Node) handlePacket(from string, p *gossippb.Packet, size int) {
	n.received.add(p, 1, size)
	switch {
	case p.Beat != nil:
		n.control.Post(router.HeartbeatReceived{Heartbeat: p.Beat})
	case p.Ask != nil:
		n.control.Post(router.SlotRequestReceived{From: from, Ask: p.Ask})
	case p.Offer != nil:
		n.control.Post(router.SlotOfferReceived{From: from, Offer: p.Offer})
	case p.Withdraw != nil:
		n.control.Post(router.WithdrawReceived{From: from, Withdraw: p.Withdraw})
	case p.Report != nil:
		n.control.Post(router.ReportReceived{From: from, Report: p.Report})
	case p.Occupancy != nil:
		n.control.Post(router.OccupancyReceived{From: from, Occupancy: p.Occupancy})
	case p.Relay != nil:
		n.control.Post(router.RelayReceived{From: from, Relay: p.Relay})
	case p.Charge != nil:
		n.control.Post(router.QuotaRequestReceived{From: from, Charge: p.Charge})
	case p.Charged != nil:
		n.control.Post(router.QuotaReplyReceived{From: from, Charged: p.Charged})
	case p.StreamOrigin != nil:
		n.control.Post(router.OriginReceived{From: from, Origin: p.StreamOrigin})
	case p.OriginQuery != nil:
		n.control.Post(router.OriginQueryReceived{From: from, Query: p.OriginQuery})
	case p.OriginReply != nil:
		n.control.Post(router.OriginReplyReceived{From: from, Reply: p.OriginReply})
	}
}

func (n *Node) pull(ctx context.Context, p *gossip.Puller, request router.Pull) {
	began := time.Now()
	update, err := p.Pull(ctx, request.Host, request.Since)
	if err != nil {
		n.log.Warn().Err(err).Str("from", request.Host).Int64("after_ms", time.Since(began).Milliseconds()).Msg("Reading updates from a peer failed.")
		return
	}
	n.log.Info().Str("from", request.Host).Int64("after_ms", time.Since(began).Milliseconds()).Stringer("after", request.Revision).Stringer("revision", update.Revision).
		Int("backends", len(update.Backends)).Bool("config", update.Config != nil).Msg("Updates received from a peer.")
	update.FromStore, update.Full, update.From = false, false, request.Host
	n.control.Post(update)
}

// closeIdleConns closes idle connections and reports what limits have done.
func (n *Node) closeIdleConns(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.pool.Expire(now)
			for _, s := range n.auxServers {
				s.connections.Expire(now, auxIdleTimeout)
			}
			n.reportTurnedAway(now)
			if t := n.control.Table(); t != nil {
				n.connections.Expire(now, t.Config.Limits.IdleTimeout)
			}
		}
	}
}

// drain shuts down gracefully: the readiness probe fails at once, responses have 'Connection: close', and the host
// stops when no connection is in use any more, at the latest just before the platform's SIGKILL.
func (n *Node) drain() {
	n.log.Info().Dur("grace", n.set.Grace).Msg("Stopping.")
	n.control.draining.Store(true)
	began := time.Now()
	n.control.Post(router.Drain{Until: n.control.Now() + n.set.Grace - shutdownMargin, Grace: n.set.Grace - shutdownMargin})
	idleSince := began
	for time.Since(began) < n.set.Grace-shutdownMargin {
		time.Sleep(drainPoll)
		if time.Since(began) > n.set.Grace/2 {
			n.limits.budget.TurnAwayStalled() // they would hold the host until the end of the grace period
		}
		if n.connections.InUse() > 0 || n.relay.InUse() > 0 {
			idleSince = time.Now()
		}
		if time.Since(began) > n.set.BalancerDelay && time.Since(idleSince) > drainIdleTime && n.connections.TryStop() {
			n.log.Info().Dur("after_ms", time.Since(began)).Msg("Drained. No more requests are accepted.")
			return
		}
	}
	n.log.Warn().Int("in_use", n.connections.InUse()).Int("relayed", n.relay.InUse()).Msg("Grace period over. Responses in progress are aborted.")
	n.gateway.Shutdown()
}

// close closes all connections. killAt is when the platform kills the process.
func (n *Node) close(killAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(closeTimeout, time.Until(killAt)-closeMargin))
	defer cancel()
	cut := n.connections.Close(ctx)
	_ = n.callers.Close()
	n.log.Info().Int("cut", cut).Int("notified", n.connections.Notified()).Msg("Connections closed.")
	for _, s := range n.auxServers {
		s.connections.CutOff()
		_ = s.Close()
	}
	n.pool.Close()
	n.relay.Close()
	_ = n.socket.Close()
}
