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
	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

const (
	// headerTimeout and headerBytes bound a caller's head where no configuration says so yet.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// memoryShare of the machine's memory is the runtime's soft limit; the rest is for what the
	// kernel holds unread and for stacks.
	memoryShare = 0.7
	// quietFor is how long no connection of a stopping host must have been in use before it ends.
	quietFor = 400 * time.Millisecond
	// endMargin before the platform's SIGKILL answers are cut.
	endMargin = 200 * time.Millisecond
	// exitMargin before it connections are closed, whatever their callers have read.
	exitMargin = 80 * time.Millisecond
	drainPoll  = 50 * time.Millisecond
	// closeFor is how long a host that ends with time left waits for its callers to see that their connections end.
	closeFor   = time.Second
	expireIdle = 500 * time.Millisecond
)

// Parts are what the adapter brings.
type Parts struct {
	Store Store
	Wire  gateway.HeaderCodec
	// Load reads the settings again; Reload is a signal to do it now. Both may be nil.
	Load   func() (*Settings, error)
	Reload <-chan struct{}
}

// Node is one running host.
type Node struct {
	set     *Settings
	root    zerolog.Logger
	log     zerolog.Logger
	metrics telemetry.Metrics
	control *control
	// sent and heard count datagrams and their bytes by what they carry: the control plane's cost apart from
	// the traffic's.
	sent, heard traffic
	pool        *upstream.Pool
	socket      *gossip.Socket
	pacer       *gossip.Pacer
	callers     *http.Server
	connections *ingress.Connections
	gateway     *gateway.Gateway
	others      []*http.Server
}

// Tune fits the runtime to a small host: one thread of traffic, which spares wake-ups between
// threads, and a soft memory limit, above which it collects more often.
func Tune(set *Settings) {
	runtime.GOMAXPROCS(1)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryShare * (1 << 20)))
	}
}

// Run serves until ctx ends, then shuts down within the grace.
func Run(ctx context.Context, set *Settings, parts Parts, log zerolog.Logger, m telemetry.Metrics) error {
	n, err := build(set, log, m)
	if err != nil {
		return trace.Wrap(err)
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, _ := errgroup.WithContext(work)
	if err := n.start(work, g, parts); err != nil {
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
		Bounds: set.Bounds, Seed: binary.BigEndian.Uint64(seed[8:]),
	})
	n := &Node{set: set, root: log, log: telemetry.For(log, "node"), metrics: m, socket: socket, connections: ingress.New()}
	n.pacer = gossip.NewPacer(socket, set.LinkMbps)
	n.sent, n.heard = newTraffic(m, "sent"), newTraffic(m, "heard")
	n.control = newControl(r, telemetry.For(log, "control"), m)
	n.pool = upstream.NewPool(func() { m.Count("backend.connections", 1) })
	return n, nil
}

func (n *Node) start(ctx context.Context, g *errgroup.Group, parts Parts) error {
	puller := gossip.NewPuller(n.set.PeerPort)
	reader := &storeReader{store: parts.Store, post: n.control.Post, log: telemetry.For(n.root, "store"), metrics: n.metrics}
	reading := &toggle{ctx: ctx, run: reader.run}
	n.control.out = outlets{
		read: reading.set,
		send: n.send,
		pull: func(p router.Pull) { go n.pull(ctx, puller, p) },
		drop: n.pool.CloseIdle,
		check: func(c router.Probe) {
			go func() {
				reached, refused := n.pool.Probe(ctx, c.Backend.Addr, c.MaxIdleConns)
				n.control.Post(router.ProbeResult{ID: c.Backend.ID, Start: c.Backend.Start, Reached: reached, Refused: refused})
			}()
		},
	}
	n.gateway = gateway.New(n.control, parts.Wire, n.pool, telemetry.For(n.root, "gateway"), n.metrics)
	n.callers = &http.Server{Handler: n.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: stdlog.New(errorLines{n.log}, "", 0)}
	n.connections.Guard(n.callers, http.HandlerFunc(n.gateway.RejectShutdown))
	if err := n.listen(g, n.callers, n.set.Callers, n.connections.Listener); err != nil {
		return err
	}
	if err := n.serve(g, http.HandlerFunc(n.readyz), n.set.Ready); err != nil {
		return err
	}
	ops := admin.Handler(operators{n, n.gateway.History}, n.metrics)
	for _, addr := range []string{n.set.Admin, n.set.Metrics} {
		if addr == "" {
			continue
		}
		if err := n.serve(g, ops, addr); err != nil {
			n.log.Error().Err(err).Msg("Operators cannot read this host. It serves callers.")
		}
	}
	if err := n.serve(g, gossip.Handler(n.control), net.JoinHostPort(n.set.IP, strconv.Itoa(n.set.PeerPort))); err != nil {
		return err
	}
	g.Go(func() error { n.control.run(ctx); return nil })
	g.Go(func() error { n.expire(ctx); return nil })
	g.Go(func() error {
		n.pacer.Run(ctx, func(err error) { n.sendFailed(1, err) })
		return nil
	})
	if parts.Load != nil {
		g.Go(func() error { n.watchSettings(ctx, parts.Load, parts.Reload); return nil })
	}
	g.Go(func() error {
		n.socket.Receive(n.received, func() { n.metrics.Count("datagrams.malformed", 1) })
		return nil
	})
	return nil
}

