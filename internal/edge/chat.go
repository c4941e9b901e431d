package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/record"
	"fireflyshift/internal/timing"
	"fireflyshift/internal/upstream"
)

const (
	// maxReattachAttempts bounds the attempts to continue a stream that broke off. The delay starts at reattachBackoff
	// and triples with each attempt.
	maxReattachAttempts = 5
	reattachBackoff     = 20 * time.Millisecond
	exportTimeout       = 3 * time.Second // for the export of a suspended stream to arrive
	// shutdownCancelTimeout bounds the wait for an engine to accept a cancel as the host ends, since the caller waits
	// for it too.
	shutdownCancelTimeout = 250 * time.Millisecond
)

// serveChat serves POST /v1/chat/completions.
func (s *Server) serveChat(w http.ResponseWriter, c *call) *fault.Error {
	data, f := s.readBody(w, c)
	if f != nil {
		return f
	}
	b, f := parseChat(data)
	if f != nil {
		return f
	}
	sub, f := s.submission(c, b.Model)
	if f != nil {
		return f
	}
	if c.config.Service(b.Model).Kind != record.ServiceModel {
		return fault.New(fault.UnknownService, "service %q is not a model service; use /services/%s/", b.Model, b.Model)
	}
	body, f := engineBody(data)
	if f != nil {
		return f
	}
	sub.Digest = digest(c, data)
	prompt := b.prompt()
	sub.PromptTokens, sub.OutputTokens, sub.Prefix = tokens(prompt), b.MaxTokens, engine.ShortHashes(engine.PrefixHashes(prompt))
	sub.Parts = quarantine.PrefixDigests(prompt, engine.PrefixLengths())
	s.run(c, sub, &modelAttempt{server: s, call: c, body: body, sink: newSink(w, c, b.Stream, s.opt.MaxAnswerBytes),
		exported: make(chan *engine.KV, 1)})
	return nil
}

// modelAttempt runs the dispatches of a request to engines, with re-attachment after broken streams and suspension in
// favour of more urgent work.
type modelAttempt struct {
	server   *Server
	call     *call
	body     []byte
	sink     sink
	addr     string
	offset   int // index of the next token that the caller lacks
	kv       *engine.KV
	exported chan *engine.KV
	tokens   timing.Stream
}

// withTiming adds the stream's measurements, which the scheduler uses for its estimates.
func (m *modelAttempt) withTiming(e core.DispatchEnded) core.DispatchEnded {
	t := &m.tokens
	e.FirstToken, e.Interval, e.Tokens = t.FirstChunk(), t.Interval(), uint32(t.Chunks)
	return e
}

func (m *modelAttempt) run(ctx context.Context, d core.Dispatch) core.DispatchEnded {
	m.addr = d.Backend.Addr
	m.tokens = timing.Stream{StartedAt: time.Now()}
	m.discardStaleExport()
	m.sink.setBackend(d.Backend.Name)
	st, sent, err := m.open(ctx, d)
	if err != nil {
		return m.openFailed(ctx, d, sent, err)
	}
	e := m.follow(ctx, st)
	if e.Outcome == core.Canceled || e.Outcome == core.Failed {
		m.cancel()
	}
	return m.withTiming(e)
}

// discardStaleExport discards an export that arrived after its stream had ended in another way.
func (m *modelAttempt) discardStaleExport() {
	select {
	case <-m.exported:
	default:
	}
}

func (m *modelAttempt) open(ctx context.Context, d core.Dispatch) (*engine.Stream, bool, error) {
	h := http.Header{}
	m.server.tracing.Inject(ctx, carrier(h))
	if d.Resume {
		return m.server.engines.Import(ctx, m.addr, m.call.id, m.kv, carrier(h))
	}
	return m.server.engines.Start(ctx, m.addr, m.call.id, m.body, carrier(h))
}

func (m *modelAttempt) openFailed(ctx context.Context, d core.Dispatch, sent bool, err error) core.DispatchEnded {
	if !sent || notAdmitted(err) {
		return core.DispatchEnded{Outcome: core.NotSent}
	}
	if ctx.Err() != nil {
		m.cancel()
		return core.DispatchEnded{Outcome: core.Canceled}
	}
	// The request was written and its answer lost, so the engine may have it. Asking for the stream is not a second
	// dispatch: an engine that never got the request answers that the stream is unknown.
	var reattachErr error
	if !d.Resume {
		var st *engine.Stream
		if st, reattachErr = m.reattach(ctx); st != nil {
			return m.withTiming(m.follow(ctx, st))
		}
	}
	return core.DispatchEnded{Outcome: core.Failed, BackendEnded: upstream.IsRefused(reattachErr), Fault: fault.New(fault.OutcomeUnknown, "backend server %s: %v", d.Backend.Name, err)}
}

