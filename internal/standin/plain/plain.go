// Package plain is a small stand-in for a plain service, as a git web side or a stock catalogue.
// It counts every run by request id. It is not part of the product.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Mode is how the service misbehaves.
type Mode struct {
	Short     bool `json:"short"`      // ends bodies before their declared length
	Cut       bool `json:"cut"`        // cuts the connection in the middle of a body of unknown length
	DieAfter  bool `json:"die_after"`  // runs the work, then cuts the connection without an answer
	DieBefore bool `json:"die_before"` // cuts the connection before the work runs
}

// Service is the stand-in. Its methods are safe for concurrent use.
type Service struct {
	work  time.Duration
	mu    sync.Mutex
	runs  map[string]int
	keys  map[string]int
	mode  Mode
	total int
}

// New returns a service whose calls take a fixed time.
func New(work time.Duration) *Service {
	return &Service{work: work, runs: map[string]int{}, keys: map[string]int{}}
}

// Runs copies the runs by the request id that the system gave.
func (s *Service) Runs() map[string]int { return s.copyOf(s.runs) }

// RunsByKey copies the runs by the caller's operation, its X-Operation header.
func (s *Service) RunsByKey() map[string]int { return s.copyOf(s.keys) }

func (s *Service) copyOf(m map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// SetMode makes the service misbehave, or behave again.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Handler serves any path, and the test's commands under /control.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"runs": s.Runs(), "by_key": s.RunsByKey()})
	})
	mux.HandleFunc("POST /control/mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		if json.NewDecoder(r.Body).Decode(&m) == nil {
			s.SetMode(m)
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	mode := s.mode
	if mode.DieBefore {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.runs[r.Header.Get("X-Request-Id")]++
	if k := r.Header.Get("X-Operation"); k != "" {
		s.keys[k]++
	}
	s.total++
	n := s.total
	s.mu.Unlock()
	time.Sleep(s.work)
	if mode.DieAfter {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("%s %s body=%d run=%d", r.Method, r.URL.Path, len(body), n)
	if mode.Cut {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	if mode.Short {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)+100))
	}
	_, _ = io.WriteString(w, answer)
}