func (n *Node) serve(g *errgroup.Group, h http.Handler, addr string) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	n.others = append(n.others, s)
	return n.listen(g, s, addr, func(l net.Listener) net.Listener { return l })
}

func (n *Node) listen(g *errgroup.Group, s *http.Server, addr string, wrap func(net.Listener) net.Listener) error {
	lc := net.ListenConfig{KeepAliveConfig: upstream.KeepAlive(), Control: upstream.SetUserTimeout}
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

// errorLines takes net/http's own complaints, as of a caller that sent no proper request.
type errorLines struct{ log zerolog.Logger }

// Write implements io.Writer.
func (e errorLines) Write(p []byte) (int, error) {
	e.log.Info().Str("detail", strings.TrimSpace(string(p))).Msg("A caller's connection failed.")
	return len(p), nil
}

func (n *Node) ready() bool { return n.control.ready.Load() && !n.control.draining.Load() }

// readyz answers the balancer.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// send writes a datagram to hosts.
func (n *Node) send(to []string, p *gossippb.Packet) {
	if len(to) > fewHosts {
		if size := proto.Size(p); n.pacer.Paces(len(to), size) {
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

// sendPaced lets a datagram of some size to many hosts wait its turn.
func (n *Node) sendPaced(to []string, p *gossippb.Packet, size int) {
	if !n.pacer.Send(to, p) {
		n.metrics.Count("datagrams.dropped", int64(len(to)))
		return
	}
	n.sent.add(p, len(to), len(to)*size)
}

// fewHosts are sent to at once, whatever the size.
const fewHosts = 8

func (n *Node) sendFailed(datagrams int, err error) {
	n.metrics.Count("datagrams.failed", int64(datagrams))
	n.log.Debug().Err(err).Int("failed", datagrams).Msg("Datagrams not sent.")
}

// received turns a datagram into an event.
func (n *Node) received(from string, p *gossippb.Packet, size int) {
	n.heard.add(p, 1, size)
	switch {
	case p.Beat != nil:
		n.control.Post(router.HeartbeatReceived{Heartbeat: p.Beat})
	case p.Ask != nil:
		n.control.Post(router.SlotRequestReceived{From: from, Ask: p.Ask})
	case p.Offer != nil:
		n.control.Post(router.SlotOfferReceived{From: from, Offer: p.Offer})
	case p.Report != nil:
		n.control.Post(router.ReportReceived{From: from, Report: p.Report})
	case p.Occupancy != nil:
		n.control.Post(router.OccupancyReceived{From: from, Occupancy: p.Occupancy})
	case p.Relay != nil:
		n.control.Post(router.RelayReceived{From: from, Relay: p.Relay})
	case p.Charge != nil:
		n.control.Post(router.ChargeRequestReceived{From: from, Charge: p.Charge})
	case p.Charged != nil:
		n.control.Post(router.ChargeResponseReceived{From: from, Charged: p.Charged})
	}
}

func (n *Node) pull(ctx context.Context, p *gossip.Puller, ask router.Pull) {
	news, err := p.Pull(ctx, ask.Host, ask.Since)
	if err != nil {
		n.log.Warn().Err(err).Str("from", ask.Host).Msg("No news from a peer.")
		return
	}
	n.log.Info().Str("from", ask.Host).Stringer("after", ask.Revision).Stringer("revision", news.Revision).
		Int("backends", len(news.Backends)).Bool("config", news.Config != nil).Msg("News from a peer.")
	news.FromStore, news.Full, news.From = false, false, ask.Host
	n.control.Post(news)
}

func (n *Node) expire(ctx context.Context) {
	t := time.NewTicker(expireIdle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.pool.Expire(now)
			if t := n.control.Table(); t != nil {
				n.connections.Expire(now, t.Config.Limits.IdleTimeout)
			}
		}
	}
}

// drain is the graceful shutdown: out of the balancer at once, answers with 'Connection: close',
// and an end when no connection is in use any more, at the latest just before the platform's SIGKILL.
func (n *Node) drain() {
	n.log.Info().Dur("grace", n.set.Grace).Msg("Stopping.")
	n.control.draining.Store(true)
	began := time.Now()
	n.control.Post(router.Drain{Until: n.control.Now() + n.set.Grace - endMargin, Grace: n.set.Grace - endMargin})
	quietSince := began
	for time.Since(began) < n.set.Grace-endMargin {
		time.Sleep(drainPoll)
		if n.connections.InUse() > 0 {
			quietSince = time.Now()
		}
		if time.Since(began) > n.set.Notice && time.Since(quietSince) > quietFor && n.connections.TryStop() {
			n.log.Info().Dur("after_ms", time.Since(began)).Msg("No request is in hand. No more are taken.")
			return
		}
	}
	n.log.Warn().Int("in_use", n.connections.InUse()).Msg("The grace is over. Answers are cut.")
	n.gateway.Shutdown()
}

// close ends all connections; killAt is when the platform kills the process.
func (n *Node) close(killAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(closeFor, time.Until(killAt)-exitMargin))
	defer cancel()
	cut := n.connections.Close(ctx)
	_ = n.callers.Close()
	n.log.Info().Int("cut", cut).Int("notified", n.connections.Notified()).Msg("Connections closed.")
	for _, s := range n.others {
		_ = s.Close()
	}
	_ = n.socket.Close()
}
