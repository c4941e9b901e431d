package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/membudget"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

const (
	// defaultDeadline applies if neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
	// maxBufferedBody is how much of a body is buffered for a retry. A longer body is passed through, and can be sent
	// only once.
	maxBufferedBody = 512 << 10
	// effectBuffer is more than the reducer ever has outstanding for one request.
	effectBuffer = 8
	// notReadyRetryAfter is the Retry-After of a host that has no configuration yet.
	notReadyRetryAfter = 150 * time.Millisecond
	// firstTableTimeout is how long a request waits for the host's first configuration. A host that starts usually has
	// it within a tenth of a second, and a caller that is refused meanwhile misses its objective.
	firstTableTimeout = 200 * time.Millisecond
)

// Caller receives the effects for one request.
type Caller struct {
	Effects chan<- router.Effect
	// Abort cancels the call of one attempt; it does not block.
	Abort func(attempt int)
}

// Control is the gateway's view of the control thread.
type Control interface {
	// Submit passes a request to the reducer; its effects go to the caller.
	Submit(s router.Submit, c Caller)
	Post(ev router.Event)
	// Now is the boot-time clock that the reducer uses.
	Now() time.Duration
	// Table is the current configuration, or nil.
	Table() *routing.Table
	// Configured is closed once there is a configuration.
	Configured() <-chan struct{}
	Draining() bool
	// NeedsDigests reports whether the reducer needs request digests, because requests are suspected of crashing
	// backend servers.
	NeedsDigests() bool
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	control   Control
	codec     HeaderCodec
	pool      *upstream.Pool
	log       zerolog.Logger
	metrics   telemetry.Metrics
	lastID    atomic.Uint64
	histories *histories
	// budget is the memory of all callers; nil if it is not limited.
	budget *membudget.Budget
	// ending is canceled at the end of the host's grace period, while requests may still be in progress.
	ending context.Context
	end    context.CancelFunc
}

// New returns a gateway.
func New(c Control, codec HeaderCodec, p *upstream.Pool, log zerolog.Logger, m telemetry.Metrics) *Gateway {
	ending, end := context.WithCancel(context.Background())
	return &Gateway{control: c, codec: codec, pool: p, log: log, metrics: m, histories: newHistories(), ending: ending, end: end}
}

// UseBudget sets the memory of all callers, before the first request. Requests have accounts of it in their contexts.
func (g *Gateway) UseBudget(b *membudget.Budget) { g.budget = b }

// Shutdown abandons the requests in progress: callers that have no status yet get one.
func (g *Gateway) Shutdown() { g.end() }

func (g *Gateway) ended() bool { return g.ending.Err() != nil }

// ServeHTTP implements http.Handler. It is used without a ServeMux, which would rewrite paths.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := g.newActiveRequest(w, r)
	table := g.table(r.Context())
	if table == nil {
		a.refuse(http.StatusServiceUnavailable, "no_configuration", notReadyRetryAfter)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	a.route = table.Match(r.Host, path)
	if a.route == nil {
		a.refuse(http.StatusNotFound, "no_route", 0)
		return
	}
	if !a.route.Public && table.HasWorkspaces() {
		a.workspace = table.Workspace(a.call.Key)
		if a.workspace == nil {
			a.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return
		}
	}
	a.rank = table.Rank(a.route, a.workspace)
	a.setDeadline()
	if !a.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	a.run()
}

func (g *Gateway) newActiveRequest(w http.ResponseWriter, r *http.Request) *activeRequest {
	return &activeRequest{g: g, w: w, r: r, account: ingress.Account(r.Context()), call: g.codec.Read(r.Header), startedAt: time.Now(),
		startedOnControl: g.control.Now()}
}

// RejectShutdown refuses a request that arrives as the host ends, before any of it has run.
func (g *Gateway) RejectShutdown(w http.ResponseWriter, r *http.Request) {
	a := g.newActiveRequest(w, r)
	a.refuse(http.StatusServiceUnavailable, string(router.ShutDown), router.DrainRetryAfter)
}

// table returns the current configuration. On a host that has just started it waits for the first one, up to
// firstTableTimeout.
func (g *Gateway) table(ctx context.Context) *routing.Table {
	if t := g.control.Table(); t != nil {
		return t
	}
	wait := time.NewTimer(firstTableTimeout)
	defer wait.Stop()
	select {
	case <-g.control.Configured():
	case <-wait.C:
	case <-ctx.Done():
	}
	return g.control.Table()
}
