package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"fireflyshift/internal/admin"
	"fireflyshift/internal/confservice"
	"fireflyshift/internal/core"
	"fireflyshift/internal/edge"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/ingress"
	"fireflyshift/internal/member"
	"fireflyshift/internal/membudget"
	"fireflyshift/internal/peer"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/sched"
	"fireflyshift/internal/settings"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/timing"
)

const (
	queryTimeout  = time.Second
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// memoryLimitRatio is the Go runtime's soft memory limit as a share of the host's memory.
	memoryLimitRatio = 0.7
	drainPoll        = 20 * time.Millisecond
	// closeTimeout limits the closing of callers' connections, peerCloseTimeout after that the sending of queued messages to
	// peers, and traceCloseTimeout at last the export of spans.
	closeTimeout      = 1500 * time.Millisecond
	peerCloseTimeout  = 500 * time.Millisecond
	traceCloseTimeout = 500 * time.Millisecond
)

// Daemon is one running host.
type Daemon struct {
	set     *settings.Settings
	log     zerolog.Logger
	tracing *telemetry.Tracing
	metrics telemetry.Metrics
	control *control
	sender  *peer.Sender
	peers   *grpc.Server
	callers *http.Server
	// connections are those of callers.
	connections *ingress.Connections
	// budget is the memory for callers' requests.
	budget  *membudget.Budget
	edge    *edge.Server
	admin   *http.Server
	reader  *toggle
	engines *engineWatch
}

// Run serves until ctx is done, then shuts down gracefully. forced is done at a second signal, which ends the
// wait for requests in progress.
func Run(ctx, forced context.Context, set *settings.Settings, log zerolog.Logger, m telemetry.Metrics) error {
	if set.Host.Threads > 0 {
		runtime.GOMAXPROCS(set.Host.Threads)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryMB(set)) * (1 << 20)))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	d, err := build(work, set, log, m)
	if err != nil {
		return trace.Wrap(err)
	}
	listeners, err := d.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	g, _ := errgroup.WithContext(work)
	d.serve(work, g, listeners)
	d.log.Info().Str("host", set.Host.ID).Str("zone", set.Host.Zone).Str("callers", set.Listen.Callers).Msg("Serving.")
	<-ctx.Done()
	if !d.drain(forced) {
		d.edge.Shutdown()
		d.control.Post(core.Stop{})
	}
	d.close()
	stop()
	err = g.Wait()
	d.sender.Wait()
	return trace.Wrap(err)
}

func build(ctx context.Context, set *settings.Settings, log zerolog.Logger, m telemetry.Metrics) (*Daemon, error) {
	serverCreds, clientCreds, err := peer.Credentials(set.TLS.PeersCert, set.TLS.PeersKey, set.TLS.PeersRoot)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tracing, err := telemetry.NewTracing(ctx, telemetry.TraceOptions{Exporter: set.Traces.Exporter, Endpoint: set.Traces.Endpoint,
		Ratio: set.Traces.Ratio, Host: set.Host.ID, Zone: set.Host.Zone, Out: log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	self := member.Host{ID: set.Host.ID, Zone: set.Host.Zone, Addr: set.Listen.AdvertisePeers}
	c := core.New(core.Options{Self: self, Incarnation: incarnation, Sched: sched.DefaultOptions(), MaxRequests: set.Limits.MaxRequests})
	ctl := newControl(c, m, telemetry.ComponentLogger(log, "control"))
	d := &Daemon{set: set, log: telemetry.ComponentLogger(log, "daemon"), tracing: tracing, metrics: m, control: ctl,
		connections: ingress.New(edge.NotRunHeader), budget: membudget.ForHost(memoryMB(set))}
	d.sender = peer.NewSender(ctx, peer.Options{
		Self:   &peerpb.Sender{Host: self.ID, Incarnation: incarnation, Zone: self.Zone, Addr: self.Addr},
		Creds:  clientCreds,
		Routes: set.Routes,
		Count:  peer.Counters{SentMessages: m.Counter("peer.sent_messages"), SentBytes: m.Counter("peer.sent_bytes"), Dropped: m.Counter("peer.dropped")},
		Opened: func(host string) { ctl.Post(core.LinkOpened{Host: host}) },
	})
	d.peers = peer.NewServer(serverCreds, ctl, m.Counter("peer.received_bytes"))
	client := confservice.NewClient(set.Platform.URL, set.Platform.WatchWait)
	d.reader = &toggle{ctx: ctx, run: func(ctx context.Context, after uint64) { client.WatchRecords(ctx, after, ctl.Post) }}
	d.engines = newEngineWatch(ctx, ctl.Post)
	hosts := &toggle{ctx: ctx, run: func(ctx context.Context, _ uint64) { client.WatchHosts(ctx, ctl.Post) }}
	ctl.out = effectHandlers{send: d.sender.Send, readPlatform: d.reader.set, readHosts: hosts.restart, watchEngines: d.engines.set, spans: newSlotSpans(tracing)}
	d.buildServers(incarnation, log)
	hosts.set(true, 0)
	return d, nil
}

// newIncarnation returns a random number, so that two starts of a host differ even if its clock was set back.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	return binary.BigEndian.Uint64(b[:])>>11 | 1, nil
}

func (d *Daemon) buildServers(incarnation uint64, log zerolog.Logger) {
	d.edge = edge.New(edge.Options{
		Host:           d.set.Host.ID,
		Incarnation:    incarnation,
		MaxBodyBytes:   d.set.Limits.MaxBodyBytes,
		MaxAnswerBytes: d.set.Limits.MaxAnswerBytes,
		BodyTimeout:    d.set.Limits.BodyTimeout,
	}, d.control, d.tracing, d.metrics, telemetry.ComponentLogger(log, "edge"))
	d.callers = &http.Server{Handler: d.edge.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true,
		MaxHeaderBytes: d.set.Limits.MaxHeaderBytes}
	head := ingress.HeadLimits{Bytes: d.set.Limits.MaxHeaderBytes, Time: headerTimeout}
	d.connections.Limit(ingress.Limits{Head: func() ingress.HeadLimits { return head }, Connections: maxConnections(d.set), Budget: d.budget, Count: d.metrics.Count})
	d.connections.Guard(d.callers, http.HandlerFunc(d.edge.RejectShutdown))
	d.admin = &http.Server{Handler: admin.Handler(d, d.metrics), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.set.Limits.MaxHeaderBytes}
}

type listeners struct{ callers, peers, admin net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = d.listenOn("callers", d.set.Listen.Callers); err != nil {
		return l, err
	}
	if d.set.TLS.CallersCert != "" {
		pair, err := tls.LoadX509KeyPair(d.set.TLS.CallersCert, d.set.TLS.CallersKey)
		if err != nil {
			return l, fault.Invalidf("[tls] callers_cert, callers_key", "give a PEM certificate and its key", "%v", err)
		}
		l.callers = tls.NewListener(l.callers, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12})
	}
	if l.peers, err = d.listenOn("peers", d.set.Listen.Peers); err != nil {
		return l, err
	}
	l.admin, err = d.listenOn("admin", d.set.Listen.Admin)
	return l, err
}

