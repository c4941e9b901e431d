// Package plain is a stand-in for a plain service, for example a git web interface or a product catalogue, for tests.
// It counts the runs of each request.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Mode selects the service's faults. The zero value has none.
type Mode struct {
	Truncate  bool `json:"short"`      // ends bodies before their declared length
	CutBody   bool `json:"cut"`        // cuts the connection in the middle of a body of unknown length
	DieAfter  bool `json:"die_after"`  // runs the work, then cuts the connection without an answer
	DieBefore bool `json:"die_before"` // cuts the connection before the work runs
}

// Service is a stand-in for a plain service. Its methods are safe for concurrent use.
type Service struct {
	duration  time.Duration
	mu        sync.Mutex
	runs      map[string]int
	runsByKey map[string]int
	mode      Mode
	total     int
}

// New returns a service whose calls take the given time.
func New(work time.Duration) *Service {
	return &Service{duration: work, runs: map[string]int{}, runsByKey: map[string]int{}}
}

// Runs returns the number of runs by the request ID that the host assigned.
func (s *Service) Runs() map[string]int { return s.snapshot(s.runs) }

// RunsByKey returns the number of runs by the caller's X-Operation header.
func (s *Service) RunsByKey() map[string]int { return s.snapshot(s.runsByKey) }

func (s *Service) snapshot(m map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// SetMode replaces the active faults.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Handler serves any path, with the commands of tests under /control.
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
		s.runsByKey[k]++
	}
	s.total++
	n := s.total
	s.mu.Unlock()
	time.Sleep(s.duration)
	if mode.DieAfter {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("%s %s body=%d run=%d", r.Method, r.URL.Path, len(body), n)
	if mode.CutBody {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	if mode.Truncate {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)+100))
	}
	_, _ = io.WriteString(w, answer)
}
