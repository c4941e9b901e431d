// Package admin serves the read-only HTTP interface for operators: health, readiness, status, request traces,
// metrics and profiles.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"fireflyshift/internal/core"
)

// Source provides the state of a host.
type Source interface {
	Healthy() bool
	Ready() bool
	Status() (core.Status, bool)
	Explain(id string) ([]core.TraceEvent, bool)
}

// Handler serves
//   - /healthz: 200 while the control thread responds; otherwise the process should be restarted,
//   - /readyz: 200 while the load balancer should send callers to this host,
//   - /status, /explain/ID and /metrics as JSON,
//   - /debug/pprof/profile, heap and goroutine for 'go tool pprof'.
func Handler(s Source, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeProbe(w, s.Healthy()) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeProbe(w, s.Ready()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		v, ok := s.Status()
		writeJSON(w, ok, v)
	})
	mux.HandleFunc("GET /explain/{id}", func(w http.ResponseWriter, r *http.Request) {
		v, ok := s.Explain(r.PathValue("id"))
		if ok && len(v) == 0 {
			http.Error(w, "unknown request; ask the host that answered it", http.StatusNotFound)
			return
		}
		writeJSON(w, ok, v)
	})
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	return mux
}

func writeProbe(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("yes\n"))
}

func writeJSON(w http.ResponseWriter, ok bool, v any) {
	if !ok {
		http.Error(w, "the control thread does not respond", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