func (d *Daemon) listenOn(key, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		ingress.LimitBuffers(c)
		return nil
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fault.Invalidf("[listen] "+key, "free the port or name another", "%v", err)
	}
	return l, nil
}

func (d *Daemon) serve(ctx context.Context, g *errgroup.Group, l listeners) {
	g.Go(func() error { d.control.run(ctx); return nil })
	g.Go(func() error { return ignoreClosed(d.callers.Serve(d.connections.Listener(l.callers))) })
	g.Go(func() error { return ignoreClosed(d.admin.Serve(l.admin)) })
	g.Go(func() error { return trace.Wrap(d.peers.Serve(l.peers)) })
	if len(d.set.Peers) > 0 {
		var hosts core.HostList
		for _, h := range d.set.Peers {
			hosts.Hosts = append(hosts.Hosts, core.ListedHost{Host: h})
		}
		d.control.Post(hosts)
	}
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

// drain shuts down gracefully. First the readiness probe fails, so that the load balancer stops sending connections, but
// requests are still accepted for Drain.Grace. Then new requests are refused and this host's roles move to other hosts.
// Then drain waits until no request is in progress, including those whose body is still being read. It returns false if
// Drain.Limit or a second signal ends the wait.
func (d *Daemon) drain(forced context.Context) bool {
	d.log.Info().Dur("grace", d.set.Drain.Grace).Msg("Draining. A second signal ends the wait for requests in progress.")
	d.control.setUnready()
	d.edge.Drain()
	if timing.Sleep(forced, d.set.Drain.Grace) {
		d.control.Post(core.Drain{})
		if d.awaitRequests(forced) {
			d.log.Info().Msg("Drained.")
			return true
		}
	}
	event := d.log.Warn().Int("in_use", d.connections.InUse()).Int64("held", d.control.activeRequests.Load())
	if forced.Err() != nil {
		event.Msg("Second signal. Responses in progress are aborted.")
	} else {
		event.Msg("Drain limit reached. Responses in progress are aborted. Raise [drain] limit to wait longer.")
	}
	return false
}

func (d *Daemon) awaitRequests(forced context.Context) bool {
	until := time.Now().Add(d.set.Drain.Limit)
	for time.Now().Before(until) {
		requests, known := query(d.control, queryTimeout, (*core.Core).Requests)
		if known && requests == 0 && d.connections.TryStop() {
			return true
		}
		if !timing.Sleep(forced, drainPoll) {
			return false
		}
	}
	return false
}

// close closes callers' connections first, and then the links to peers, which must be informed of the outcomes of requests.
func (d *Daemon) close() {
	callers, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	cut := d.connections.Close(callers)
	_ = d.callers.Close()
	d.log.Info().Int("cut", cut).Int("notified", d.connections.Notified()).Msg("Connections closed.")
	peers, cancel := context.WithTimeout(context.Background(), peerCloseTimeout)
	defer cancel()
	d.sender.Close(peers)
	_ = d.admin.Close()
	d.peers.Stop()
	d.closeTracing()
}

// closeTracing exports the remaining spans. Its time is its own, as a peer that hangs may have used up that of the links.
func (d *Daemon) closeTracing() {
	ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
	defer cancel()
	if err := d.tracing.Close(ctx); err != nil {
		d.log.Warn().Err(err).Msg("Spans are lost: they were not exported in time. Check the collector of traces.")
	}
}

// Ready implements admin.Source.
func (d *Daemon) Ready() bool { return d.control.ready.Load() && !d.control.shuttingDown.Load() }

// Healthy implements admin.Source. It reports whether the control thread responds.
func (d *Daemon) Healthy() bool {
	_, ok := query(d.control, queryTimeout, func(*core.Core) struct{} { return struct{}{} })
	return ok
}

// Status implements admin.Source.
func (d *Daemon) Status() (core.Status, bool) {
	s, ok := query(d.control, queryTimeout, (*core.Core).Status)
	s.Ready = s.Ready && !d.control.shuttingDown.Load()
	return s, ok
}

// Explain implements admin.Source.
func (d *Daemon) Explain(id string) ([]core.TraceEvent, bool) {
	return query(d.control, queryTimeout, func(c *core.Core) []core.TraceEvent { return slices.Clone(c.RequestTrace(id)) })
}