// cancel stops the work at the engine.
func (m *modelAttempt) cancel() {
	ctx := context.Background()
	if m.server.ending.Err() != nil {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, shutdownCancelTimeout)
		defer done()
	}
	m.server.engines.Cancel(ctx, m.addr, m.call.id)
}

// notAdmitted reports whether the engine itself states that it has not started the work.
func notAdmitted(err error) bool {
	var s *engine.StatusError
	if !errors.As(err, &s) {
		return false
	}
	return s.Status == http.StatusTooManyRequests || s.Status == http.StatusServiceUnavailable
}

// follow reads the stream to its end, re-attaching whenever it breaks off.
func (m *modelAttempt) follow(ctx context.Context, st *engine.Stream) core.DispatchEnded {
	for {
		e, interrupted := m.read(ctx, st)
		st.Close()
		if !interrupted {
			return e
		}
		var err error
		if st, err = m.reattach(ctx); st == nil {
			if ctx.Err() != nil {
				return core.DispatchEnded{Outcome: core.Canceled}
			}
			// An engine that does not know a stream that it has just been sending must have restarted meanwhile.
			ended := unknownStream(err) || upstream.IsRefused(err)
			return core.DispatchEnded{Outcome: core.Failed, BackendEnded: ended, Fault: fault.New(fault.AnswerCut, "after %d tokens", m.offset)}
		}
		m.server.metrics.Count("edge.reattached", 1)
	}
}

// read passes chunks on until the answer is complete or the stream breaks off.
//
// The checks of ID and offset guard against mixed-up and incomplete answers: a chunk of another request, or one that
// skips tokens, counts as a break, and the stream is continued at the right offset.
func (m *modelAttempt) read(ctx context.Context, st *engine.Stream) (e core.DispatchEnded, interrupted bool) {
	finished := false
	for {
		c, err := st.Next()
		if errors.Is(err, engine.ErrDone) && finished {
			return m.deliver()
		}
		if err != nil || c.ID != m.call.id {
			return core.DispatchEnded{Outcome: core.Canceled}, ctx.Err() == nil
		}
		if c.Suspended() {
			return m.awaitExport(ctx), false
		}
		if c.Offset < m.offset {
			continue // a repeat after re-attachment
		}
		if c.Offset > m.offset {
			return core.DispatchEnded{}, true
		}
		if c.Finished() != "" {
			finished = true
		} else {
			m.offset++
			m.tokens.AddChunk(time.Now())
		}
		if err := m.sink.chunk(c); err != nil {
			return core.DispatchEnded{Outcome: core.Canceled}, false
		}
	}
}

func (m *modelAttempt) deliver() (core.DispatchEnded, bool) {
	if err := m.sink.done(); err != nil {
		return core.DispatchEnded{Outcome: core.Canceled}, false
	}
	return core.DispatchEnded{Outcome: core.Done}, false
}

// awaitExport waits for the export whose end mark was read from the stream.
func (m *modelAttempt) awaitExport(ctx context.Context) core.DispatchEnded {
	select {
	case kv := <-m.exported:
		m.kv = kv
		m.kv.Offset = m.offset
		return core.DispatchEnded{Outcome: core.Suspended}
	case <-ctx.Done():
		return core.DispatchEnded{Outcome: core.Canceled}
	case <-time.After(exportTimeout):
		return core.DispatchEnded{Outcome: core.Failed, Fault: fault.New(fault.AnswerCut, "the exported stream was lost")}
	}
}

// reattach continues a stream that broke off; the error is that of the last attempt.
func (m *modelAttempt) reattach(ctx context.Context) (st *engine.Stream, err error) {
	backoff := reattachBackoff
	for i := 0; i < maxReattachAttempts && ctx.Err() == nil; i++ {
		st, err = m.server.engines.Reattach(ctx, m.addr, m.call.id, m.offset)
		if err == nil {
			return st, nil
		}
		if unknownStream(err) {
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff *= 3
	}
	return nil, err
}

// unknownStream reports whether the engine answered that it does not know the stream.
func unknownStream(err error) bool {
	var refused *engine.StatusError
	return errors.As(err, &refused) && refused.Status == http.StatusNotFound
}

func (m *modelAttempt) suspend(ctx context.Context, addr string) {
	kv, err := m.server.engines.Suspend(ctx, addr, m.call.id)
	if err != nil {
		m.server.metrics.Count("edge.suspend_failed", 1)
		return
	}
	m.server.metrics.Count("edge.suspended", 1)
	m.discardStaleExport()
	m.exported <- kv
}

func (m *modelAttempt) finish(f *fault.Error) { m.sink.fault(f) }
