// Package edge serves callers over HTTP: it checks their credentials and requests, submits requests to the reducer,
// carries out its effects, and writes the answers. Bytes of answers stay in this package; the control thread never
// handles them.
package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"fireflyshift/internal/confstate"
	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/ticket"
	"fireflyshift/internal/wire"
)

// Control is the edge's view of the control thread. Its methods are safe for concurrent use.
type Control interface {
	// Submit submits a request; its effects arrive on the channel, which must be read.
	Submit(core.Submit, chan<- core.Effect)
	Post(core.Event)
	// Now is the host's clock, which includes suspended time.
	Now() time.Duration
	// Config is the current configuration.
	Config() *confstate.Snapshot
}

// Options are the limits and the identity of an edge.
type Options struct {
	Host           string
	Incarnation    uint64
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	BodyTimeout    time.Duration
}

// Server serves the callers of one host.
type Server struct {
	opt     Options
	control Control
	engines *engine.Client
	plain   *http.Client
	tracing *telemetry.Tracing
	metrics telemetry.Metrics
	log     zerolog.Logger
	// draining is set once every answer is the last one on its connection.
	draining atomic.Bool
	// ending is canceled at the end of the host's grace period, while requests may still be in progress.
	ending context.Context
	end    context.CancelFunc
}

// New returns a server; Handler serves its requests.
func New(opt Options, c Control, tracing *telemetry.Tracing, m telemetry.Metrics, log zerolog.Logger) *Server {
	ending, end := context.WithCancel(context.Background())
	return &Server{opt: opt, control: c, engines: engine.NewClient(), tracing: tracing, metrics: m, log: log,
		plain:  &http.Client{Transport: wire.NewTransport(), CheckRedirect: noRedirect},
		ending: ending, end: end}
}

// noRedirect passes redirects to the caller: following one would be a second dispatch.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Handler returns the handler for all of the callers' paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.handler(s.serveChat))
	mux.Handle("POST /fireflyshift/v1/tickets", s.handler(s.issueTicket))
	plain := s.handler(s.servePlain)
	mux.Handle("/", s.handler(func(http.ResponseWriter, *call) *fault.Error {
		return fault.New(fault.UnknownService, "no such path; use /v1/chat/completions or /services/NAME/...")
	}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = closingWriter{w, &s.draining}
		service, target, ok := splitTarget(r)
		if !ok {
			mux.ServeHTTP(w, r)
			return
		}
		// ServeMux would redirect callers to another path if theirs has two slashes or dots.
		r.SetPathValue(pathService, service)
		r.SetPathValue(pathTarget, target)
		plain.ServeHTTP(w, r)
	})
}

// call is one caller's request with its parsed headers.
type call struct {
	*http.Request
	id      string
	headers headers
	config  *confstate.Snapshot
	// bodyRead is set once the whole body has been read.
	bodyRead bool
}

// handler checks the key and the headers, then calls next; a fault becomes the answer.
func (s *Server) handler(next func(http.ResponseWriter, *call) *fault.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		ctx, span := s.tracing.Start(s.tracing.Extract(r.Context(), carrier(r.Header)), "caller to host")
		defer span.End()
		c := &call{Request: r.WithContext(ctx), id: newID(), config: s.control.Config()}
		w.Header().Set(headerRequest, c.id)
		f := s.identify(c)
		if f == nil {
			f = next(w, c)
		}
		if f != nil {
			if c.ContentLength != 0 && !c.bodyRead {
				// net/http would wait for a body that may never arrive, before and after the error is written.
				w.Header().Set("Connection", "close")
				_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			}
			s.refuse(w, f)
		}
		s.metrics.Timer("edge.request").UpdateSince(started)
	})
}

func (s *Server) refuse(w http.ResponseWriter, f *fault.Error) {
	writeFault(w, f)
	s.metrics.Count("edge.refused."+string(f.Kind), 1)
}

// newID returns a request ID: unique over all hosts, and ordered by time for people who read logs.
func newID() string { return uuid.Must(uuid.NewV7()).String() }

func (s *Server) identify(c *call) *fault.Error {
	h, f := parseHeaders(c.Request)
	if f != nil {
		return f
	}
	h.workspace = c.config.WorkspaceByKey(hashKey(h.key))
	if h.workspace == nil {
		return fault.New(fault.UnknownKey, "no workspace has this key")
	}
	c.headers = h
	return nil
}

// submission checks service and tier and builds the event.
func (s *Server) submission(c *call, serviceName string) (core.Submit, *fault.Error) {
	h := c.headers
	service := c.config.Service(serviceName)
	if service == nil {
		return core.Submit{}, fault.New(fault.UnknownService, "service %q has no record", serviceName)
	}
	tierName := h.tier
	if tierName == "" {
		tierName = service.DefaultTier
	}
	tier := c.config.Tier(tierName)
	if tier == nil {
		return core.Submit{}, fault.New(fault.UnknownTier, "tier %q has no record", tierName)
	}
	if !h.workspace.AllowsTier(tier.Name) {
		return core.Submit{}, fault.New(fault.TierNotGranted, "workspace %s is not granted tier %s", h.workspace.Name, tier.Name)
	}
	if f := s.requireTicket(h); f != nil {
		return core.Submit{}, f
	}
	deadline := tier.Deadline
	if h.deadline > 0 {
		deadline = h.deadline
	}
	return core.Submit{
		ID:            c.id,
		Workspace:     h.workspace.Name,
		Service:       service.Name,
		Tier:          tier.Name,
		Priority:      tier.Priority,
		Deadline:      deadline,
		NonIdempotent: h.nonIdempotent,
		Ticket:        h.ticket,
		Traceparent:   s.tracing.Traceparent(c.Context()),
	}, nil
}

// digest returns the digest of a request, which is the same for all its attempts.
func digest(c *call, body []byte) quarantine.Digest {
	return quarantine.Identity{Workspace: c.headers.workspace.Name, Method: c.Method, Target: c.URL.RequestURI(), Body: body,
		Length: int64(len(body))}.Digest()
}

// requireTicket refuses non-idempotent work that the caller wants to be able to retry (it has set its own ID) and that
// has no ticket: the ID alone would be unknown to the host that a load balancer picks for the retry. The error carries
// a ticket.
func (s *Server) requireTicket(h headers) *fault.Error {
	if !h.nonIdempotent || h.callerID == "" || h.ticket != nil {
		return nil
	}
	issued, f := s.newTicket()
	if f != nil {
		return f
	}
	f = fault.New(fault.TicketRequired, "non-idempotent request %s has an id of the caller's and no ticket", h.callerID)
	f.Ticket = issued
	return f
}

// newTicket issues a ticket. It refuses while the host drains: only this host could tell later whether the ticket has
// been used.
func (s *Server) newTicket() (string, *fault.Error) {
	if s.draining.Load() {
		return "", s.drainingFault()
	}
	t := ticket.Ticket{Home: s.opt.Host, Incarnation: s.opt.Incarnation, Issued: s.control.Now(), Nonce: uuid.NewString()[:13]}
	return t.String(), nil
}

// issueTicket serves POST /fireflyshift/v1/tickets: a caller gets a ticket before its first attempt.
func (s *Server) issueTicket(w http.ResponseWriter, _ *call) *fault.Error {
	issued, f := s.newTicket()
	if f != nil {
		return f
	}
	writeJSON(w, http.StatusOK, map[string]any{"ticket": issued, "valid_ms": ticket.TTL.Milliseconds()})
	return nil
}

// detached returns a context that outlives the caller's, for clean-up calls.
func detached(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
