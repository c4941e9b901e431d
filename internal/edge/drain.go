package edge

import (
	"net/http"
	"sync/atomic"

	"fireflyshift/internal/fault"
)

// NotRunHeader is the header line stating that a request has not run, for answers that are written outside this
// package.
const NotRunHeader = headerWork + ": " + string(fault.NotRun)

// Drain makes every answer from now on the last one on its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown refuses the requests whose bodies are still being read, and bounds the time to cancel work at engines.
func (s *Server) Shutdown() { s.end() }

// RejectShutdown refuses a request that arrives as the host ends, before any of it has run.
func (s *Server) RejectShutdown(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set(headerRequest, newID())
	s.refuse(w, s.drainingFault())
}

func (s *Server) drainingFault() *fault.Error {
	return fault.New(fault.Draining, "host %s is shutting down", s.opt.Host)
}

// closingWriter adds "Connection: close" if the host is draining when the head is written, so that the caller's next
// request goes to another host.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w closingWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is used by http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
