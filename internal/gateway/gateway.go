package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

const (
	// defaultDeadline holds where neither the caller nor the route names one.
	defaultDeadline = 30 * time.Second
	// bodyBuffer is how much of a body is held for a repeat; a longer body is passed through, and
	// then sent once only.
	bodyBuffer = 512 << 10
	// effectBuffer is more than the reducer ever has outstanding for one request.
	effectBuffer = 8
	// notReadyBack is when to come back to a host that knows no configuration yet.
	notReadyBack = 150 * time.Millisecond
	// firstTableWait is how long a request waits for the host's first configuration: a host that starts
	// mostly has it within a tenth of a second, and a caller that is turned away meanwhile is late.
	firstTableWait = 200 * time.Millisecond
)

// Caller is where the effects for one request go.
type Caller struct {
	Effects chan<- router.Effect
	// Abort breaks off the call of one attempt; it does not block.
	Abort func(attempt int)
}

// Control is the control thread.
type Control interface {
	// Submit hands a request to the reducer; its effects go to the caller.
	Submit(s router.Submit, c Caller)
	Post(ev router.Event)
	// Now is the boot-time clock that the reducer counts by.
	Now() time.Duration
	// Table is the configuration in force, or nil.
	Table() *routing.Table
	// Configured is closed once there is a configuration.
	Configured() <-chan struct{}
	Draining() bool
	// Suspects tells whether the reducer needs to know which requests are the same.
	Suspects() bool
}

// Gateway serves callers.
type Gateway struct {
	control Control
	wire    HeaderCodec
	pool    *upstream.Pool
	log     zerolog.Logger
	metrics telemetry.Metrics
	lastID  atomic.Uint64
	trails  *trails
	// ending is done when the host ends with requests in hand.
	ending context.Context
	end    context.CancelFunc
}

// New returns a gateway.
func New(c Control, w HeaderCodec, p *upstream.Pool, log zerolog.Logger, m telemetry.Metrics) *Gateway {
	ending, end := context.WithCancel(context.Background())
	return &Gateway{control: c, wire: w, pool: p, log: log, metrics: m, trails: newTrails(), ending: ending, end: end}
}

// Shutdown gives up the requests in hand: callers that have no status yet get one.
func (g *Gateway) Shutdown() { g.end() }

func (g *Gateway) ended() bool { return g.ending.Err() != nil }

// ServeHTTP implements http.Handler. It stands without a ServeMux, which would rewrite paths.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := g.flightOf(w, r)
	table := g.table(r.Context())
	if table == nil {
		f.refuse(http.StatusServiceUnavailable, "no_configuration", notReadyBack)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	f.route = table.Match(r.Host, path)
	if f.route == nil {
		f.refuse(http.StatusNotFound, "no_route", 0)
		return
	}
	if !f.route.Public && table.HasWorkspaces() {
		f.workspace = table.Workspace(f.call.Key)
		if f.workspace == nil {
			f.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return
		}
	}
	f.rank = table.Rank(f.route, f.workspace)
	f.setDeadline()
	if !f.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	f.fly()
}

func (g *Gateway) flightOf(w http.ResponseWriter, r *http.Request) *flight {
	return &flight{g: g, w: w, r: r, call: g.wire.Read(r.Header), began: time.Now(), beganAt: g.control.Now()}
}

// RejectShutdown answers a request that comes as the host ends: it has not run.
func (g *Gateway) RejectShutdown(w http.ResponseWriter, r *http.Request) {
	f := g.flightOf(w, r)
	f.refuse(http.StatusServiceUnavailable, string(router.ShutDown), router.DrainRetryAfter)
}

// table is the configuration in force; a host that has just started is given a moment to learn it.
func (g *Gateway) table(ctx context.Context) *routing.Table {
	if t := g.control.Table(); t != nil {
		return t
	}
	wait := time.NewTimer(firstTableWait)
	defer wait.Stop()
	select {
	case <-g.control.Configured():
	case <-wait.C:
	case <-ctx.Done():
	}
	return g.control.Table()
}
